//! Cases of the second review. `cases CASE RECORD` plays one: it exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it leaves out the
//! disruption.

mod cut_engine;
mod http;
mod late_heartbeat;
mod lost_control;
mod record;
mod removed_service;
mod stop_slow_reader;
mod system;
mod target;

use record::Record;
use std::path::Path;

/// Outcome of a case that ran.
pub enum Outcome {
    Held,
    Broken,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    if case == "engine" {
        let [id, address] = [(); 2].map(|()| arguments.next().unwrap_or_default());
        return cut_engine::run_engine(&id, &address);
    }
    let path = arguments.next().unwrap_or_else(|| "record.txt".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(&path));
    record.note(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let play: fn(Record, bool) -> Result<Outcome, String> = match case.as_str() {
        "cut-engine" => cut_engine::play,
        "late-heartbeat" => late_heartbeat::play,
        "lost-control" => lost_control::play,
        "removed-service" => removed_service::play,
        "stop-slow-reader" => stop_slow_reader::play,
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    };
    let played = record.clone();
    let result = std::panic::catch_unwind(|| play(played, trouble));
    let code = match result {
        Ok(Ok(Outcome::Held)) => 0,
        Ok(Ok(Outcome::Broken)) => 1,
        Ok(Err(reason)) => {
            record.note(&format!("the case could not run: {reason}"));
            2
        }
        Err(_) => 2,
    };
    let words = [
        "the rule held",
        "the rule was broken",
        "the case could not run",
    ];
    record.note(words[code]);
    println!("{case}: {}", words[code]);
    std::process::exit(code as i32);
}

/// Returns the document of a configuration. Each route is (name, prefix, service,
/// RouteKind, TimeoutMs, TargetLatencyMs).
pub fn configuration(
    version: u64,
    routes: &[(&str, &str, &str, &str, u64, u64)],
    services: &[&str],
) -> String {
    let routes = routes.iter().map(|(name, prefix, service, kind, timeout, latency)| {
        format!("{{\"Name\":\"{name}\",\"Host\":\"depot.example\",\"PathPrefix\":\"{prefix}\",\"RouteKind\":\"{kind}\",\"TimeoutMs\":{timeout},\"TargetLatencyMs\":{latency},\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2,\"Public\":false}}")
    });
    let services = services.iter().map(|service| {
        format!("{{\"Name\":\"{service}\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}")
    });
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[\"jnbanfqasnmgkcuyj8pj\"],\"Priority\":1}}]}}",
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(",")
    )
}

/// Returns the bytes of a client's request.
pub fn request(path: &str, id: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: depot.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nKey: jnbanfqasnmgkcuyj8pj\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
