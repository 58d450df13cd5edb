//! The deployments that are measured, and the requests of their callers.

use moleroad_fakes::caller::caller_post;
use moleroad_fakes::deployment::account_key;
use moleroad_fakes::prelude::*;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;

/// Starts a deployment whose engines serve `pallets/notes`.
pub fn start(shape: DeploymentShape) -> Result<(Deployment, RootDigest), Box<dyn Error>> {
    let engines = shape.engines as u32;
    let services: Vec<&str> = shape.services.iter().map(|(name, _)| *name).collect();
    let mut deployment = Deployment::start(shape)?;
    deployment.add_account("pallets", 3_000, 1_000_000)?;
    deployment.add_account("labs", 3_000, 1_000_000)?;
    for service in &services {
        deployment.add_service(service, &["pallets", "labs"])?;
    }
    let root = deployment.serve_notes(256 << 10)?;
    for (_, entry) in deployment.entries() {
        wait_until("routes to engines", || {
            (engines == 0 || request_stream(*entry, 1, 30_000).status == 200).then_some(())
        });
        wait_until("routes to services", || {
            (services.is_empty() || echo(*entry, "pallets", "x").status == 200).then_some(())
        });
    }
    Ok((deployment, root))
}

/// Returns the body of a request for a stream of `tokens` tokens, with a prompt of its own.
pub fn stream_body(tokens: u64) -> String {
    format!(
        "{{\"model\":\"notes\",\"prompt\":\"{:08x}\",\"stream\":true,\"max_tokens\":{tokens}}}",
        rand::random::<u32>()
    )
}

/// Requests a stream of `tokens` tokens.
pub fn request_stream(entry: SocketAddr, tokens: u64, deadline_ms: u64) -> CallerAnswer {
    let body = stream_body(tokens);
    let headers = BTreeMap::from([("X-Deadline-Ms", deadline_ms.to_string())]);
    caller_post(
        entry,
        "/v1/completions",
        &account_key("pallets"),
        &headers,
        &body,
    )
}

/// Sends a request whose response repeats its body.
pub fn echo(entry: SocketAddr, account: &str, body: &str) -> CallerAnswer {
    caller_post(
        entry,
        "/v1/services/depot-api/echo",
        &account_key(account),
        &BTreeMap::new(),
        body,
    )
}
