//! Putting to use what other daemons say.

use crate::node::Node;
use crate::target_updates;
use crate::view::View;
use moleroad_types::prelude::{InstanceId, Millis};

/// Counts what an agent read of its engine as the engine's load.
pub fn count_load(view: &mut View, now: Millis, instance: &InstanceId) {
    let Some(heard) = view.directory.daemon(instance) else {
        return;
    };
    let (Some(engine), Some(report)) = (heard.record.engine, &heard.record.report) else {
        return;
    };
    let (running, queued) = (report.running, report.queued);
    let Some(target) = view.directory.target_at(engine) else {
        return;
    };
    let (id, service) = (target.record.id.clone(), target.record.service.clone());
    if let Some(places) = view.services.get_mut(&service) {
        places.targets.reported(now, &id, running, queued);
    }
}

/// Lets requests go by what was learned; `changed` says that the targets that
/// may get requests may be others.
pub fn put_to_use(node: &Node, changed: bool) {
    if changed {
        target_updates::applied(node);
    } else {
        node.serve_waiting();
    }
}
