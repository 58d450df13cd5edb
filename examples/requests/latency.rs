//! The latency that entry and agent add to a request.

use crate::calls::echo;
use crate::measurement::{ms, percentile, rounded};
use moleroad_fakes::caller::caller_post;
use moleroad_fakes::deployment::account_key;
use moleroad_fakes::prelude::*;
use std::collections::BTreeMap;
use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Number of requests in each latency comparison.
const SAMPLES: usize = 300;
/// Measures the latency that entry and agent add to a plain service's response.
pub fn measure_added_latency(deployment: &Deployment, wrong: &AtomicU64) -> (f64, f64) {
    let (entry, direct) = (deployment.entry(0), deployment.target("depot-api-0"));
    let mut routed_times = Vec::new();
    let mut direct_times = Vec::new();
    for number in 0..SAMPLES {
        let body = format!("hop {number}");
        let started = Instant::now();
        let answer = echo(entry, "pallets", &body);
        routed_times.push(ms(started.elapsed()));
        if answer.json()["echo"] != body {
            wrong.fetch_add(1, Ordering::AcqRel);
        }
        let started = Instant::now();
        caller_post(direct, "/echo", "", &BTreeMap::new(), &body);
        direct_times.push(ms(started.elapsed()));
    }
    let added =
        |percent| rounded(percentile(&routed_times, percent) - percentile(&direct_times, percent));
    (added(50), added(99))
}

/// Returns the time from the start of the request to the first bytes of a streamed body.
pub fn first_token(url: String, key: &str, body: &str) -> Option<f64> {
    let started = Instant::now();
    let builder = attohttpc::post(url).proxy_settings(attohttpc::ProxySettings::builder().build());
    let mut response = builder
        .bearer_auth(key)
        .header("Content-Type", "application/json")
        .text(body)
        .send()
        .ok()?;
    let mut first = [0; 1];
    response.read_exact(&mut first).ok()?;
    let duration = ms(started.elapsed());
    response.read_to_end(&mut Vec::new()).ok()?;
    Some(duration)
}

/// Measures the time that entry and agent add to the first token of a stream.
pub fn first_token_added(deployment: &Deployment) -> f64 {
    let body = r#"{"model":"notes","prompt":"x","stream":true,"max_tokens":4}"#;
    let (entry, engine) = (deployment.entry(0), deployment.target("engine-0"));
    let mut routed_times = Vec::new();
    let mut direct_times = Vec::new();
    for _ in 0..SAMPLES {
        routed_times.extend(first_token(
            format!("http://{entry}/v1/completions"),
            &account_key("pallets"),
            body,
        ));
        direct_times.extend(first_token(
            format!("http://{engine}/v1/completions"),
            "",
            body,
        ));
    }
    rounded(percentile(&routed_times, 50) - percentile(&direct_times, 50))
}

/// Measures the latency that the claim of a booking adds.
pub fn claim_added(deployment: &Deployment) -> f64 {
    let entry = deployment.entry(0);
    let mut claimed = Vec::new();
    let mut plain = Vec::new();
    for number in 0..SAMPLES {
        let headers = BTreeMap::from([("Idempotency-Key", format!("claim-{number}"))]);
        let started = Instant::now();
        caller_post(
            entry,
            "/v1/services/depot-api/echo",
            &account_key("pallets"),
            &headers,
            "x",
        );
        claimed.push(ms(started.elapsed()));
        let started = Instant::now();
        echo(entry, "pallets", "x");
        plain.push(ms(started.elapsed()));
    }
    rounded(percentile(&claimed, 50) - percentile(&plain, 50))
}
