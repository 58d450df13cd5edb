//! Gossip between daemons: each periodically sends a hello with its own updates
//! to selected contacts and applies the delta in their answers. Metrics call
//! one such exchange a greeting.
//!
//! [`moleroad_membership`] selects the contacts and intervals and records what
//! was exchanged; this module makes the calls. `hello` builds the request,
//! [`answer`] is the callee's side, and [`apply`] applies the
//! updated state to requests.

pub mod answer;
pub mod apply;
mod hello;

use crate::halls::UpdateSource;
use crate::node::Node;
use crate::operator;
use crate::peer::HelloAnswer;
use hello::build_hello;
use moleroad_config::prelude::ConfigVersion;
use moleroad_directory::prelude::*;
use moleroad_membership::contacts::ISOLATION_TIMEOUT_MS;
use moleroad_membership::prelude::*;
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Longest time between two checks for contacts that are due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;
/// Time limit for the answer to a hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for fetching another daemon's complete state.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Exchanges hellos with due contacts until the process ends.
pub async fn run_gossip(node: Arc<Node>) {
    let gossip_state: Arc<Mutex<GossipState>> = Arc::default();
    loop {
        drop(node.suspension_detector());
        for contact in due(&node, &gossip_state) {
            lock(&gossip_state).mark_in_flight(node.clock.now(), contact.address);
            tokio::spawn(exchange_hello(node.clone(), contact, gossip_state.clone()));
        }
        let interval = Duration::from_millis(CHECK_INTERVAL_MS);
        let _ = tokio::time::timeout(interval, node.state_changed.notified()).await;
        let now = node.clock.now();
        let mut view = node.view();
        view.directory.expire(now);
        node.metrics.set_record_gauges(&view.directory);
        view.quarantine.suspects.expire(now);
    }
}

fn lock(gossip_state: &Mutex<GossipState>) -> MutexGuard<'_, GossipState> {
    gossip_state
        .lock()
        .unwrap_or_else(|error| error.into_inner())
}

/// Returns the contacts that are due now.
fn due(node: &Node, gossip_state: &Mutex<GossipState>) -> Vec<Contact> {
    let now = node.clock.now();
    let seeds = node.seeds();
    let mut view = node.view();
    let own = view.own.clone();
    view.directory.merge_daemon(now, own, 0);
    let forwards_ends = node.settings.role.has_full_state();
    let ends_position = forwards_ends.then(|| view.quarantine.suspects.position());
    let gossip_state = lock(gossip_state);
    let planner = ContactPlanner {
        now,
        directory: &view.directory,
        own: &view.own,
        seeds: &seeds,
        backed_off: &gossip_state.backed_off(now),
        is_busy: node.open_answers.count() > 0,
        lacks_configuration: view.table.is_none() && view.catalog.models.is_empty(),
        is_starting_up: node.recently_started(now),
        is_isolated: gossip_state.ms_since_reply(now) >= ISOLATION_TIMEOUT_MS,
    };
    gossip_state.due(now, planner.contacts(), ends_position)
}

async fn exchange_hello(node: Arc<Node>, contact: Contact, gossip_state: Arc<Mutex<GossipState>>) {
    let address = contact.address;
    let before = lock(&gossip_state).peer_state(address);
    let (hello, next) = build_hello(&node, &contact, before);
    let answer = node
        .peers
        .call(address, HELLO_TIMEOUT, |client, context| async move {
            client.hello(context, hello).await
        })
        .await;
    if answer.is_ok() != before.is_responsive {
        let event = if before.is_responsive {
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
    let labels = [scope_label(&contact), outcome];
    node.metrics.greetings.with_label_values(&labels).inc();
    let now = node.clock.now();
    let Ok(answer) = answer else {
        lock(&gossip_state).record_failure(now, &contact, before);
        return;
    };
    let (config_version, config_digest) = (answer.config_version, answer.config_digest);
    let is_complete = answer.news.is_complete();
    apply_answer(&node, &contact, next, answer, &gossip_state);
    if is_behind(&node, config_version) {
        pull(&node, address).await;
    }
    let differs = node
        .view()
        .has_conflicting_document(config_version, config_digest);
    if differs {
        restore_decided(&node).await;
    }
    // The state is current only now: a fetch of the configuration may have
    // failed, or another one may still be in flight.
    let is_asked = contact.scope != Scope::Nothing;
    if is_asked && is_complete && !is_behind(&node, config_version) {
        node.suspension_detector()
            .news_received(Millis(next.last_sent_ms));
    }
}

/// Returns the metric label for the scope that is requested from a contact.
fn scope_label(contact: &Contact) -> &'static str {
    match contact.scope {
        _ if contact.relays_suffice => "whom_to_ask",
        Scope::Nothing => "nothing",
        Scope::CalleesHall => "hall",
        Scope::All => "all",
    }
}

/// Applies the answer to a hello that left the contact in state `next`.
fn apply_answer(
    node: &Arc<Node>,
    contact: &Contact,
    next: PeerState,
    answer: HelloAnswer,
    gossip_state: &Mutex<GossipState>,
) {
    let now = node.clock.now();
    node.apply_hall_updates(&answer.halls, UpdateSource::Greeting);
    node.receive_target_ends(answer.ends);
    let answered = GossipReply {
        unknown_caller: answer.unknown_caller,
        cursor: answer.news.cursor,
        has_more: answer.news.has_more,
        ends_cursor: answer.ends_cursor,
    };
    let applied = {
        let mut view = node.view();
        let mut gossip_state = lock(gossip_state);
        gossip_state.record_reply(now, contact, next, answered);
        node.metrics
            .count_exchanged_records("received", &answer.news);
        let own = view.own.instance.clone();
        let slots = gossip_state.slots(contact.address);
        let applied = view.directory.apply_delta(now, &own, answer.news, slots);
        if !applied.is_complete {
            gossip_state.reset_cursor(contact.address);
        }
        for instance in &applied.loads {
            apply::record_load(&mut view, now, instance);
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
        applied
    };
    if node.settings.role.has_full_state() {
        apply::apply_changes(node, applied.changed);
    }
    if answered.has_more {
        node.state_changed.notify_waiters();
    }
}

/// Returns whether this daemon needs the configuration and has an older version
/// than `config_version`.
fn is_behind(node: &Node, config_version: ConfigVersion) -> bool {
    node.settings.role.has_full_state() && config_version > node.view().state.config_version()
}

/// Replaces this daemon's configuration with the committed one, read through
/// the control group. Called when another daemon has a different document under
/// the same version, so one of the two was never committed. Does nothing while
/// another fetch is in flight.
pub async fn restore_decided(node: &Arc<Node>) {
    let Some(_pull_guard) = node.begin_pull() else {
        return;
    };
    node.metrics.count("configuration_differs");
    let version = node.view().state.config_version().0;
    log::error!(event = "configuration_differs", version = version; "");
    operator::read(node).await;
}

/// Fetches and merges another daemon's state, unless another fetch is in
/// flight.
pub async fn pull(node: &Arc<Node>, address: SocketAddr) {
    let Some(_pull_guard) = node.begin_pull() else {
        return;
    };
    let pulled = node
        .peers
        .call(address, PULL_TIMEOUT, |client, context| async move {
            client.pull(context).await
        })
        .await;
    if let Ok(state) = pulled {
        node.merge_state(&state, UpdateSource::Pull);
    }
}
