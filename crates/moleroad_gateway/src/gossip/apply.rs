//! Applies state received from other daemons to waiting requests and target loads.

use crate::node::Node;
use crate::target_updates;
use crate::view::View;
use moleroad_types::prelude::{InstanceId, Millis};

/// Records the engine load in an agent's report as the load of the
/// corresponding target.
pub fn record_load(view: &mut View, now: Millis, instance: &InstanceId) {
    let Some(observed) = view.directory.daemon(instance) else {
        return;
    };
    let (Some(engine), Some(report)) = (observed.record.engine, &observed.record.report) else {
        return;
    };
    let (running, queued) = (report.running, report.queued);
    let Some(target) = view.directory.target_at(engine) else {
        return;
    };
    let (id, service) = (target.record.id.clone(), target.record.service.clone());
    if let Some(slots) = view.services.get_mut(&service) {
        slots.targets.record_report(now, &id, running, queued);
    }
}

/// Re-evaluates waiting requests after an update. `changed` says that the set
/// of eligible targets may have changed.
pub fn apply_changes(node: &Node, changed: bool) {
    if changed {
        target_updates::refresh_targets(node);
    } else {
        node.serve_waiting();
    }
}
