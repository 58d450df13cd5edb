//! Putting to use what other daemons say.

use crate::node::Node;
use crate::target_news;
use crate::view::View;
use moleroad_directory::prelude::*;
use moleroad_types::prelude::Millis;

/// What taking news came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Taken {
    /// Whether who may get requests may have changed.
    pub changed: bool,
    /// Whether all daemons spoken of are known here.
    pub is_complete: bool,
}

/// Takes news of daemons and targets.
pub fn take_news(view: &mut View, now: Millis, news: News) -> Taken {
    let mut changed = false;
    let mut is_complete = true;
    for aged in news.daemons {
        changed |= take_record(view, now, aged);
    }
    for aged in news.loads {
        let (life, load) = aged.record;
        is_complete &= view.directory.hear_life(now, &life, aged.age_ms);
        take_load(view, now, &life, load, aged.age_ms);
    }
    for aged in news.lives {
        is_complete &= view.directory.hear_life(now, &aged.record, aged.age_ms);
    }
    for aged in news.targets {
        let change = view.directory.hear_target(now, aged.record, aged.age_ms);
        changed |= change == TargetChange::Changed;
    }
    Taken {
        changed,
        is_complete,
    }
}

/// Takes a daemon's whole record; true if it is news.
pub fn take_record(view: &mut View, now: Millis, aged: Aged<DaemonRecord>) -> bool {
    let instance = aged.record.instance.clone();
    if instance == view.own.instance {
        return false;
    }
    let changed = view.directory.hear_daemon(now, aged.record, aged.age_ms);
    if changed {
        count_load(view, now, &instance);
    }
    changed
}

/// Takes news of a daemon's load; true if it is news.
pub fn take_load(view: &mut View, now: Millis, life: &Life, load: LoadNews, age_ms: u64) -> bool {
    if life.instance == view.own.instance {
        return false;
    }
    let changed = view.directory.hear_load(now, life, load, age_ms);
    if changed {
        count_load(view, now, &life.instance);
    }
    changed
}

/// Counts what an agent read of its engine as the engine's load.
fn count_load(view: &mut View, now: Millis, instance: &moleroad_types::prelude::InstanceId) {
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
        target_news::applied(node);
    } else {
        node.serve_waiting();
    }
}
