//! What targets say, spread to all entries before it is acknowledged.

use crate::node::Node;
use crate::peer::TargetNews;
use crate::view::View;
use moleroad_directory::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long an acknowledgement waits for entries that do not confirm news.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(400);

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
        let change = view.directory.hear_target(now, record, 0);
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
        if record.life != TargetLife::Ready {
            spread(node, TargetNews::Changed(Aged { record, age_ms: 0 })).await;
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
    spread(node, TargetNews::Gone(id)).await;
}

/// Takes news that another entry brings.
pub fn take(node: &Node, news: Vec<TargetNews>) {
    let now = node.clock.now();
    {
        let mut view = node.view();
        for item in news {
            match item {
                TargetNews::Changed(aged) => {
                    view.directory.hear_target(now, aged.record, aged.age_ms);
                }
                TargetNews::Gone(id) => {
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

async fn spread(node: &Arc<Node>, news: TargetNews) {
    let others = other_entries(node);
    let calls = others.into_iter().map(|address| {
        let news = vec![news.clone()];
        let node = node.clone();
        async move {
            let call = |client: crate::peer::PeerClient, context| async move {
                client.targets(context, news).await
            };
            let _ = node.peers.call(address, SPREAD_TIMEOUT, call).await;
        }
    });
    futures::future::join_all(calls).await;
}

/// Peer addresses of the other entries that were heard lately, leaving ones
/// too: they still serve.
pub fn other_entries(node: &Node) -> Vec<SocketAddr> {
    let now = node.clock.now();
    let own = node.settings.peer_address();
    let view = node.view();
    let lately = |heard: &&Heard<DaemonRecord>| {
        heard.record.role == DaemonRole::Entry
            && heard.record.peer != own
            && now.since(heard.at) < moleroad_directory::directory::DAEMON_QUIET_MS
    };
    let entries = view.directory.daemons().filter(lately);
    entries.map(|heard| heard.record.peer).collect()
}
