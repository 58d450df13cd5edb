//! A deployment of the older programs whose engines and services callers use.

#![allow(dead_code)]

use moleroad_fakes::caller::{caller_get, caller_post};
use moleroad_fakes::deployment::{account_key, weights_of};
use moleroad_fakes::prelude::*;
use moleroad_types::label::Operator;
use moleroad_types::object::{REGION_LABEL, Replicas};
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Path of a service's bookings.
pub const BOOKINGS: &str = "/v1/services/depot-api/bookings";

/// Two engines and one service of two targets.
pub fn shape() -> DeploymentShape {
    DeploymentShape {
        engines: 2,
        services: vec![("depot-api", 2)],
        ..DeploymentShape::small()
    }
}

/// A deployment in which both engines serve `pallets/notes`.
pub fn start(shape: DeploymentShape) -> (Deployment, RootDigest) {
    let engines = shape.engines as u32;
    let mut deployment = Deployment::start(shape).unwrap();
    deployment.add_account("pallets", 300, 5_000).unwrap();
    deployment.add_account("labs", 300, 5_000).unwrap();
    deployment
        .add_service("depot-api", &["pallets", "labs"])
        .unwrap();
    let everywhere = vec![Requirement {
        key: REGION_LABEL.into(),
        operator: Operator::Exists,
        values: vec![],
    }];
    deployment
        .select("notes", "pallets", "notes", everywhere, Replicas::All)
        .unwrap();
    let root = deployment
        .publish(
            "pallets",
            "notes",
            "v1",
            &weights_of(1, 256 << 10),
            64 << 10,
        )
        .unwrap();
    deployment.wait_serving("notes", root, engines);
    for (_, entry) in deployment.entries() {
        until("the entry to know routes", || {
            (engines == 0 || ask(*entry, 1).status == 200).then_some(())
        });
        until("the entry to know services", || {
            (read_slots(*entry).status == 200).then_some(())
        });
    }
    (deployment, root)
}

/// A read that may be repeated.
pub fn read_slots(entry: SocketAddr) -> CallerAnswer {
    caller_get(
        entry,
        "/v1/services/depot-api/slots",
        &account_key("pallets"),
    )
}

/// A stream of so many tokens.
pub fn ask(entry: SocketAddr, tokens: u64) -> CallerAnswer {
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

/// A booking, which may run once.
pub fn book(entry: SocketAddr, key: &str, body: &str) -> CallerAnswer {
    let headers = BTreeMap::from([("Idempotency-Key", key.to_string())]);
    caller_post(entry, BOOKINGS, &account_key("pallets"), &headers, body)
}

/// How often each body ran, over both services.
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

/// The engine on which a request began to run.
pub fn busy_engine(deployment: &Deployment, before: &BTreeMap<String, u64>) -> String {
    until("a request to begin", || {
        let started = started_counts(deployment);
        started
            .into_iter()
            .find(|(name, count)| *count > before[name])
            .map(|(name, _)| name)
    })
}

/// How many requests each engine began.
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
