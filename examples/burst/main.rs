//! Distributes a model to many instances and compares the time with the lower bound.
//!
//! Agents are real processes whose links are rate limited by their settings. The model is
//! small and the links are slow in proportion, so that everything fits on one machine.
//! Engines run in this process.

mod args;
mod checker;
mod fault;
#[path = "../measurement/mod.rs"]
mod measurement;

use args::{Args, args};
use checker::Checker;
use fault::{Fault, inject};
use measurement::{print_report, rounded};
use moleroad_events::prelude::{Event, EventFilter, EventKind};
use moleroad_fakes::deployment::generate_weights;
use moleroad_fakes::prelude::*;
use moleroad_settings::settings::{ObjectiveSetting, PlanSetting};
use moleroad_types::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Measurements of one burst.
#[derive(Clone, Debug, Serialize)]
struct Burst {
    plan: PlanSetting,
    objective: ObjectiveSetting,
    fault: Fault,
    replicas: usize,
    /// Time from the start of publishing until all replicas serve.
    time_to_n_ms: u64,
    /// Time from the start of publishing until nine tenths of the replicas serve.
    time_to_nine_tenths_ms: u64,
    /// Lower bound: size of the model divided by the rate of a link.
    bound_ms: u64,
    ratio: f64,
    origin_bytes: u64,
    origin_copies: f64,
    /// Copies transferred from one region to another, excluding transfers from the
    /// origin.
    region_crossings_copies: f64,
    /// Responses during the burst that were incomplete or mixed versions, and engines
    /// that did not serve the expected version at the end.
    partial_or_mixed: u64,
    /// Number of responses that were checked.
    answers_checked: u64,
    peak_agent_rss_bytes: u64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    baselines: Vec<Burst>,
}

fn main() -> ExitCode {
    let args = args().run();
    print_report("burst", run(&args), args.json, print)
}

fn run(args: &Args) -> Result<Burst, Box<dyn Error>> {
    build_programs()?;
    let mut burst = run_burst(args, args.plan.0)?;
    if args.baselines {
        let plans = [
            PlanSetting::OriginOnly,
            PlanSetting::Tree,
            PlanSetting::Swarm,
        ];
        for plan in plans.into_iter().filter(|plan| *plan != args.plan.0) {
            burst.baselines.push(run_burst(args, plan)?);
        }
    }
    Ok(burst)
}

/// Starts a deployment and distributes a model on it.
fn run_burst(args: &Args, plan: PlanSetting) -> Result<Burst, Box<dyn Error>> {
    let link = args.link_kib << 10;
    let shape = DeploymentShape {
        engines: args.replicas,
        engines_in_harness: true,
        services: Vec::new(),
        link_bytes_per_second: link,
        origin_bytes_per_second: link * 2,
        objective: args.objective.0,
        plan,
        ..DeploymentShape::pallet_network()
    };
    let weights_bytes = args.weights_kib << 10;
    let bound = Duration::from_millis(weights_bytes as u64 * 1_000 / link);
    let mut deployment = Deployment::start(shape)?;
    deployment.add_account("pallets", 500, 5_000)?;
    deployment.select_everywhere("notes", "pallets", "notes")?;
    if args.fault == Fault::Corrupt {
        std::fs::write(deployment.folder().join("origin/fault"), "corrupt 10")?;
    }
    let started = Instant::now();
    let mut root = deployment.publish(
        "pallets",
        "notes",
        "v1",
        &generate_weights(1, weights_bytes),
        args.chunk_kib << 10,
    )?;
    let checker = Checker::start(&deployment);
    if let Some(next) = inject(args, &mut deployment, bound, weights_bytes)? {
        root = next;
    }
    let nine_tenths = (args.replicas * 9).div_ceil(10) as u32;
    deployment.wait_serving("notes", root, nine_tenths);
    let time_to_nine_tenths = started.elapsed();
    deployment.wait_serving("notes", root, args.replicas as u32);
    let time_to_n = started.elapsed();
    let (partial_or_mixed, answers_checked) = checker.stop();
    let wrong_engines = deployment
        .engines()
        .values()
        .filter(|engine| engine.serving() != Some(root))
        .count() as u64;
    let origin_bytes = deployment.origin_sent_bytes();
    let events = events_of(&deployment, root)?;
    if let Some(file) = &args.timeline {
        let lines: Vec<String> = events
            .iter()
            .filter_map(|event| serde_json::to_string(event).ok())
            .collect();
        std::fs::write(file, lines.join("\n"))?;
    }
    let crossings = region_crossings(&deployment, &events) as f64;
    let chunks = (weights_bytes as u64).div_ceil(u64::from(args.chunk_kib) << 10) as f64;
    Ok(Burst {
        plan,
        objective: args.objective.0,
        fault: args.fault,
        replicas: args.replicas,
        time_to_n_ms: time_to_n.as_millis() as u64,
        time_to_nine_tenths_ms: time_to_nine_tenths.as_millis() as u64,
        bound_ms: bound.as_millis() as u64,
        ratio: rounded(time_to_n.as_secs_f64() / bound.as_secs_f64()),
        origin_bytes,
        origin_copies: rounded(origin_bytes as f64 / weights_bytes as f64),
        region_crossings_copies: rounded(crossings / chunks),
        partial_or_mixed: partial_or_mixed + wrong_engines,
        answers_checked,
        peak_agent_rss_bytes: peak_agent_memory(&mut deployment),
        baselines: Vec::new(),
    })
}

fn events_of(deployment: &Deployment, root: RootDigest) -> Result<Vec<Event>, Box<dyn Error>> {
    let filter = EventFilter {
        root: Some(root.to_hex()),
        ..EventFilter::default()
    };
    Ok(deployment.client().timeline(&filter)?)
}

/// Counts the chunks that were fetched from another region.
fn region_crossings(deployment: &Deployment, events: &[Event]) -> u64 {
    let names = deployment.agents().keys();
    let regions: BTreeMap<&InstanceId, Option<Region>> = names
        .map(|name| (name, deployment.region_of(name.as_str())))
        .collect();
    let crossed = events.iter().filter(|event| {
        let EventKind::ChunkFetched { source, .. } = &event.kind else {
            return false;
        };
        let from = regions.get(&InstanceId::new(source.as_str()));
        from.is_some_and(|from| Some(from) != regions.get(&event.instance))
    });
    crossed.count() as u64
}

fn peak_agent_memory(deployment: &mut Deployment) -> u64 {
    let names: Vec<String> = deployment
        .agents()
        .keys()
        .map(|name| name.to_string())
        .collect();
    names
        .iter()
        .map(|name| deployment.process(name).peak_memory_bytes())
        .max()
        .unwrap_or(0)
}

fn print(burst: &Burst) {
    for burst in std::iter::once(burst).chain(&burst.baselines) {
        println!(
            "{:?} {:?} {:?}: {} replicas in {} ms (bound {} ms, ratio {}), nine tenths in {} ms, \
             origin {} copies, regions crossed by {} copies, partial or mixed {} of {}, largest agent {} MiB",
            burst.plan,
            burst.objective,
            burst.fault,
            burst.replicas,
            burst.time_to_n_ms,
            burst.bound_ms,
            burst.ratio,
            burst.time_to_nine_tenths_ms,
            burst.origin_copies,
            burst.region_crossings_copies,
            burst.partial_or_mixed,
            burst.answers_checked,
            burst.peak_agent_rss_bytes >> 20,
        );
    }
}
