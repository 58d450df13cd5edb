//! Measures callers' requests in comparison with direct requests to the same fake target.

mod calls;
mod kills;
mod latency;
mod load;
#[path = "../measurement/mod.rs"]
mod measurement;
mod policies;

use bpaf::Bpaf;
use calls::start;
use kills::count_faults_during_kills;
use latency::{claim_added, first_token_added, measure_added_latency};
use load::{flood, overload, throughput};
use measurement::print_report;
use moleroad_fakes::prelude::*;
use moleroad_settings::settings::RoutingPolicySetting;
use policies::{PolicyReport, compare_policy};
use serde::Serialize;
use std::error::Error;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
/// Measures callers' requests in comparison with direct requests to the same fake target.
struct Args {
    /// Skip the comparison of routing policies
    no_policies: bool,
    /// Print one JSON object and nothing else
    json: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    hop_p50_ms: f64,
    hop_p99_ms: f64,
    first_token_added_ms: f64,
    requests_per_second: f64,
    claim_added_p50_ms: f64,
    small_account_p99_ratio: f64,
    /// Responses within the deadline divided by the capacity, at one and a half times the
    /// capacity.
    goodput: f64,
    /// 99th percentile of the time to a rejection, divided by the deadline; 1 means that
    /// the rejection came only at the deadline.
    refusal_p99_of_deadline: f64,
    duplicated: u64,
    wrong_or_short: u64,
    false_not_run: u64,
    policies: Vec<PolicyReport>,
}

fn main() -> ExitCode {
    let args = args().run();
    print_report("requests", run(&args), args.json, |report| {
        println!("{report:#?}")
    })
}

fn run(args: &Args) -> Result<Report, Box<dyn Error>> {
    build_programs()?;
    let (deployment, _) = start(DeploymentShape {
        engines: 12,
        services: vec![("depot-api", 3)],
        token_time: Duration::from_millis(1),
        ..DeploymentShape::small()
    })?;
    let wrong = AtomicU64::new(0);
    let (hop_p50_ms, hop_p99_ms) = measure_added_latency(&deployment, &wrong);
    let first_token_added_ms = first_token_added(&deployment);
    let claim_added_p50_ms = claim_added(&deployment);
    let requests_per_second = throughput(&deployment, &wrong);
    drop(deployment);
    let (goodput, refusal_p99_of_deadline) = overload(&wrong)?;
    let small_account_p99_ratio = flood(&wrong)?;
    let (duplicated, false_not_run) = count_faults_during_kills()?;
    let mut policies = Vec::new();
    if !args.no_policies {
        let all = [
            RoutingPolicySetting::Random,
            RoutingPolicySetting::LeastInFlight,
            RoutingPolicySetting::ExpectedWork,
        ];
        for policy in all {
            policies.push(compare_policy(policy)?);
        }
    }
    Ok(Report {
        hop_p50_ms,
        hop_p99_ms,
        first_token_added_ms,
        requests_per_second,
        claim_added_p50_ms,
        small_account_p99_ratio,
        goodput,
        refusal_p99_of_deadline,
        duplicated,
        wrong_or_short: wrong.load(Ordering::Acquire),
        false_not_run,
        policies,
    })
}
