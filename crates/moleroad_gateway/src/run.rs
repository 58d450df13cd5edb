//! What runs in each role: the one place that shows it.

use crate::agent;
use crate::clock::Clock;
use crate::control_member::{ControlMember, MemberInput, MemberOutput, MemberSettings};
use crate::control_state::ControlState;
use crate::front;
use crate::gossip;
use crate::halls::Source;
use crate::interface::Interface;
use crate::listening::listen;
use crate::management_api;
use crate::node::Node;
use crate::peer::LeaderHint;
use crate::peer_server;
use crate::settings::{RoleSetting, Settings};
use crate::view::View;
use moleroad_consensus::prelude::{Configuration, MemberId, MemberInfo, Message};
use moleroad_directory::relays::MIN_RELAYS;
use moleroad_types::prelude::Millis;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Time for a message of the control group to arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for what is in force to arrive at another entry.
const PUSH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between looks at what expires.
const HOUSEKEEPING: Duration = Duration::from_millis(50);
/// Time over which demand is measured, in milliseconds.
const DEMAND_SPAN_MS: u64 = 500;
/// How much of the time to stop is left when requests are no longer begun.
const LAST_PART_OF_GRACE: u64 = 4;
/// How much of the time to stop is left when the process ends in any case.
const END_BEFORE_MS: u64 = 250;
/// Callers keep an address three times its time to live, and a little longer.
const ADDRESS_KEPT_MS: u64 = 3_400;
/// Time in which a control daemon that stops answers the calls under way, in
/// milliseconds: operators and targets wait a second for an answer.
const CALLS_ANSWERED_MS: u64 = 1_000;

/// Runs the process until it is asked to stop.
///
/// # Errors
/// When an address cannot be taken or the data folder cannot be used.
pub async fn run(
    settings: Settings,
    settings_path: PathBuf,
    interface: Arc<dyn Interface>,
) -> std::io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangups = signal(SignalKind::hangup())?;
    let clock = Clock::default();
    let (output, outputs) = mpsc::unbounded_channel();
    let core = start_core(&settings, clock, output)?;
    let node = Arc::new(Node::new(settings, clock, interface, core));
    node.update_own_record();
    log::info!(
        event = "start",
        role:? = node.settings.role,
        hall = node.settings.hall.as_str(),
        peer:% = node.settings.peer_address(),
        control_member = node.core.is_some();
        ""
    );
    let peers = listen(node.settings.peer_address())?;
    tokio::spawn(peer_server::serve(node.clone(), peers));
    match node.settings.role {
        RoleSetting::Entry => start_entry(&node, outputs)?,
        RoleSetting::Agent => agent::start(&node),
        RoleSetting::Control => start_control(&node, outputs)?,
    }
    tokio::spawn(gossip::greet(node.clone()));
    tokio::spawn(reload(node.clone(), hangups, settings_path));
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    leave(&node).await;
    Ok(())
}

fn start_entry(
    node: &Arc<Node>,
    outputs: mpsc::UnboundedReceiver<MemberOutput>,
) -> std::io::Result<()> {
    if let Some(address) = node.settings.listen.frontend {
        tokio::spawn(front::serve::serve(node.clone(), listen(address)?));
    }
    start_control(node, outputs)?;
    tokio::spawn(keep_house(node.clone()));
    Ok(())
}

/// Takes the calls of targets, operators and the platform, and does what the
/// member of the control group asks for, where there is one.
fn start_control(
    node: &Arc<Node>,
    outputs: mpsc::UnboundedReceiver<MemberOutput>,
) -> std::io::Result<()> {
    let listen_at = &node.settings.listen;
    let mut addresses: Vec<SocketAddr> =
        [listen_at.readiness, listen_at.control, listen_at.directory]
            .into_iter()
            .flatten()
            .collect();
    addresses.sort();
    addresses.dedup();
    for address in addresses {
        tokio::spawn(management_api::serve(node.clone(), listen(address)?));
    }
    tokio::spawn(carry_out(node.clone(), outputs));
    Ok(())
}

fn start_core(
    settings: &Settings,
    clock: Clock,
    output: mpsc::UnboundedSender<MemberOutput>,
) -> std::io::Result<Option<ControlMember>> {
    let Some(folder) = &settings.data_dir else {
        return Ok(None);
    };
    let own = settings.peer_address();
    let seeds = settings.seed_peers();
    let founds = settings.found_group && seeds.contains(&own);
    let core = MemberSettings {
        folder: folder.clone(),
        fresh: if founds {
            founding_id(own)
        } else {
            MemberId(rand::random())
        },
        // A disk that is lost comes back empty at the same address.
        instance: own.to_string(),
        address: own,
        founding: founds.then(|| founding(&seeds)),
        tolerated_losses: settings.tolerated_losses,
    };
    ControlMember::start(core, clock, output)
        .map(Some)
        .map_err(std::io::Error::other)
}

/// The founding members: the seeds, which all members of a first start know.
fn founding(seeds: &[SocketAddr]) -> Configuration {
    let member =
        |seed: &SocketAddr| MemberInfo::new(founding_id(*seed), seed.to_string().as_str(), *seed);
    Configuration::of_voters(seeds.iter().map(member))
}

/// The identity of a founding member, which all others can work out.
fn founding_id(address: SocketAddr) -> MemberId {
    let mut hasher = DefaultHasher::new();
    "founding member".hash(&mut hasher);
    address.hash(&mut hasher);
    MemberId(hasher.finish())
}

/// Carries out what the member of the control group asks for.
async fn carry_out(node: Arc<Node>, mut outputs: mpsc::UnboundedReceiver<MemberOutput>) {
    let mut pushed = ControlState::default();
    while let Some(output) = outputs.recv().await {
        match output {
            MemberOutput::Send(to, message) => {
                tokio::spawn(send(node.clone(), to, message));
            }
            MemberOutput::State(state) => {
                node.take_state(&state, Source::Log);
                push(&node, &state, &mut pushed);
            }
            MemberOutput::Tentative(state) => node.prepare_for(&state),
            MemberOutput::Leader(term, leader) => {
                let hint = leader.map(|leader| LeaderHint {
                    term: term.0,
                    address: leader.address,
                });
                log::info!(
                    event = "control_leader",
                    term = term.0,
                    leader = hint.map_or("none".to_string(), |hint| hint.address.to_string()).as_str();
                    ""
                );
                node.view().update_leader(hint);
            }
            MemberOutput::Disk(Err(_)) => node.metrics.count("disk_failed"),
            MemberOutput::Disk(Ok(())) => node.metrics.count("disk_works_again"),
        }
    }
}

async fn send(node: Arc<Node>, to: MemberInfo, message: Message) {
    let Some(from) = node.core.as_ref().map(|core| core.own.clone()) else {
        return;
    };
    let call = |client: crate::peer::PeerClient, context| async move {
        client.consensus(context, from, message).await
    };
    let _ = node.peers.call(to.address, MESSAGE_TIMEOUT, call).await;
}

/// Brings what is in force to some relays of all data halls at once, if it is not
/// what was brought last; the other entries learn of it when they ask their relays,
/// and these when they ask each other.
fn push(node: &Arc<Node>, state: &ControlState, pushed: &mut ControlState) {
    if state == pushed {
        return;
    }
    let (state, relays) = {
        let view = node.view();
        let is_leader = view
            .leader
            .is_some_and(|leader| leader.address == view.own.peer);
        if !is_leader {
            return;
        }
        let mut news = state.clone();
        if news.config_version() == pushed.config_version() {
            news.configuration = None;
        }
        *pushed = state.clone();
        (news, relays_of_all_halls(&view, node.clock.now()))
    };
    for address in relays {
        let (node, state) = (node.clone(), state.clone());
        tokio::spawn(async move {
            let call = |client: crate::peer::PeerClient, context| async move {
                client.push(context, state).await
            };
            let _ = node.peers.call(address, PUSH_TIMEOUT, call).await;
        });
    }
}

fn relays_of_all_halls(view: &View, now: Millis) -> Vec<SocketAddr> {
    let halls = view.directory.entry_halls().into_iter();
    let relays = halls.flat_map(|hall| {
        let relays = view.directory.relays(now, hall).into_iter();
        relays.take(MIN_RELAYS)
    });
    let others = relays.filter(|relay| relay.instance != view.own.instance);
    others.map(|relay| relay.peer).collect()
}

async fn keep_house(node: Arc<Node>) {
    let mut measured_at = node.clock.now();
    loop {
        tokio::time::sleep(HOUSEKEEPING).await;
        let now = node.clock.now();
        {
            let mut view = node.view();
            let own = view.own.clone();
            view.directory.merge_daemon(now, own, 0);
            view.refresh_candidates(now, &node.settings);
        }
        let span_ms = now.since(measured_at);
        if span_ms >= DEMAND_SPAN_MS {
            measured_at = now;
            node.measure_demand(span_ms);
        }
        node.serve_waiting();
        node.submit_holds();
        node.submit_releases();
        node.pool.expire();
    }
}

/// Reads the settings again when told to; what cannot change in a running
/// process is said.
async fn reload(node: Arc<Node>, mut hangups: tokio::signal::unix::Signal, path: PathBuf) {
    while hangups.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(fresh) => {
                let seeds = fresh.seed_peers();
                log::info!(event = "reload", seeds = seeds.len(); "");
                node.replace_seeds(seeds);
            }
            Err(error) => log::warn!(event = "reload_refused"; "{error}"),
        }
    }
}

/// Stops without cutting a request: no new callers at once, no new requests
/// after a while, the end when nothing is in flight or time is over.
async fn leave(node: &Arc<Node>) {
    let started = node.clock.now();
    log::info!(event = "stop_begins"; "");
    node.leave();
    if let Some(core) = &node.core {
        core.tell(MemberInput::Retire);
    }
    let grace_ms = node.settings.bounds.grace_ms;
    let no_more_at = grace_ms - grace_ms / LAST_PART_OF_GRACE;
    let settled_at = match node.settings.role {
        RoleSetting::Entry => ADDRESS_KEPT_MS.min(no_more_at),
        RoleSetting::Control => CALLS_ANSWERED_MS,
        RoleSetting::Agent => 0,
    };
    loop {
        let elapsed = node.clock.now().since(started);
        if elapsed >= no_more_at {
            node.end();
        }
        let idle = node.in_flight.load(Ordering::Relaxed) == 0;
        if (idle && elapsed >= settled_at) || elapsed + END_BEFORE_MS >= grace_ms {
            break;
        }
        tokio::time::sleep(HOUSEKEEPING).await;
    }
    let in_flight = node.in_flight.load(Ordering::Relaxed);
    log::info!(event = "stop", in_flight = in_flight as u64; "");
}
