//! Measures changes of the configuration: how long until they are accepted and
//! in force everywhere, through the death of the leader, and what control costs
//! each daemon.

use bpaf::Bpaf;
use moleroad_cli::prelude::OperatorClient;
use moleroad_events::log::unix_ms;
use moleroad_events::prelude::{Event, EventKind};
use moleroad_fakes::caller::caller_get;
use moleroad_fakes::prelude::*;
use moleroad_types::object::InstanceSpec;
use moleroad_types::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
/// Measures changes of the configuration.
struct Args {
    /// Entries; three of them are control members
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    entries: usize,
    /// Agents
    #[bpaf(argument("N"), fallback(6), display_fallback)]
    agents: usize,
    /// Changes in the calm part and again through the leader's death
    #[bpaf(argument("N"), fallback(100), display_fallback)]
    changes: u64,
    /// Seconds over which the cost at rest is taken
    #[bpaf(argument("SECONDS"), fallback(4), display_fallback)]
    rest_seconds: u64,
    /// Print one JSON object and nothing else
    json: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    daemons: usize,
    changes: u64,
    accepted_p50_ms: f64,
    accepted_p99_ms: f64,
    in_force_p50_ms: u64,
    in_force_p99_ms: u64,
    /// Longest time without an accepted change around the leader's death.
    failover_ms: u64,
    /// Longest time until a change made then was in force.
    in_force_through_failover_ms: u64,
    lost: usize,
    reverted: usize,
    at_rest: Cost,
    /// With changes at the rate of the calm part.
    under_changes: Cost,
    changes_per_second: f64,
}

/// What control costs the daemon that it costs most.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Cost {
    control_cpu_percent: f64,
    control_rss_bytes: u64,
    control_bytes_per_second: u64,
    /// The same of agents and plain entries alone.
    follower_cpu_percent: f64,
    follower_rss_bytes: u64,
    follower_bytes_per_second: u64,
}

/// When a change was accepted, as the client saw it.
struct Accepted {
    revision: Revision,
    name: String,
    took: Duration,
    at_unix_ms: u64,
}

fn main() -> ExitCode {
    let args = args().run();
    match run(&args) {
        Ok(report) if args.json => {
            println!("{}", serde_json::to_string(&report).unwrap_or_default())
        }
        Ok(report) => println!("{report:#?}"),
        Err(error) => {
            eprintln!("config: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn run(args: &Args) -> Result<Report, Box<dyn Error>> {
    build_programs()?;
    let shape = DeploymentShape {
        entries: args.entries,
        engines: args.agents,
        engines_in_harness: true,
        services: vec![],
        ..DeploymentShape::small()
    };
    let mut deployment = Deployment::start(shape)?;
    let daemons = deployment.entries().len() + deployment.agents().len();
    thread::sleep(Duration::from_secs(1));
    let at_rest = cost_over(&mut deployment, || {
        thread::sleep(Duration::from_secs(args.rest_seconds))
    });
    let client = deployment.client();
    let mut calm = Vec::new();
    let started = Instant::now();
    let under_changes = cost_over(&mut deployment, || {
        calm = change_all(&client, "calm", args.changes)
    });
    let changes_per_second = args.changes as f64 / started.elapsed().as_secs_f64();
    let calm_events = client.timeline(&Default::default())?;
    let in_force = in_force_ms(&calm, &calm_events, daemons);
    let (through, gap) = change_through_failover(&mut deployment, args.changes)?;
    let last = through
        .last()
        .map_or(Revision(0), |accepted| accepted.revision);
    until("the last change everywhere", || {
        let status = deployment.status()?;
        (status.daemons.iter().all(|daemon| daemon.revision >= last)).then_some(())
    });
    let events = client.timeline(&Default::default())?;
    let stored = client.objects()?;
    let lost = calm
        .iter()
        .chain(&through)
        .filter(|a| stored.iter().all(|object| object.name.as_str() != a.name));
    Ok(Report {
        daemons,
        changes: args.changes,
        accepted_p50_ms: accepted_ms(&calm, 50),
        accepted_p99_ms: accepted_ms(&calm, 99),
        in_force_p50_ms: percentile(&in_force, 50),
        in_force_p99_ms: percentile(&in_force, 99),
        failover_ms: gap.as_millis() as u64,
        in_force_through_failover_ms: in_force_ms(&through, &events, 0)
            .into_iter()
            .max()
            .unwrap_or(0),
        lost: lost.count(),
        reverted: reverted(&events),
        at_rest,
        under_changes,
        changes_per_second: (changes_per_second * 10.0).round() / 10.0,
    })
}

/// Changes one object after the other.
fn change_all(client: &OperatorClient, prefix: &str, count: u64) -> Vec<Accepted> {
    (0..count)
        .map(|number| change(client, format!("{prefix}-{number}")))
        .collect()
}

fn change(client: &OperatorClient, name: String) -> Accepted {
    let labels = Labels::from_pairs([("number", name.as_str())]);
    let spec = Spec::Instance(InstanceSpec { labels });
    let object = Object {
        name: name.as_str().into(),
        version: ObjectVersion(1),
        spec,
    };
    let request = RequestId::new(format!("request-{name}"));
    let started = Instant::now();
    let answer = until("a change to be accepted", || {
        client.change(&request, &object).ok()
    });
    Accepted {
        revision: answer.revision,
        name,
        took: started.elapsed(),
        at_unix_ms: unix_ms(),
    }
}

/// Changes objects while the leader is killed, and returns the longest gap.
fn change_through_failover(
    deployment: &mut Deployment,
    count: u64,
) -> Result<(Vec<Accepted>, Duration), Box<dyn Error>> {
    let leader = deployment.leader().ok_or("no leader")?;
    let client = deployment.client();
    let changing = thread::spawn(move || {
        let mut gap = Duration::ZERO;
        let mut changed = Vec::new();
        for number in 0..count {
            let started = Instant::now();
            changed.push(change(&client, format!("failover-{number}")));
            gap = gap.max(started.elapsed());
        }
        (changed, gap)
    });
    thread::sleep(Duration::from_millis(200));
    deployment.process(leader.as_str()).kill();
    let outcome = changing.join().map_err(|_| "the changes failed")?;
    deployment.process(leader.as_str()).restart()?;
    Ok(outcome)
}

fn accepted_ms(changes: &[Accepted], percent: usize) -> f64 {
    let micros: Vec<u64> = changes
        .iter()
        .map(|accepted| accepted.took.as_micros() as u64)
        .collect();
    percentile(&micros, percent) as f64 / 1_000.0
}

/// For each change the time from its acceptance until every daemon worked by
/// it. With `daemons` only changes that so many daemons reported count.
fn in_force_ms(changes: &[Accepted], events: &[Event], daemons: usize) -> Vec<u64> {
    let mut spans = Vec::new();
    for accepted in changes {
        let mut first: BTreeMap<&InstanceId, u64> = BTreeMap::new();
        for event in events {
            if let EventKind::InForce { revision } = &event.kind
                && *revision >= accepted.revision
            {
                first.entry(&event.instance).or_insert(event.at.unix_ms);
            }
        }
        let last = first.values().max().copied();
        if let Some(last) = last.filter(|_| first.len() >= daemons) {
            spans.push(last.saturating_sub(accepted.at_unix_ms));
        }
    }
    spans
}

/// Daemons that went from one revision to an earlier one.
fn reverted(events: &[Event]) -> usize {
    let mut known: BTreeMap<&InstanceId, Revision> = BTreeMap::new();
    let mut count = 0;
    for event in events {
        match &event.kind {
            EventKind::Started { .. } => drop(known.remove(&event.instance)),
            EventKind::InForce { revision } => {
                let before = known.insert(&event.instance, *revision);
                count += usize::from(before.is_some_and(|before| before > *revision));
            }
            _ => {}
        }
    }
    count
}

fn percentile(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let position = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(position).copied().unwrap_or(0)
}

/// One daemon's use so far.
struct Usage {
    cpu: Duration,
    call_bytes: u64,
}

fn usage(deployment: &mut Deployment) -> BTreeMap<String, Usage> {
    let entries = deployment
        .entries()
        .iter()
        .map(|(name, address)| (name.to_string(), *address));
    let agents = deployment
        .agents()
        .iter()
        .map(|(name, address)| (name.to_string(), *address));
    let daemons: Vec<_> = entries.chain(agents).collect();
    let mut usages = BTreeMap::new();
    for (name, address) in daemons {
        let text = caller_get(address, "/metrics", "").body;
        let metric = |metric: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(metric));
            line.and_then(|rest| rest.trim().parse::<u64>().ok())
                .unwrap_or(0)
        };
        let call_bytes =
            metric("moleroad_call_received_bytes ") + metric("moleroad_call_sent_bytes ");
        let cpu = deployment.process(&name).cpu_time();
        usages.insert(name, Usage { cpu, call_bytes });
    }
    usages
}

/// The cost of control while `work` runs.
fn cost_over(deployment: &mut Deployment, work: impl FnOnce()) -> Cost {
    let before = usage(deployment);
    let started = Instant::now();
    work();
    let seconds = started.elapsed().as_secs_f64();
    let after = usage(deployment);
    let mut cost = Cost::default();
    let control = ["entry-0", "entry-1", "entry-2"];
    for (name, after) in after {
        let Some(before) = before.get(&name) else {
            continue;
        };
        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds * 100.0;
        let cpu = (cpu * 100.0).round() / 100.0;
        let bytes = (after.call_bytes.saturating_sub(before.call_bytes) as f64 / seconds) as u64;
        let memory = deployment.process(&name).memory_bytes();
        if control.contains(&name.as_str()) {
            cost.control_cpu_percent = cost.control_cpu_percent.max(cpu);
            cost.control_rss_bytes = cost.control_rss_bytes.max(memory);
            cost.control_bytes_per_second = cost.control_bytes_per_second.max(bytes);
        } else {
            cost.follower_cpu_percent = cost.follower_cpu_percent.max(cpu);
            cost.follower_rss_bytes = cost.follower_rss_bytes.max(memory);
            cost.follower_bytes_per_second = cost.follower_bytes_per_second.max(bytes);
        }
    }
    cost
}
