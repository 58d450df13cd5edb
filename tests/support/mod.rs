//! Shared helpers of the tests with a deployment of engines and services.

#![allow(dead_code)]

use moleroad_fakes::caller::{caller_get, caller_post};
use moleroad_fakes::deployment::account_key;
use moleroad_fakes::prelude::*;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Path of the bookings of the service.
pub const BOOKINGS: &str = "/v1/services/depot-api/bookings";

/// Returns a shape with two engines and one service of two targets.
pub fn shape() -> DeploymentShape {
    DeploymentShape {
        engines: 2,
        services: vec![("depot-api", 2)],
        ..DeploymentShape::small()
    }
}

/// Starts a deployment in which all engines serve `pallets/notes`.
pub fn start(shape: DeploymentShape) -> (Deployment, RootDigest) {
    let engines = shape.engines as u32;
    let mut deployment = Deployment::start(shape).unwrap();
    deployment.add_account("pallets", 300, 5_000).unwrap();
    deployment.add_account("labs", 300, 5_000).unwrap();
    deployment
        .add_service("depot-api", &["pallets", "labs"])
        .unwrap();
    let root = deployment.serve_notes(256 << 10).unwrap();
    for (_, entry) in deployment.entries() {
        wait_until("the entry to receive routes", || {
            (engines == 0 || request_stream(*entry, 1).status == 200).then_some(())
        });
        wait_until("the entry to receive services", || {
            (send_read(*entry).status == 200).then_some(())
        });
    }
    (deployment, root)
}

/// Sends a read, which is repeatable.
pub fn send_read(entry: SocketAddr) -> CallerAnswer {
    caller_get(
        entry,
        "/v1/services/depot-api/slots",
        &account_key("pallets"),
    )
}

/// Requests a stream of `tokens` tokens.
pub fn request_stream(entry: SocketAddr, tokens: u64) -> CallerAnswer {
    let body =
        format!("{{\"model\":\"notes\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":{tokens}}}");
    caller_post(
        entry,
        "/v1/completions",
        &account_key("pallets"),
        &BTreeMap::new(),
        &body,
    )
}

/// Sends a booking, which may run at most once.
pub fn send_booking(entry: SocketAddr, key: &str, body: &str) -> CallerAnswer {
    let headers = BTreeMap::from([("Idempotency-Key", key.to_string())]);
    caller_post(entry, BOOKINGS, &account_key("pallets"), &headers, body)
}

/// Returns how often each body ran, summed over both targets of the service.
pub fn runs(deployment: &Deployment) -> BTreeMap<String, u64> {
    let mut total = BTreeMap::new();
    for service in ["depot-api-0", "depot-api-1"] {
        let counts = caller_get(deployment.target(service), "/runs", "").json();
        for (body, count) in counts.as_object().into_iter().flatten() {
            *total.entry(body.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    total
}

/// Returns the engine that has started a request since `before`.
pub fn busy_engine(deployment: &Deployment, before: &BTreeMap<String, u64>) -> String {
    wait_until("a request to begin", || {
        let started = started_counts(deployment);
        started
            .into_iter()
            .find(|(name, count)| *count > before[name])
            .map(|(name, _)| name)
    })
}

/// Returns the number of requests that each engine has started.
pub fn started_counts(deployment: &Deployment) -> BTreeMap<String, u64> {
    let names = ["engine-0", "engine-1"];
    let count = |name: &&str| {
        caller_get(deployment.target(name), "/state", "").json()["started"]
            .as_u64()
            .unwrap_or(0)
    };
    names
        .iter()
        .map(|name| (name.to_string(), count(name)))
        .collect()
}
