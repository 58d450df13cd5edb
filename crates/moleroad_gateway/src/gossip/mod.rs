//! Telling other daemons of this one, and learning from their answers.
//!
//! [`moleroad_membership`] says whom to greet and how often and keeps what was
//! said; here are the calls. `hello` is what is said, [`answer`] the callee's side,
//! [`take`] puts to use what was heard.

pub mod answer;
mod hello;
pub mod take;

use crate::halls::Source;
use crate::node::Node;
use crate::operator;
use crate::peer::HelloAnswer;
use hello::hello;
use moleroad_config::prelude::ConfigVersion;
use moleroad_directory::prelude::*;
use moleroad_membership::contacts::ISOLATION_TIMEOUT_MS;
use moleroad_membership::prelude::*;
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time between looks at whom to greet, in milliseconds.
const LOOK_MS: u64 = 50;
/// Time for an answer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for a whole state to arrive.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Greets others until the process ends.
pub async fn greet(node: Arc<Node>) {
    let greeted: Arc<Mutex<GossipState>> = Arc::default();
    loop {
        drop(node.standstill());
        for contact in due(&node, &greeted) {
            lock(&greeted).begin(node.clock.now(), contact.address);
            tokio::spawn(greet_one(node.clone(), contact, greeted.clone()));
        }
        let look = Duration::from_millis(LOOK_MS);
        let _ = tokio::time::timeout(look, node.news.notified()).await;
        let now = node.clock.now();
        let mut view = node.view();
        view.directory.expire(now);
        node.metrics.set_record_gauges(&view.directory);
        view.quarantine.suspects.expire(now);
    }
}

fn lock(greeted: &Mutex<GossipState>) -> MutexGuard<'_, GossipState> {
    greeted.lock().unwrap_or_else(|error| error.into_inner())
}

/// Contacts to greet now.
fn due(node: &Node, greeted: &Mutex<GossipState>) -> Vec<Contact> {
    let now = node.clock.now();
    let seeds = node.seeds();
    let mut view = node.view();
    let own = view.own.clone();
    view.directory.merge_daemon(now, own, 0);
    let passes_ends_on = node.settings.role.has_full_state();
    let ends_position = passes_ends_on.then(|| view.quarantine.suspects.position());
    let greeted = lock(greeted);
    let standing = ContactPlanner {
        now,
        directory: &view.directory,
        own: &view.own,
        seeds: &seeds,
        resting: &greeted.resting(now),
        is_busy: node.in_flight.load(std::sync::atomic::Ordering::Relaxed) > 0,
        lacks_configuration: view.table.is_none() && view.catalog.models.is_empty(),
        is_young: node.is_young(now),
        is_lost: greeted.silent_ms(now) >= ISOLATION_TIMEOUT_MS,
    };
    greeted.due(now, standing.contacts(), ends_position)
}

async fn greet_one(node: Arc<Node>, contact: Contact, greeted: Arc<Mutex<GossipState>>) {
    let address = contact.address;
    let before = lock(&greeted).told(address);
    let (hello, next) = hello(&node, &contact, before);
    let answer = node
        .peers
        .call(address, HELLO_TIMEOUT, |client, context| async move {
            client.hello(context, hello).await
        })
        .await;
    if answer.is_ok() != before.answers {
        let event = if before.answers {
            "peer_lost"
        } else {
            "peer_heard"
        };
        log::info!(event = event, peer:% = address, reason:? = answer.as_ref().err(); "");
    }
    let outcome = if answer.is_ok() {
        "answered"
    } else {
        "unanswered"
    };
    let labels = [name_of(&contact), outcome];
    node.metrics.greetings.with_label_values(&labels).inc();
    let now = node.clock.now();
    let Ok(answer) = answer else {
        lock(&greeted).unanswered(now, &contact, before);
        return;
    };
    let (config_version, config_digest) = (answer.config_version, answer.config_digest);
    let is_whole = answer.news.is_whole();
    take_answer(&node, &contact, next, answer, &greeted);
    if is_behind(&node, config_version) {
        pull(&node, address).await;
    }
    let differs = node
        .view()
        .has_conflicting_document(config_version, config_digest);
    if differs {
        settle(&node).await;
    }
    // A fetch may have failed, or another one may still be under way.
    let is_asked = contact.scope != Scope::Nothing;
    if is_asked && is_whole && !is_behind(&node, config_version) {
        node.standstill().heard(Millis(next.at));
    }
}

/// What a contact is asked, as the metrics name it.
fn name_of(contact: &Contact) -> &'static str {
    match contact.scope {
        _ if contact.relays_suffice => "whom_to_ask",
        Scope::Nothing => "nothing",
        Scope::CalleesHall => "hall",
        Scope::All => "all",
    }
}

/// Takes an answer to a greeting that told the contact `next`.
fn take_answer(
    node: &Arc<Node>,
    contact: &Contact,
    next: PeerState,
    answer: HelloAnswer,
    greeted: &Mutex<GossipState>,
) {
    let now = node.clock.now();
    node.take_halls(&answer.halls, Source::Greeting);
    node.receive_target_ends(answer.ends);
    let answered = Answered {
        unknown_caller: answer.unknown_caller,
        cursor: answer.news.cursor,
        has_more: answer.news.has_more,
        ends_cursor: answer.ends_cursor,
    };
    let taken = {
        let mut view = node.view();
        let mut greeted = lock(greeted);
        greeted.answered(now, contact, next, answered);
        node.metrics
            .count_exchanged_records("received", &answer.news);
        let own = view.own.instance.clone();
        let slots = greeted.slots(contact.address);
        let taken = view.directory.apply_delta(now, &own, answer.news, slots);
        if !taken.is_complete {
            greeted.reset_cursor(contact.address);
        }
        for instance in &taken.loads {
            take::count_load(&mut view, now, instance);
        }
        for (model, versions) in &answer.versions {
            for version in versions {
                view.name_version(now, model, version.version, version.age_ms);
            }
        }
        if let Some(catalog) = answer.catalog {
            log::info!(
                event = "catalog_taken",
                models = catalog.models.len() as u64,
                origins = catalog.origins.len() as u64,
                from:% = contact.address;
                ""
            );
            view.catalog = catalog;
        }
        view.update_leader(answer.leader);
        taken
    };
    if node.settings.role.has_full_state() {
        take::put_to_use(node, taken.changed);
    }
    if answered.has_more {
        node.news.notify_waiters();
    }
}

/// Whether this daemon lacks a configuration that it needs, of which it was told.
fn is_behind(node: &Node, config_version: ConfigVersion) -> bool {
    node.settings.role.has_full_state() && config_version > node.view().state.config_version()
}

/// Reads the decided configuration out of the log, unless something is being fetched:
/// another daemon holds another document under the same version, and one of the two
/// was not decided.
pub async fn settle(node: &Arc<Node>) {
    let Some(_pulling) = node.begin_pull() else {
        return;
    };
    node.metrics.count("configuration_differs");
    let version = node.view().state.config_version().0;
    log::error!(event = "configuration_differs", version = version; "");
    operator::read(node).await;
}

/// Takes what another daemon has in force, unless it is being fetched.
pub async fn pull(node: &Arc<Node>, address: SocketAddr) {
    let Some(_pulling) = node.begin_pull() else {
        return;
    };
    let pulled = node
        .peers
        .call(address, PULL_TIMEOUT, |client, context| async move {
            client.pull(context).await
        })
        .await;
    if let Ok(state) = pulled {
        node.take_state(&state, Source::Pull);
    }
}
