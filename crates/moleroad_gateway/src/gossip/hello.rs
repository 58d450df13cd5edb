//! What a greeting tells and asks.

use crate::node::Node;
use crate::peer::Hello;
use moleroad_directory::prelude::*;
use moleroad_membership::prelude::*;

/// What this daemon tells a contact, and what that contact then was told.
pub(super) fn hello(node: &Node, contact: &Contact, told: PeerState) -> (Hello, PeerState) {
    let now = node.clock.now();
    let mut view = node.view();
    let own = view.own.clone();
    view.directory.merge_daemon(now, own, 0);
    let called = |heard: &&Observed<TargetRecord>| {
        let call = view.to_tell.get(&heard.record.id);
        call.is_some_and(|call| *call > told.calls)
    };
    let targets = view.directory.targets().filter(called);
    let targets = targets.map(|heard| heard.aged(now)).collect();
    let (ends, ends_position) = view.target_ends_since(now, told.ends_position);
    let mut next = told;
    let question = next.question(now, contact);
    let hello = Hello {
        from: CallerUpdate::since(&view.directory, &view.own, told.position),
        member: node.core.as_ref().map(|core| core.own.clone()),
        config_version: view.state.config_version(),
        config_digest: view.config_digest,
        versions: view.state.versions.clone(),
        leader: view.leader,
        targets,
        question,
        catalog_digest: view.catalog.digest(),
        halls: view.hall_updates(now),
        ends,
        ends_after: node
            .settings
            .role
            .has_full_state()
            .then_some(told.ends_cursor),
    };
    let next = PeerState {
        ends_position,
        at: now.0,
        position: view.directory.position(),
        calls: view.calls,
        ..next
    };
    (hello, next)
}
