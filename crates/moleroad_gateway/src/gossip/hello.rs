//! Builds the hello that one gossip exchange begins with.

use crate::node::Node;
use crate::peer::Hello;
use moleroad_directory::prelude::*;
use moleroad_membership::prelude::*;

/// Builds the hello for a contact, given what was exchanged with it so far.
/// Also returns the exchange state to record once the contact has answered.
pub(super) fn build_hello(
    node: &Node,
    contact: &Contact,
    peer_state: PeerState,
) -> (Hello, PeerState) {
    let now = node.clock.now();
    let mut view = node.view();
    let own = view.own.clone();
    view.directory.merge_daemon(now, own, 0);
    let was_announced = |observed: &&Observed<TargetRecord>| {
        let call = view.pending_announcements.get(&observed.record.id);
        call.is_some_and(|call| *call > peer_state.target_call_seq)
    };
    let targets = view.directory.targets().filter(was_announced);
    let targets = targets.map(|observed| observed.aged(now)).collect();
    let (ends, ends_position) = view.target_ends_since(now, peer_state.ends_position);
    let mut next = peer_state;
    let question = next.delta_request(now, contact);
    let hello = Hello {
        from: CallerUpdate::since(&view.directory, &view.own, peer_state.position),
        member: node
            .control_member
            .as_ref()
            .map(|control_member| control_member.own.clone()),
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
            .then_some(peer_state.ends_cursor),
    };
    let next = PeerState {
        ends_position,
        last_sent_ms: now.0,
        position: view.directory.position(),
        target_call_seq: view.announcement_count,
        ..next
    };
    (hello, next)
}
