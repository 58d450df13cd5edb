//! Starts and stops the tasks of each role.

use crate::agent;
use crate::clock::Clock;
use crate::control_member::{ControlMember, MemberInput, MemberOutput, MemberSettings};
use crate::control_state::ControlState;
use crate::deciding::spawn_deciding;
use crate::front;
use crate::gossip;
use crate::halls::UpdateSource;
use crate::interface::Interface;
use crate::listening::listen;
use crate::management_api;
use crate::node::Node;
use crate::peer::LeaderHint;
use crate::peer_server;
use crate::settings::{RoleSetting, Settings};
use crate::stop;
use crate::view::View;
use moleroad_consensus::prelude::{Configuration, MemberId, MemberInfo, Message};
use moleroad_directory::relays::MIN_RELAYS;
use moleroad_types::prelude::Millis;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Timeout for sending a message of the control group.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for pushing the control state to another entry.
const PUSH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between housekeeping passes.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(50);
/// Window over which demand is measured, in milliseconds.
const DEMAND_WINDOW_MS: u64 = 500;

/// Runs the process until it receives a signal to stop.
///
/// # Errors
/// Returns an error if a listener cannot bind to its address or the data folder is
/// unusable.
pub async fn run(
    settings: Settings,
    settings_path: PathBuf,
    interface: Arc<dyn Interface>,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangups = signal(SignalKind::hangup())?;
    let clock = Clock::default();
    let (output, outputs) = mpsc::unbounded_channel();
    let control_member = start_control_member(&settings, clock, output)?;
    let node = Arc::new(Node::new(settings, clock, interface, control_member));
    node.update_own_record();
    log::info!(
        event = "start",
        role:? = node.settings.role,
        hall = node.settings.hall.as_str(),
        peer:% = node.settings.peer_address(),
        control_member = node.control_member.is_some();
        ""
    );
    let peers = listen(node.settings.peer_address())?;
    spawn_deciding("peers", peer_server::serve(node.clone(), peers));
    match node.settings.role {
        RoleSetting::Entry => start_entry(&node, outputs)?,
        RoleSetting::Agent => agent::start(&node),
        RoleSetting::Control => start_control(&node, outputs)?,
    }
    spawn_deciding("gossip", gossip::run_gossip(node.clone()));
    spawn_deciding("reload", reload(node.clone(), hangups, settings_path));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop::shut_down(&node).await;
    Ok(())
}

fn start_entry(
    node: &Arc<Node>,
    outputs: mpsc::UnboundedReceiver<MemberOutput>,
) -> std::io::Result<()> {
    if let Some(address) = node.settings.listen.frontend {
        let frontend = front::serve::serve(node.clone(), listen(address)?);
        spawn_deciding("frontend", frontend);
    }
    start_control(node, outputs)?;
    spawn_deciding("housekeeping", run_housekeeping(node.clone()));
    Ok(())
}

/// Starts the management API, and the task that handles the outputs of the control
/// group member, if this process has one.
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
        let management = management_api::serve(node.clone(), listen(address)?);
        spawn_deciding("management", management);
    }
    spawn_deciding(
        "member_outputs",
        handle_member_outputs(node.clone(), outputs),
    );
    Ok(())
}

fn start_control_member(
    settings: &Settings,
    clock: Clock,
    output: mpsc::UnboundedSender<MemberOutput>,
) -> std::io::Result<Option<ControlMember>> {
    let Some(folder) = &settings.data_dir else {
        return Ok(None);
    };
    let own = settings.peer_address();
    let seeds = settings.seed_peers();
    let is_founder = settings.found_group && seeds.contains(&own);
    let member_settings = MemberSettings {
        folder: folder.clone(),
        initial_id: if is_founder {
            founding_member_id(own)
        } else {
            MemberId(rand::random())
        },
        // Identifies the instance by its address, which stays the same if the disk is
        // lost and replaced by an empty one.
        instance: own.to_string(),
        address: own,
        founding: is_founder.then(|| founding_configuration(&seeds)),
        tolerated_losses: settings.tolerated_losses,
    };
    ControlMember::start(member_settings, clock, output)
        .map(Some)
        .map_err(std::io::Error::other)
}

/// Returns the configuration of a new control group: its voters are the seeds, which
/// all founding members know.
fn founding_configuration(seeds: &[SocketAddr]) -> Configuration {
    let member = |seed: &SocketAddr| {
        MemberInfo::new(founding_member_id(*seed), seed.to_string().as_str(), *seed)
    };
    Configuration::of_voters(seeds.iter().map(member))
}

/// Derives the id of a founding member from its address, so that all other founding
/// members compute the same id.
fn founding_member_id(address: SocketAddr) -> MemberId {
    let mut hasher = DefaultHasher::new();
    "founding member".hash(&mut hasher);
    address.hash(&mut hasher);
    MemberId(hasher.finish())
}

/// Handles the outputs of the control group member.
async fn handle_member_outputs(
    node: Arc<Node>,
    mut outputs: mpsc::UnboundedReceiver<MemberOutput>,
) {
    let mut pushed = ControlState::default();
    while let Some(output) = outputs.recv().await {
        match output {
            MemberOutput::Send(to, message) => {
                tokio::spawn(send(node.clone(), to, message));
            }
            MemberOutput::Dropped => node.metrics.count("control_message_dropped"),
            MemberOutput::State(state) => {
                node.merge_state(&state, UpdateSource::Log);
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
    let Some(from) = node
        .control_member
        .as_ref()
        .map(|control_member| control_member.own.clone())
    else {
        return;
    };
    let receiver = to.id;
    let call = |client: crate::peer::PeerClient, context| async move {
        client.consensus(context, from, receiver, message).await
    };
    let answer = node.peers.call(to.address, MESSAGE_TIMEOUT, call).await;
    // The receiver's disk is lost, and another member runs at its address.
    if let (Ok(Some(successor)), Some(own)) = (answer, &node.control_member) {
        own.send(MemberInput::Spare(successor));
    }
}

/// Pushes the control state to a few relays in every data hall if it changed since the
/// last push. The other entries fetch it from their relays, and the other relays from
/// each other.
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
        let mut changes = state.clone();
        if changes.config_version() == pushed.config_version() {
            changes.configuration = None;
        }
        *pushed = state.clone();
        (changes, relays_of_all_halls(&view, node.clock.now()))
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

async fn run_housekeeping(node: Arc<Node>) {
    let mut measured_at = node.clock.now();
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        let now = node.clock.now();
        node.ticks().tick(now);
        {
            let mut view = node.view();
            let own = view.own.clone();
            view.directory.merge_daemon(now, own, 0);
            view.refresh_candidates(now, &node.settings);
        }
        let span_ms = now.since(measured_at);
        if span_ms >= DEMAND_WINDOW_MS {
            measured_at = now;
            node.measure_demand(span_ms);
        }
        node.serve_waiting();
        node.submit_holds();
        node.submit_releases();
        node.pool.expire();
    }
}

/// Reloads the settings on SIGHUP. Only the seeds change in a running process.
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
