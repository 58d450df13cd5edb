//! Telling other daemons of this one, and learning from their answers.

use crate::node::Node;
use crate::peer::{Aged, Hello, HelloAnswer};
use crate::settings::RoleSetting;
use moleroad_directory::prelude::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between greetings of an entry, in milliseconds.
const ENTRY_GREETS_MS: u64 = 500;
/// Time between greetings of an agent, in milliseconds.
const AGENT_GREETS_MS: u64 = 1_000;
/// The same for a daemon of another region: bytes that cross are paid for.
const FAR_NEWS_MS: u64 = 400;
/// Time between greetings while nothing is known to be in force, in
/// milliseconds.
const IGNORANT_GREETS_MS: u64 = 150;
/// Time between looks at whom to greet, in milliseconds.
const LOOK_MS: u64 = 50;
/// Shortest time between greetings of one daemon when there is news, in
/// milliseconds.
const NEWS_MS: u64 = 120;
/// Time for an answer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for a whole state to arrive.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What a daemon was last told.
#[derive(Clone, Copy, Default)]
struct Told {
    at: u64,
    sequence: u64,
    pieces: u32,
}

#[derive(Default)]
struct Greeted {
    /// What each daemon was last told, by its peer address.
    told: HashMap<SocketAddr, Told>,
    /// Number of the last call of a target that a daemon was told of.
    told_calls: HashMap<SocketAddr, u64>,
    /// Daemons whose answer is waited for.
    waiting: HashSet<SocketAddr>,
    /// Daemons that answered at least once.
    answered: HashSet<SocketAddr>,
}

/// Greets others until the process ends.
pub async fn greet(node: Arc<Node>) {
    let greeted: Arc<Mutex<Greeted>> = Arc::default();
    loop {
        for address in due(&node, &greeted) {
            lock(&greeted).waiting.insert(address);
            tokio::spawn(greet_one(node.clone(), address, greeted.clone()));
        }
        let look = Duration::from_millis(LOOK_MS);
        let _ = tokio::time::timeout(look, node.news.notified()).await;
        expire(&node);
    }
}

fn lock(greeted: &Mutex<Greeted>) -> std::sync::MutexGuard<'_, Greeted> {
    greeted.lock().unwrap_or_else(|error| error.into_inner())
}

fn expire(node: &Node) {
    let now = node.clock.now();
    node.view().directory.expire(now);
}

/// Daemons to greet now.
fn due(node: &Node, greeted: &Mutex<Greeted>) -> Vec<SocketAddr> {
    let now = node.clock.now().0;
    let every = match node.settings.role {
        RoleSetting::Entry => ENTRY_GREETS_MS,
        RoleSetting::Agent => AGENT_GREETS_MS,
    };
    let own = node.settings.peer_address();
    let view = node.view();
    let every = if view.table.is_none() && view.catalog.models.is_empty() {
        IGNORANT_GREETS_MS
    } else {
        every
    };
    let (sequence, pieces) = (view.own.sequence, own_pieces(&view.own));
    let is_far = |record: &DaemonRecord| {
        record.role == DaemonRole::Entry
            && record.region != view.own.region
            && view.own.role == DaemonRole::Agent
    };
    let mut others: Vec<(SocketAddr, DaemonRole, bool)> = view
        .directory
        .daemons()
        .filter(|heard| greets(&view.own, &heard.record))
        .map(|heard| &heard.record)
        .map(|record| (record.peer, record.role, is_far(record)))
        .collect();
    drop(view);
    let seeds = node.seeds().into_iter();
    others.extend(seeds.map(|seed| (seed, DaemonRole::Entry, false)));
    // What is known of a seed goes before its bare address.
    others.sort_by_key(|(address, _, is_far)| (*address, !is_far));
    others.dedup_by_key(|(address, _, _)| *address);
    let greeted = lock(greeted);
    let is_due = |(address, role, is_far): &(SocketAddr, DaemonRole, bool)| {
        let told = greeted.told.get(address).copied().unwrap_or_default();
        let has_news = match role {
            DaemonRole::Entry => told.sequence != sequence,
            DaemonRole::Agent => told.pieces != pieces,
        };
        let regular = *role == DaemonRole::Entry && now >= told.at + every;
        let pause = if *is_far { FAR_NEWS_MS } else { NEWS_MS };
        let is_time = regular || (has_news && now >= told.at + pause);
        *address != own && !greeted.waiting.contains(address) && is_time
    };
    let due = others.into_iter().filter(is_due);
    due.map(|(address, _, _)| address).collect()
}

/// Changes when there are more pieces to give, or of another version.
fn own_pieces(own: &DaemonRecord) -> u32 {
    let weigh = |map: &PieceMap| map.count() + (map.version as u32) * 4_096;
    own.pieces.iter().map(weigh).sum()
}

/// Entries greet entries; agents greet entries, and agents of their service
/// when they have new pieces to give.
fn greets(own: &DaemonRecord, other: &DaemonRecord) -> bool {
    if other.instance == own.instance {
        return false;
    }
    match (own.role, other.role) {
        (_, DaemonRole::Entry) => true,
        (DaemonRole::Agent, DaemonRole::Agent) => own.service == other.service,
        (DaemonRole::Entry, DaemonRole::Agent) => false,
    }
}

async fn greet_one(node: Arc<Node>, address: SocketAddr, greeted: Arc<Mutex<Greeted>>) {
    let (told_calls, first) = {
        let greeted = lock(&greeted);
        let calls = greeted.told_calls.get(&address).copied().unwrap_or(0);
        (calls, !greeted.answered.contains(&address))
    };
    let (hello, calls) = hello(&node, told_calls, first);
    let told = Told {
        at: node.clock.now().0,
        sequence: hello.from.sequence,
        pieces: own_pieces(&hello.from),
    };
    lock(&greeted).told.insert(address, told);
    let answer = node
        .peers
        .call(address, HELLO_TIMEOUT, |client, context| async move {
            client.hello(context, hello).await
        })
        .await;
    {
        let mut greeted = lock(&greeted);
        greeted.waiting.remove(&address);
        let was_heard = greeted.answered.contains(&address);
        if answer.is_ok() != was_heard {
            let event = if was_heard { "peer_lost" } else { "peer_heard" };
            log::info!(event = event, peer:% = address, reason:? = answer.as_ref().err(); "");
        }
        if answer.is_ok() {
            greeted.told_calls.insert(address, calls);
            greeted.answered.insert(address);
        } else {
            greeted.answered.remove(&address);
            // What it was told may not have arrived.
            greeted.told.insert(
                address,
                Told {
                    at: told.at,
                    ..Told::default()
                },
            );
        }
    }
    if let Ok(answer) = answer {
        take_answer(&node, address, answer).await;
    }
}

/// What this daemon tells, with targets that called it after `told`.
pub fn hello(node: &Node, told: u64, wants_targets: bool) -> (Hello, u64) {
    let now = node.clock.now();
    let view = node.view();
    let called = |heard: &&Heard<TargetRecord>| {
        let call = view.called_here.get(&heard.record.id);
        call.is_some_and(|call| *call > told)
    };
    let targets = view.directory.targets().filter(called);
    let targets = targets.map(|heard| Aged {
        record: heard.record.clone(),
        age_ms: now.since(heard.at),
    });
    let hello = Hello {
        from: view.own.clone(),
        member: node.core.as_ref().map(|core| core.own.clone()),
        daemons_digest: view.directory.daemons_digest(),
        config_version: view.state.config_version(),
        versions: view.state.versions.clone(),
        leader: view.leader,
        targets: targets.collect(),
        wants_targets: wants_targets && node.settings.role == RoleSetting::Entry,
    };
    (hello, view.calls)
}

async fn take_answer(node: &Arc<Node>, address: SocketAddr, answer: HelloAnswer) {
    let now = node.clock.now();
    let behind = {
        let mut view = node.view();
        for aged in answer.daemons {
            if aged.record.instance != view.own.instance {
                view.directory.hear_daemon(now, aged.record, aged.age_ms);
            }
        }
        for (model, versions) in &answer.versions {
            for version in versions {
                view.name_version(now, model, version.version, version.age_ms);
            }
        }
        for aged in answer.targets {
            view.directory.hear_target(now, aged.record, aged.age_ms);
        }
        if let Some(catalog) = answer.catalog {
            view.catalog = catalog;
        }
        view.take_leader(answer.leader);
        answer.config_version > view.state.config_version()
    };
    if node.settings.role == RoleSetting::Entry {
        crate::target_news::applied(node);
        if behind {
            pull(node, address).await;
        }
    }
}

/// Takes what another daemon has in force.
pub async fn pull(node: &Arc<Node>, address: SocketAddr) {
    let pulled = node
        .peers
        .call(address, PULL_TIMEOUT, |client, context| async move {
            client.pull(context).await
        })
        .await;
    if let Ok(state) = pulled {
        node.take_state(&state);
    }
}
