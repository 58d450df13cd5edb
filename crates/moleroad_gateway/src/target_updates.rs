//! What targets say, spread to all entries before it is acknowledged.

use crate::node::Node;
use crate::peer::{PeerClient, TargetUpdate};
use crate::view::View;
use moleroad_directory::prelude::*;
use moleroad_membership::prelude::{Branch, fan_out};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long an acknowledgement waits for an entry that does not confirm news.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for one that passes it on to others, and waits for these.
const PASS_ON_TIMEOUT: Duration = SPREAD_TIMEOUT.saturating_mul(2);

impl View {
    /// Notes that a target told this daemon something that others are to know.
    pub fn tell_of(&mut self, target: &TargetId) {
        self.calls += 1;
        self.to_tell.insert(target.clone(), self.calls);
    }
}

/// Takes a heartbeat that was called in here.
pub async fn heartbeat(node: &Arc<Node>, record: TargetRecord) {
    let now = node.clock.now();
    let (change, kept) = {
        let mut view = node.view();
        let id = record.id.clone();
        let change = view.directory.merge_target(now, record, 0);
        view.tell_of(&id);
        let kept = view.directory.target(&id).map(|heard| heard.record.clone());
        (change, kept)
    };
    if change != TargetChange::Changed {
        return;
    }
    if let Some(record) = kept {
        log::info!(
            event = "target_heard",
            target:% = record.id,
            service = record.service.as_str(),
            life:? = record.life,
            sequence = record.sequence;
            ""
        );
        applied(node);
        // Entries learn the rest from their relays; that a target leaves they
        // must know before its word is acknowledged.
        if record.life != TargetLifecycle::Ready {
            spread(node, TargetUpdate::Changed(Aged { record, age_ms: 0 })).await;
        }
    }
}

/// Takes the word of a target that it ends.
pub async fn gone(node: &Arc<Node>, id: &str) {
    let id = TargetId::new(id);
    let now = node.clock.now();
    let news = node.view().directory.target_gone(now, &id);
    if news {
        log::info!(event = "target_gone", target:% = id; "");
        applied(node);
    }
    spread(node, TargetUpdate::Gone(id)).await;
}

/// Takes news that another entry brings.
pub fn take(node: &Node, news: Vec<TargetUpdate>) {
    let now = node.clock.now();
    {
        let mut view = node.view();
        for item in news {
            match item {
                TargetUpdate::Changed(aged) => {
                    view.directory.merge_target(now, aged.record, aged.age_ms);
                }
                TargetUpdate::Gone(id) => {
                    view.directory.target_gone(now, &id);
                }
            }
        }
    }
    applied(node);
}

/// Puts to use what the directory learned.
pub fn applied(node: &Node) {
    let now = node.clock.now();
    node.view().refresh_candidates(now, &node.settings);
    node.serve_waiting();
}

async fn spread(node: &Arc<Node>, news: TargetUpdate) {
    let branches = fan_out(other_entries(node));
    let calls = branches
        .into_iter()
        .map(|branch| tell_branch(node, &news, branch));
    futures::future::join_all(calls).await;
}

/// Tells the entries of one branch. Where its head does not confirm, the others are
/// told from here.
async fn tell_branch(node: &Arc<Node>, news: &TargetUpdate, branch: Branch) {
    if branch.rest.is_empty() {
        tell_each(node, news, vec![branch.head]).await;
        return;
    }
    let call = {
        let (news, rest) = (vec![news.clone()], branch.rest.clone());
        |client: PeerClient, context| async move { client.pass_on(context, news, rest).await }
    };
    let told = node.peers.call(branch.head, PASS_ON_TIMEOUT, call).await;
    if let Err(error) = told {
        log::info!(event = "branch_told_from_here", head:% = branch.head, reason:? = error; "");
        tell_each(node, news, branch.rest).await;
    }
}

/// Takes news that another entry brings, and passes it on to others of this data
/// hall.
pub async fn pass_on(node: &Arc<Node>, news: Vec<TargetUpdate>, to: Vec<SocketAddr>) {
    take(node, news.clone());
    let calls = news.iter().map(|item| tell_each(node, item, to.clone()));
    futures::future::join_all(calls).await;
}

async fn tell_each(node: &Arc<Node>, news: &TargetUpdate, entries: Vec<SocketAddr>) {
    let calls = entries.into_iter().map(|address| {
        let news = vec![news.clone()];
        let call = |client: PeerClient, context| async move { client.targets(context, news).await };
        // One that does not confirm hears of it in its next greetings.
        async move { node.peers.call(address, SPREAD_TIMEOUT, call).await.ok() }
    });
    futures::future::join_all(calls).await;
}

/// The other entries that were heard lately, leaving ones too, for they still
/// serve: their data halls and peer addresses.
fn other_entries(node: &Node) -> Vec<(String, SocketAddr)> {
    let now = node.clock.now();
    let own = node.settings.peer_address();
    let view = node.view();
    let lately = |heard: &&Observed<DaemonRecord>| {
        heard.record.role == DaemonRole::Entry
            && heard.record.peer != own
            && now.since(heard.at) < moleroad_directory::directory::DAEMON_SUSPECT_MS
    };
    let entries = view.directory.daemons().filter(lately);
    let places = entries.map(|heard| (heard.record.hall.clone(), heard.record.peer));
    places.collect()
}
