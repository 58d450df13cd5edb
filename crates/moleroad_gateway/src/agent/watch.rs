//! Polls the engine and publishes its state to entries.

use crate::agent::calls::{CallLimits, call};
use crate::experiments::Mechanism;
use crate::interface::EngineState;
use crate::node::Node;
use crate::peer::EngineLoad;
use moleroad_directory::prelude::EngineReport;
use std::sync::Arc;
use std::time::Duration;

/// Time between polls of the engine.
const POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Largest report of an engine, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Time limit for a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for a poll of an engine that has not answered yet. It starts at
/// about the same time as its agent, and a connection attempt that comes too
/// early may hang.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between polls of an engine that has not answered yet.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Number of consecutive failed polls after which the engine counts as lost.
const LOST_AFTER_FAILURES: u32 = 3;

/// Polls the engine until the process ends.
pub async fn watch(node: Arc<Node>) {
    let mut unanswered = 0;
    loop {
        let is_known = node.view().own.report.is_some();
        let (timeout, pause) = if is_known {
            (POLL_TIMEOUT, POLL_INTERVAL)
        } else {
            (FIRST_POLL_TIMEOUT, FIRST_POLL_INTERVAL)
        };
        let is_backing_off = node
            .settings
            .engine
            .is_some_and(|engine| node.backoff_left_ms(engine) > 0);
        let read = read_with_timeout(&node, timeout).await;
        node.cold_engine.record_alive(node.clock.now());
        match read {
            // The engine requested a backoff and is not polled; its last report
            // remains valid.
            None if is_backing_off => {}
            Some(state) => {
                unanswered = 0;
                publish_report(&node, Some(state.report));
            }
            None => {
                unanswered += 1;
                if unanswered >= LOST_AFTER_FAILURES {
                    publish_report(&node, None);
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Polls the engine and returns its current load.
pub async fn load(node: &Node) -> Option<EngineLoad> {
    let report = read(node).await?.report;
    let (running, queued) = (report.running, report.queued);
    publish_report(node, Some(report));
    let cold = node.cold_engine.state(node.clock.now());
    Some(EngineLoad {
        running,
        queued,
        takes_new: !is_switching(node),
        engine_age_ms: cold.age_ms,
        cold_left_ms: cold.left_ms,
        grants_free: cold.grants,
        limit_grants_free: node.limit_grants.min_available(node.clock.now()),
    })
}

/// Returns whether the engine holds weights, according to its last report, and is
/// not switching versions. Always false if [`Mechanism::YieldingPieces`] is
/// disabled.
pub fn serves(node: &Node) -> bool {
    if !node
        .settings
        .experiments
        .is_enabled(Mechanism::YieldingPieces)
    {
        return false;
    }
    let view = node.view();
    let report = view.own.report.as_ref();
    report.is_some_and(|report| !report.holdings.is_empty() && !report.switching)
}

fn is_switching(node: &Node) -> bool {
    let view = node.view();
    view.own
        .report
        .as_ref()
        .is_some_and(|report| report.switching)
}

/// Polls the state of this instance's engine. Returns `None` if it did not
/// answer or is in a requested backoff.
pub async fn read(node: &Node) -> Option<EngineState> {
    read_with_timeout(node, POLL_TIMEOUT).await
}

async fn read_with_timeout(node: &Node, timeout: Duration) -> Option<EngineState> {
    let engine = node.settings.engine?;
    if node.backoff_left_ms(engine) > 0 {
        return None;
    }
    let limits = CallLimits {
        timeout,
        max_bytes: MAX_REPORT_BYTES,
    };
    let (status, body) = call(node, engine, node.interface.request_state(), limits)
        .await
        .ok()?;
    if !status.is_success() {
        return None;
    }
    node.interface.read_state(&body)
}

/// Publishes the engine's report to entries if it changed. `None` means that
/// the engine is lost.
pub fn publish_report(node: &Node, report: Option<EngineReport>) {
    let mut view = node.view();
    let switching = view
        .own
        .report
        .as_ref()
        .is_some_and(|known| known.switching);
    let report = report.map(|report| EngineReport {
        switching,
        ..report
    });
    // Engines that start together with a new system are not cold.
    let is_founding = node.settings.found_group && !view.engine_was_polled;
    if view.own.report.is_none() && report.is_some() && !is_founding {
        node.cold_engine.engine_started(node.clock.now());
    }
    view.engine_was_polled |= report.is_some();
    if view.own.report != report {
        log_engine_change(view.own.report.as_ref(), report.as_ref());
        view.own.report = report;
        view.own.sequence += 1;
    }
}

/// Logs when the engine is lost or becomes reachable.
fn log_engine_change(before: Option<&EngineReport>, now: Option<&EngineReport>) {
    match (before, now) {
        (None, Some(report)) => {
            let layers: u32 = report.holdings.iter().map(|held| held.to - held.from).sum();
            log::info!(event = "engine_heard", layers = layers; "");
        }
        (Some(_), None) => log::info!(event = "engine_lost"; ""),
        _ => {}
    }
}

/// Publishes whether the engine is switching versions, during which entries
/// send it no new requests.
pub fn set_switching(node: &Node, switching: bool) {
    let mut view = node.view();
    let changed = match &mut view.own.report {
        Some(report) if report.switching != switching => {
            report.switching = switching;
            true
        }
        _ => false,
    };
    if changed {
        view.own.sequence += 1;
    }
    drop(view);
    node.state_changed.notify_waiters();
}
