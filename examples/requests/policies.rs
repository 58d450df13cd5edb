//! A comparison of routing policies.

use crate::calls::{start, stream_body};
use crate::latency::first_token;
use crate::load::in_threads;
use crate::measurement::{ms, percentile, rounded};
use moleroad_fakes::deployment::account_key;
use moleroad_fakes::prelude::*;
use moleroad_settings::settings::RoutingPolicySetting;
use serde::Serialize;
use std::error::Error;
use std::time::{Duration, Instant};

/// Latencies of short requests under one routing policy.
#[derive(Debug, Serialize)]
pub struct PolicyReport {
    policy: RoutingPolicySetting,
    p50_ms: f64,
    p99_ms: f64,
    first_token_p99_ms: f64,
}

/// Measures the same load under one routing policy: requests of mixed length on slow
/// engines.
pub fn compare_policy(policy: RoutingPolicySetting) -> Result<PolicyReport, Box<dyn Error>> {
    let (deployment, _) = start(DeploymentShape {
        engines: 6,
        services: vec![],
        token_time: Duration::from_millis(5),
        engine_slots: 4,
        target_places: 4,
        routing_policy: policy,
        ..DeploymentShape::small()
    })?;
    let entries = deployment.entry_addresses();
    let asked = in_threads(18, move |number| {
        // One caller in six sends requests that are eight times as long as the others.
        let tokens = if number % 6 == 0 { 64 } else { 8 };
        let entry = entries[number % entries.len()];
        let started = Instant::now();
        let first = first_token(
            format!("http://{entry}/v1/completions"),
            &account_key("pallets"),
            &stream_body(tokens),
        );
        (tokens, ms(started.elapsed()), first)
    });
    let short: Vec<_> = asked
        .into_iter()
        .filter(|(tokens, ..)| *tokens == 8)
        .collect();
    let whole: Vec<f64> = short.iter().map(|(_, duration, _)| *duration).collect();
    let first: Vec<f64> = short.iter().filter_map(|(_, _, first)| *first).collect();
    Ok(PolicyReport {
        policy,
        p50_ms: rounded(percentile(&whole, 50)),
        p99_ms: rounded(percentile(&whole, 99)),
        first_token_p99_ms: rounded(percentile(&first, 99)),
    })
}
