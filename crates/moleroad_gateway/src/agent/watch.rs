//! Reading the engine and telling entries of it.

use crate::agent::calls::call;
use crate::experiments::Mechanism;
use crate::interface::EngineState;
use crate::node::Node;
use crate::peer::EngineLoad;
use moleroad_directory::prelude::EngineReport;
use std::sync::Arc;
use std::time::Duration;

/// Time between reads of the engine.
const READ_EVERY: Duration = Duration::from_millis(120);
/// Time for the engine to answer.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for an engine that was not read yet to answer: it begins at about the
/// same time as its agent, and an attempt to connect that comes too early may
/// hang.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between reads of an engine that was not read yet.
const FIRST_READ_EVERY: Duration = Duration::from_millis(40);
/// Reads without answer after which the engine counts as away.
const AWAY_AFTER: u32 = 3;

/// Reads the engine until the process ends.
pub async fn watch(node: Arc<Node>) {
    let mut unanswered = 0;
    loop {
        let is_known = node.view().own.report.is_some();
        let (timeout, pause) = if is_known {
            (READ_TIMEOUT, READ_EVERY)
        } else {
            (FIRST_READ_TIMEOUT, FIRST_READ_EVERY)
        };
        let rests = node
            .settings
            .engine
            .is_some_and(|engine| node.backoff_left_ms(engine) > 0);
        let read = read_within(&node, timeout).await;
        node.cold_engine.note_alive(node.clock.now());
        match read {
            // It is not asked; what it said last holds.
            None if rests => {}
            Some(state) => {
                unanswered = 0;
                tell(&node, Some(state.report));
            }
            None => {
                unanswered += 1;
                if unanswered >= AWAY_AFTER {
                    tell(&node, None);
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// What the engine has in hand at this moment.
pub async fn load(node: &Node) -> Option<EngineLoad> {
    let report = read(node).await?.report;
    let (running, queued) = (report.running, report.queued);
    tell(node, Some(report));
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

/// Whether the engine holds some version whole, as far as its layers tell.
pub fn serves(node: &Node) -> bool {
    if !node.settings.experiments.has(Mechanism::YieldingPieces) {
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

/// Reads the state of the engine of this instance.
pub async fn read(node: &Node) -> Option<EngineState> {
    read_within(node, READ_TIMEOUT).await
}

async fn read_within(node: &Node, timeout: Duration) -> Option<EngineState> {
    let engine = node.settings.engine?;
    if node.backoff_left_ms(engine) > 0 {
        return None;
    }
    let (status, body) = call(node, engine, node.interface.request_state(), timeout).await?;
    if !status.is_success() {
        return None;
    }
    node.interface.read_state(&body)
}

/// Tells entries what was read, if it is news.
pub fn tell(node: &Node, report: Option<EngineReport>) {
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
    // Engines that found the system with their agents are not cold.
    let is_founding = node.settings.found_group && !view.engine_was_polled;
    if view.own.report.is_none() && report.is_some() && !is_founding {
        node.cold_engine.engine_started(node.clock.now());
    }
    view.engine_was_polled |= report.is_some();
    if view.own.report != report {
        note_engine(view.own.report.as_ref(), report.as_ref());
        view.own.report = report;
        view.own.sequence += 1;
    }
}

/// Logs that the engine was lost or is there again.
fn note_engine(before: Option<&EngineReport>, now: Option<&EngineReport>) {
    match (before, now) {
        (None, Some(report)) => {
            let layers: u32 = report.holdings.iter().map(|held| held.to - held.from).sum();
            log::info!(event = "engine_heard", layers = layers; "");
        }
        (Some(_), None) => log::info!(event = "engine_lost"; ""),
        _ => {}
    }
}

/// Asks entries to send nothing new to the engine, or to send again.
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
    node.news.notify_waiters();
}
