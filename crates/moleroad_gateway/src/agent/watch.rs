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
/// Reads without answer after which the engine counts as away.
const AWAY_AFTER: u32 = 3;

/// Reads the engine until the process ends.
pub async fn watch(node: Arc<Node>) {
    let mut unanswered = 0;
    loop {
        match read(&node).await {
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
        tokio::time::sleep(READ_EVERY).await;
    }
}

/// What the engine has in hand at this moment.
pub async fn load(node: &Node) -> Option<EngineLoad> {
    let report = read(node).await?.report;
    let load = EngineLoad {
        running: report.running,
        queued: report.queued,
        takes_new: !is_switching(node),
    };
    tell(node, Some(report));
    Some(load)
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
    let engine = node.settings.engine?;
    let (status, body) = call(node, engine, node.interface.ask_state(), READ_TIMEOUT).await?;
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
    if view.own.report != report {
        view.own.report = report;
        view.own.sequence += 1;
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
