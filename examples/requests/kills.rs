//! Bookings while processes are killed.

use crate::calls::start;
use crate::load::{LOAD_TIME, in_threads};
use moleroad_fakes::caller::{caller_get, caller_post};
use moleroad_fakes::deployment::account_key;
use moleroad_fakes::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Sends bookings while targets, agents and an entry are killed. Returns how many ran
/// twice, and how many ran although they were rejected as not run.
pub fn count_faults_during_kills() -> Result<(u64, u64), Box<dyn Error>> {
    let (mut deployment, _) = start(DeploymentShape {
        engines: 1,
        entries: 4,
        services: vec![("depot-api", 3)],
        service_time: Duration::from_millis(5),
        ..DeploymentShape::small()
    })?;
    let entries = deployment.entry_addresses();
    let next = Arc::new(AtomicU64::new(0));
    let booking = thread::spawn(move || {
        in_threads(8, move |number| {
            let body = format!("booking {}", next.fetch_add(1, Ordering::AcqRel));
            let headers = BTreeMap::from([("Idempotency-Key", body.clone())]);
            let entry = entries[number % entries.len()];
            let answer = caller_post(
                entry,
                "/v1/services/depot-api/book",
                &account_key("pallets"),
                &headers,
                &body,
            );
            (body, answer)
        })
    });
    for name in [
        "depot-api-1",
        "entry-3",
        "depot-api-2-target",
        "depot-api-1",
    ] {
        thread::sleep(LOAD_TIME / 6);
        // The fake services keep running, so that every run is counted.
        if name.ends_with("-target") {
            deployment.process("depot-api-2").kill();
            deployment.process("depot-api-2").restart()?;
        } else {
            deployment.process(name).kill();
            deployment.process(name).restart()?;
        }
    }
    let answers = booking.join().map_err(|_| "the bookings failed")?;
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in 0..3 {
        let counts = caller_get(
            deployment.target(&format!("depot-api-{service}")),
            "/runs",
            "",
        )
        .json();
        for (body, count) in counts.as_object().into_iter().flatten() {
            *runs.entry(body.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    let ran = |body: &String| runs.get(body).copied().unwrap_or(0);
    let duplicated = answers.iter().filter(|(body, _)| ran(body) > 1).count() as u64;
    let refused = answers
        .iter()
        .filter(|(_, answer)| answer.body.contains("\"not_run\""));
    let false_not_run = refused.filter(|(body, _)| ran(body) > 0).count() as u64;
    Ok((duplicated, false_not_run))
}
