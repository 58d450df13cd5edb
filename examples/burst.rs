//! Lands a model on many instances and measures how near the bounds that is.
//!
//! Agents are real processes whose links are paced by their settings; the model
//! is small and the links are slow to match, so that one machine holds them.
//! Engines run in this process.

use bpaf::Bpaf;
use moleroad_events::prelude::{EventFilter, EventKind};
use moleroad_fakes::caller::caller_post;
use moleroad_fakes::deployment::{account_key, weights_of};
use moleroad_fakes::prelude::*;
use moleroad_fakes::process::Signal;
use moleroad_settings::settings::{ObjectiveSetting, PlanSetting};
use moleroad_types::object::{REGION_LABEL, Replicas};
use moleroad_types::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Tokens of the answers that are checked during the burst.
const TOKENS: u64 = 6;
/// Share of the agents that a fault hits.
const HIT_SHARE: usize = 10;
/// How long a killed or frozen agent is away.
const AWAY: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
/// Lands a model on many instances and measures how near the bounds that is.
struct Args {
    /// Instances that shall serve the model
    #[bpaf(argument("N"), fallback(12), display_fallback)]
    replicas: usize,
    /// origin_only, tree or swarm
    #[bpaf(argument::<Plan>("PLAN"), fallback(Plan(PlanSetting::Swarm)))]
    plan: Plan,
    /// time or origin_bytes
    #[bpaf(argument::<Objective>("OBJECTIVE"), fallback(Objective(ObjectiveSetting::Time)))]
    objective: Objective,
    /// none, kill, stall, corrupt or republish
    #[bpaf(argument::<Fault>("FAULT"), fallback(Fault::None))]
    fault: Fault,
    /// Size of the model in KiB
    #[bpaf(argument("KIB"), fallback(8 << 10), display_fallback)]
    weights_kib: usize,
    /// Size of a chunk in KiB
    #[bpaf(argument("KIB"), fallback(64), display_fallback)]
    chunk_kib: u32,
    /// Rate of an instance's link in KiB a second; the origin's is twice that
    #[bpaf(argument("KIB"), fallback(512), display_fallback)]
    link_kib: u64,
    /// Run the other plans too
    baselines: bool,
    /// Print one JSON object and nothing else
    json: bool,
}

#[derive(Clone, Copy, Debug)]
struct Plan(PlanSetting);

impl FromStr for Plan {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "origin_only" => Ok(Self(PlanSetting::OriginOnly)),
            "tree" => Ok(Self(PlanSetting::Tree)),
            "swarm" => Ok(Self(PlanSetting::Swarm)),
            _ => Err("expected origin_only, tree or swarm".into()),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Objective(ObjectiveSetting);

impl FromStr for Objective {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "time" => Ok(Self(ObjectiveSetting::Time)),
            "origin_bytes" => Ok(Self(ObjectiveSetting::OriginBytes)),
            _ => Err("expected time or origin_bytes".into()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    None,
    /// A tenth of the agents are killed in mid copy and started again.
    Kill,
    /// A tenth of the agents freeze in mid copy with their connections open.
    Stall,
    /// Every tenth answer of the origin has a wrong bit.
    Corrupt,
    /// Another version is published in mid copy.
    Republish,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "kill" => Ok(Self::Kill),
            "stall" => Ok(Self::Stall),
            "corrupt" => Ok(Self::Corrupt),
            "republish" => Ok(Self::Republish),
            _ => Err("expected none, kill, stall, corrupt or republish".into()),
        }
    }
}

/// What one burst showed.
#[derive(Clone, Debug, Serialize)]
struct Burst {
    plan: PlanSetting,
    objective: ObjectiveSetting,
    fault: Fault,
    replicas: usize,
    /// Until all replicas serve, from the start of publishing.
    time_to_n_ms: u64,
    /// Until nine tenths of them serve.
    time_to_nine_tenths_ms: u64,
    /// Size of the model over the rate of a link.
    bound_ms: u64,
    ratio: f64,
    origin_bytes: u64,
    origin_copies: f64,
    /// Copies that crossed from one region to another, origin draws left out.
    region_crossings_copies: f64,
    /// Answers during the burst that were not whole and of one version.
    partial_or_mixed: u64,
    /// Answers that were checked.
    answers_checked: u64,
    peak_agent_rss_bytes: u64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    baselines: Vec<Burst>,
}

fn main() -> ExitCode {
    let args = args().run();
    match run(&args) {
        Ok(burst) => {
            if args.json {
                println!("{}", serde_json::to_string(&burst).unwrap_or_default());
            } else {
                print(&burst);
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("burst: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<Burst, Box<dyn Error>> {
    build_programs()?;
    let mut burst = land(args, args.plan.0)?;
    if args.baselines {
        let plans = [
            PlanSetting::OriginOnly,
            PlanSetting::Tree,
            PlanSetting::Swarm,
        ];
        for plan in plans.into_iter().filter(|plan| *plan != args.plan.0) {
            burst.baselines.push(land(args, plan)?);
        }
    }
    Ok(burst)
}

/// Starts a deployment and lands a model on it.
fn land(args: &Args, plan: PlanSetting) -> Result<Burst, Box<dyn Error>> {
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
    let everywhere = vec![Requirement {
        key: REGION_LABEL.into(),
        operator: moleroad_types::label::Operator::Exists,
        values: vec![],
    }];
    deployment.select("notes", "pallets", "notes", everywhere, Replicas::All)?;
    if args.fault == Fault::Corrupt {
        std::fs::write(deployment.folder().join("origin/fault"), "corrupt 10")?;
    }
    let started = Instant::now();
    let mut root = deployment.publish(
        "pallets",
        "notes",
        "v1",
        &weights_of(1, weights_bytes),
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
    let strays = deployment
        .engines()
        .values()
        .filter(|engine| engine.serving() != Some(root))
        .count() as u64;
    let origin_bytes = deployment.origin_sent_bytes();
    let crossings = region_crossings(&deployment, root)? as f64;
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
        partial_or_mixed: partial_or_mixed + strays,
        answers_checked,
        peak_agent_rss_bytes: peak_agent_memory(&mut deployment),
        baselines: Vec::new(),
    })
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Causes the fault in mid copy; returns the root of a version that was
/// published meanwhile.
fn inject(
    args: &Args,
    deployment: &mut Deployment,
    bound: Duration,
    weights_bytes: usize,
) -> Result<Option<RootDigest>, Box<dyn Error>> {
    let hit: Vec<String> = (0..args.replicas)
        .step_by(HIT_SHARE)
        .map(|position| format!("engine-{position}"))
        .collect();
    match args.fault {
        Fault::None | Fault::Corrupt => {}
        Fault::Kill => {
            thread::sleep(bound / 2);
            hit.iter().for_each(|name| deployment.process(name).kill());
            thread::sleep(AWAY);
            for name in &hit {
                deployment.process(name).restart()?;
            }
        }
        Fault::Stall => {
            thread::sleep(bound / 2);
            hit.iter()
                .for_each(|name| deployment.process(name).signal(Signal::Stop));
            thread::sleep(AWAY);
            hit.iter()
                .for_each(|name| deployment.process(name).signal(Signal::Continue));
        }
        Fault::Republish => {
            thread::sleep(bound / 2);
            let content = weights_of(2, weights_bytes);
            return Ok(Some(deployment.publish(
                "pallets",
                "notes",
                "v2",
                &content,
                args.chunk_kib << 10,
            )?));
        }
    }
    Ok(None)
}

/// Asks the model during the burst and checks every answer.
struct Checker {
    stop: Arc<AtomicBool>,
    bad: Arc<AtomicU64>,
    checked: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Checker {
    fn start(deployment: &Deployment) -> Self {
        let mut checker = Self {
            stop: Arc::default(),
            bad: Arc::default(),
            checked: Arc::default(),
            threads: Vec::new(),
        };
        for (_, entry) in deployment.entries().iter().take(2) {
            let (stop, bad, checked) = (
                checker.stop.clone(),
                checker.bad.clone(),
                checker.checked.clone(),
            );
            let entry = *entry;
            checker.threads.push(thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    check_answer(entry, &bad, &checked);
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
        checker
    }

    fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Release);
        self.threads
            .into_iter()
            .for_each(|thread| drop(thread.join()));
        (
            self.bad.load(Ordering::Acquire),
            self.checked.load(Ordering::Acquire),
        )
    }
}

/// A refusal is not counted; an answer must be whole and of one version.
fn check_answer(entry: SocketAddr, bad: &AtomicU64, checked: &AtomicU64) {
    let body =
        format!("{{\"model\":\"notes\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":{TOKENS}}}");
    let answer = caller_post(
        entry,
        "/v1/completions",
        &account_key("pallets"),
        &BTreeMap::new(),
        &body,
    );
    if answer.status != 200 {
        return;
    }
    checked.fetch_add(1, Ordering::AcqRel);
    let texts = answer.stream_texts();
    let roots: Vec<&str> = texts
        .iter()
        .filter_map(|text| text.split(':').next())
        .collect();
    let one_root = roots.windows(2).all(|pair| pair[0] == pair[1]);
    // A stream that broke is honest about it; it must not look whole.
    if answer.whole && !(one_root && texts.len() as u64 == TOKENS) {
        bad.fetch_add(1, Ordering::AcqRel);
    }
}

fn region_crossings(deployment: &Deployment, root: RootDigest) -> Result<u64, Box<dyn Error>> {
    let names = deployment.agents().keys();
    let regions: BTreeMap<&InstanceId, Option<Region>> = names
        .map(|name| (name, deployment.region_of(name.as_str())))
        .collect();
    let filter = EventFilter {
        root: Some(root.to_hex()),
        ..EventFilter::default()
    };
    let crossed = deployment
        .client()
        .timeline(&filter)?
        .into_iter()
        .filter(|event| {
            let EventKind::ChunkFetched { source, .. } = &event.kind else {
                return false;
            };
            let from = regions.get(&InstanceId::new(source.as_str()));
            from.is_some_and(|from| Some(from) != regions.get(&event.instance))
        });
    Ok(crossed.count() as u64)
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
