//! Changes that operators want, and reads of what is in force: carried to the
//! leader of the control group from whichever daemon was asked.

use crate::control_member::Committed;
use crate::control_state::{ControlCommand, ControlState, DocumentId};
use crate::evacuations::{HallOrder, HallOrderResult};
use crate::halls::{HallUpdate, HallUpdates, Source};
use crate::node::Node;
use crate::peer::{CommitAnswer, LeaderHint};
use moleroad_quarantine::prelude::TrialOrder;
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time in which an operator wants an answer; it then asks another daemon.
const ANSWER_MS: u64 = 850;
/// Time for one call to a daemon that may lead.
const CALL_MS: u64 = 500;
/// Pause before a leader is looked for again.
const LOOK_AGAIN_MS: u64 = 60;

/// Brings a change to the leader; true once it, or a later one of its kind, is durable
/// and applied here.
pub async fn commit(node: &Arc<Node>, command: ControlCommand) -> bool {
    let until = node.clock.now() + ANSWER_MS;
    let answer = order(node, &command, until).await;
    if node.has_applied(&command) {
        return true;
    }
    let CommitAnswer::Committed(decided) = answer else {
        return false;
    };
    if !is_decided(&command, decided) {
        // Only the group has the bytes of the document that was decided.
        return read_until(node, until).await.is_some() && node.has_applied(&command);
    }
    // What is durable is in force here before it is acknowledged.
    let mut state = ControlState::default();
    state.apply(&command);
    node.take_state(&state, Source::Answer);
    true
}

/// Whether the change itself is what was decided, where `decided` is the configuration
/// that is in force with it. A document that came second under its version, or with an
/// older one, changed nothing. The other changes are the same whoever brings them.
fn is_decided(command: &ControlCommand, decided: Option<DocumentId>) -> bool {
    match command {
        ControlCommand::Replace(document) => decided == Some(document.id()),
        _ => true,
    }
}

/// Brings an order for a hall to the leader, and puts what it came to in force
/// here; `None` when that is not known in time.
pub async fn order_hall(node: &Arc<Node>, wanted: HallOrder) -> Option<HallOrderResult> {
    let hall = wanted.hall.clone();
    let command = ControlCommand::OrderHall(wanted);
    let until = node.clock.now() + ANSWER_MS;
    let CommitAnswer::Hall(verdict) = order(node, &command, until).await else {
        return None;
    };
    let news = HallUpdate {
        state: verdict.state,
        age_ms: 0,
    };
    node.take_halls(&HallUpdates::from([(hall, news)]), Source::Answer);
    Some(verdict)
}

/// Asks for the trial of a request; true once it is certain that this copy was
/// granted.
pub async fn request_trial(node: &Arc<Node>, wanted: TrialOrder) -> bool {
    // Whether it was granted to this copy or to another, the leader tells.
    let until = node.clock.now() + ANSWER_MS;
    order(node, &ControlCommand::TryRequest(wanted.clone()), until).await;
    let state = read(node).await;
    state.is_some_and(|state| state.reviews.is_granted(&wanted))
}

/// Proposes a change at whoever leads, until it is decided, is in force here, or time is
/// over.
async fn order(node: &Arc<Node>, command: &ControlCommand, until: Millis) -> CommitAnswer {
    let mut next = None;
    loop {
        if node.has_applied(command) {
            return CommitAnswer::Committed(None);
        }
        let left = until.since(node.clock.now());
        if left == 0 {
            return CommitAnswer::Unknown;
        }
        let leader = next.take().or_else(|| node.leader_hint());
        let answer = match leader {
            Some(hint) => propose_at(node, hint.address, command, left.min(CALL_MS)).await,
            None => CommitAnswer::NotLeader(None),
        };
        match answer {
            CommitAnswer::NotLeader(hint) => {
                next = hint.filter(|hint| Some(hint.address) != leader.map(|l| l.address));
                if next.is_none() {
                    pause(left).await;
                }
            }
            // It changes nothing a second time, and only the log tells.
            CommitAnswer::Unknown if matches!(command, ControlCommand::OrderHall(_)) => {
                pause(left).await;
            }
            decided => return decided,
        }
    }
}

async fn propose_at(
    node: &Arc<Node>,
    address: SocketAddr,
    command: &ControlCommand,
    timeout_ms: u64,
) -> CommitAnswer {
    if address == node.settings.peer_address() {
        let proposing = propose_locally(node, command.clone());
        let limit = Duration::from_millis(timeout_ms);
        let answer = tokio::time::timeout(limit, proposing).await;
        return answer.unwrap_or(CommitAnswer::Unknown);
    }
    let command = command.clone();
    let timeout = Duration::from_millis(timeout_ms);
    let call = |client: crate::peer::PeerClient, context| async move {
        client.propose(context, command).await
    };
    match node.peers.call(address, timeout, call).await {
        Ok(answer) => answer,
        Err(crate::peers::CallError::NoAnswer) => CommitAnswer::Unknown,
        Err(_) => CommitAnswer::NotLeader(None),
    }
}

/// Proposes a change at the member of this process.
pub async fn propose_locally(node: &Node, command: ControlCommand) -> CommitAnswer {
    let Some(core) = &node.core else {
        return CommitAnswer::NotLeader(node.leader_hint());
    };
    match core.propose(command).await {
        Committed::Yes(decided) => CommitAnswer::Committed(decided),
        Committed::Hall(verdict) => CommitAnswer::Hall(verdict),
        Committed::NotLeader(leader) => CommitAnswer::NotLeader(node.leader_hint_for(leader)),
        Committed::Unknown => CommitAnswer::Unknown,
    }
}

/// What is in force now; `None` when that is not certain.
pub async fn read(node: &Arc<Node>) -> Option<ControlState> {
    let until = node.clock.now() + ANSWER_MS;
    read_until(node, until).await
}

async fn read_until(node: &Arc<Node>, until: Millis) -> Option<ControlState> {
    let mut next = None;
    loop {
        let left = until.since(node.clock.now());
        if left == 0 {
            return None;
        }
        let leader: Option<LeaderHint> = next.take().or_else(|| node.leader_hint());
        let answer = match leader {
            Some(hint) => read_at(node, hint.address, left.min(CALL_MS)).await,
            None => Err(None),
        };
        match answer {
            Ok(state) => {
                node.merge_committed(&state);
                return Some(state);
            }
            Err(hint) => {
                next = hint.filter(|hint| Some(hint.address) != leader.map(|l| l.address));
                if next.is_none() {
                    pause(left).await;
                }
            }
        }
    }
}

async fn read_at(
    node: &Arc<Node>,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<ControlState, Option<LeaderHint>> {
    if address == node.settings.peer_address() {
        return read_locally(node).await;
    }
    let timeout = Duration::from_millis(timeout_ms);
    let call = |client: crate::peer::PeerClient, context| async move { client.read(context).await };
    node.peers
        .call(address, timeout, call)
        .await
        .unwrap_or(Err(None))
}

/// What is in force now, if the member of this process leads under a lease.
///
/// # Errors
/// The leader as far as it is known.
pub async fn read_locally(node: &Node) -> Result<ControlState, Option<LeaderHint>> {
    let Some(core) = &node.core else {
        return Err(node.leader_hint());
    };
    match core.read().await {
        Ok(state) => Ok((*state).clone()),
        Err(leader) => Err(node.leader_hint_for(leader)),
    }
}

async fn pause(left_ms: u64) {
    let pause = Millis(left_ms.min(LOOK_AGAIN_MS));
    tokio::time::sleep(Duration::from_millis(pause.0)).await;
}
