//! Changes that targets report, broadcast to all entries before they are acknowledged.

use crate::node::Node;
use crate::peer::{PeerClient, TargetUpdate};
use crate::view::View;
use moleroad_directory::prelude::*;
use moleroad_membership::prelude::{Branch, fan_out};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long an acknowledgement waits for an entry that does not confirm an update.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for an entry that forwards the update and waits for the others to confirm.
const FORWARD_TIMEOUT: Duration = CONFIRM_TIMEOUT.saturating_mul(2);

impl View {
    /// Marks a target whose state changed here for announcement to other daemons.
    pub fn announce(&mut self, target: &TargetId) {
        self.announcement_count += 1;
        self.pending_announcements
            .insert(target.clone(), self.announcement_count);
    }
}

/// Handles a heartbeat sent to this entry.
pub async fn heartbeat(node: &Arc<Node>, record: TargetRecord) {
    let now = node.clock.now();
    let (change, current) = {
        let mut view = node.view();
        let id = record.id.clone();
        let change = view.directory.hear_target(now, record);
        view.announce(&id);
        let current = view
            .directory
            .target(&id)
            .map(|observed| observed.record.clone());
        (change, current)
    };
    if change != TargetChange::Changed {
        return;
    }
    if let Some(record) = current {
        log::info!(
            event = "target_heard",
            target:% = record.id,
            service = record.service.as_str(),
            life:? = record.life,
            sequence = record.sequence;
            ""
        );
        refresh_targets(node);
        // Other updates reach entries through their relays, but a target that leaves
        // must be known to all before it is acknowledged.
        if record.life != TargetLifecycle::Ready {
            broadcast(node, TargetUpdate::Changed(Aged { record, age_ms: 0 })).await;
        }
    }
}

/// Handles the deregistration of a target.
pub async fn deregister(node: &Arc<Node>, id: &str) {
    let id = TargetId::new(id);
    let now = node.clock.now();
    let changed = node.view().directory.mark_target_gone(now, &id);
    if changed {
        log::info!(event = "target_gone", target:% = id; "");
        refresh_targets(node);
    }
    broadcast(node, TargetUpdate::Gone(id)).await;
}

/// Merges updates from another entry.
pub fn apply_updates(node: &Node, updates: Vec<TargetUpdate>) {
    let now = node.clock.now();
    {
        let mut view = node.view();
        for item in updates {
            match item {
                TargetUpdate::Changed(aged) => {
                    view.directory.merge_target(now, aged.record, aged.age_ms);
                }
                TargetUpdate::Gone(id) => {
                    view.directory.mark_target_gone(now, &id);
                }
            }
        }
    }
    refresh_targets(node);
}

/// Applies changes of the directory to candidates and waiting requests.
pub fn refresh_targets(node: &Node) {
    let now = node.clock.now();
    report_holder_changes(node);
    node.view().refresh_candidates(now, &node.settings);
    node.serve_waiting();
}

/// Logs and counts addresses that passed from one target to another.
fn report_holder_changes(node: &Node) {
    let changes = node.view().directory.take_holder_changes();
    for change in changes {
        node.metrics.count("address_passed_on");
        log::info!(
            event = "address_passed_on",
            address:% = change.address,
            from:% = change.from,
            to:% = change.to;
            ""
        );
    }
}

async fn broadcast(node: &Arc<Node>, update: TargetUpdate) {
    let branches = fan_out(other_entries(node));
    let calls = branches
        .into_iter()
        .map(|branch| send_to_branch(node, &update, branch));
    futures::future::join_all(calls).await;
}

/// Sends the update to the entries of one branch. If the head does not confirm, this
/// entry sends it to the others directly.
async fn send_to_branch(node: &Arc<Node>, update: &TargetUpdate, branch: Branch) {
    if branch.rest.is_empty() {
        send_to_each(node, update, vec![branch.head]).await;
        return;
    }
    let call = {
        let (updates, rest) = (vec![update.clone()], branch.rest.clone());
        |client: PeerClient, context| async move { client.pass_on(context, updates, rest).await }
    };
    let result = node.peers.call(branch.head, FORWARD_TIMEOUT, call).await;
    if let Err(error) = result {
        log::info!(event = "branch_told_from_here", head:% = branch.head, reason:? = error; "");
        send_to_each(node, update, branch.rest).await;
    }
}

/// Merges updates from another entry and forwards them to other entries of this data
/// hall.
pub async fn pass_on(node: &Arc<Node>, updates: Vec<TargetUpdate>, to: Vec<SocketAddr>) {
    apply_updates(node, updates.clone());
    let calls = updates
        .iter()
        .map(|item| send_to_each(node, item, to.clone()));
    futures::future::join_all(calls).await;
}

async fn send_to_each(node: &Arc<Node>, update: &TargetUpdate, entries: Vec<SocketAddr>) {
    let calls = entries.into_iter().map(|address| {
        let updates = vec![update.clone()];
        let call =
            |client: PeerClient, context| async move { client.targets(context, updates).await };
        // An entry that does not confirm receives the update with its next gossip
        // exchanges.
        async move { node.peers.call(address, CONFIRM_TIMEOUT, call).await.ok() }
    });
    futures::future::join_all(calls).await;
}

/// Returns the data halls and peer addresses of the other recently seen entries,
/// including leaving ones, which still serve requests.
fn other_entries(node: &Node) -> Vec<(String, SocketAddr)> {
    let now = node.clock.now();
    let own = node.settings.peer_address();
    let view = node.view();
    let recently_seen = |observed: &&Observed<DaemonRecord>| {
        observed.record.role == DaemonRole::Entry
            && observed.record.peer != own
            && now.since(observed.last_seen) < moleroad_directory::directory::DAEMON_SUSPECT_MS
    };
    let entries = view.directory.daemons().filter(recently_seen);
    let addresses = entries.map(|observed| (observed.record.hall.clone(), observed.record.peer));
    addresses.collect()
}
