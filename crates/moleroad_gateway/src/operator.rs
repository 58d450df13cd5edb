//! Forwards changes by operators, and reads of the control state, from any daemon
//! to the leader of the control group.

use crate::control_member::ProposalOutcome;
use crate::control_state::{ControlCommand, ControlState, DocumentId};
use crate::evacuations::{HallOrder, HallOrderResult};
use crate::halls::{HallUpdate, HallUpdates, UpdateSource};
use crate::node::Node;
use crate::peer::{LeaderHint, ProposeAnswer};
use moleroad_quarantine::prelude::TrialOrder;
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for a call by an operator, in milliseconds; operators wait 1 s and then
/// try another daemon.
const ANSWER_TIMEOUT_MS: u64 = 850;
/// Timeout for one call to a daemon that may be the leader, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 500;
/// Pause before the leader is looked up again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 60;

/// Commits a change through the leader. Returns true once this change, or a later
/// one of the same kind, is durable and applied on this daemon.
pub async fn commit(node: &Arc<Node>, command: ControlCommand) -> bool {
    let until = node.clock.now() + ANSWER_TIMEOUT_MS;
    let answer = propose_with_retries(node, &command, until).await;
    if node.has_applied(&command) {
        return true;
    }
    let ProposeAnswer::Committed(decided) = answer else {
        return false;
    };
    if !was_committed(&command, decided) {
        // Another document was committed; its bytes must be read from the group.
        return read_until(node, until).await.is_some() && node.has_applied(&command);
    }
    // A durable change is applied here before it is acknowledged.
    let mut state = ControlState::default();
    state.apply(&command);
    node.merge_state(&state, UpdateSource::Answer);
    true
}

/// Returns whether the change itself was committed; `decided` is the configuration in
/// force after the commit. A configuration has no effect if another document with the
/// same or a newer version was committed first. Other changes have the same content
/// regardless of who proposes them.
fn was_committed(command: &ControlCommand, decided: Option<DocumentId>) -> bool {
    match command {
        ControlCommand::Replace(document) => decided == Some(document.id()),
        _ => true,
    }
}

/// Commits an order for a data hall through the leader and applies the result on this
/// daemon. Returns `None` if the result is not known in time.
pub async fn order_hall(node: &Arc<Node>, wanted: HallOrder) -> Option<HallOrderResult> {
    let hall = wanted.hall.clone();
    let command = ControlCommand::OrderHall(wanted);
    let until = node.clock.now() + ANSWER_TIMEOUT_MS;
    let ProposeAnswer::Hall(order_result) = propose_with_retries(node, &command, until).await
    else {
        return None;
    };
    let update = HallUpdate {
        state: order_result.state,
        age_ms: 0,
    };
    node.apply_hall_updates(&HallUpdates::from([(hall, update)]), UpdateSource::Answer);
    Some(order_result)
}

/// Requests a trial of a quarantined request. Returns true only if it is certain that
/// the trial was granted to this copy of the request.
pub async fn request_trial(node: &Arc<Node>, wanted: TrialOrder) -> bool {
    // The commit does not tell which copy was granted the trial: read that from the
    // leader.
    let until = node.clock.now() + ANSWER_TIMEOUT_MS;
    propose_with_retries(node, &ControlCommand::TryRequest(wanted.clone()), until).await;
    let state = read(node).await;
    state.is_some_and(|state| state.reviews.is_granted(&wanted))
}

/// Proposes a change to the current leader, with retries, until it is decided, is in
/// force on this daemon, or `until` has passed.
async fn propose_with_retries(
    node: &Arc<Node>,
    command: &ControlCommand,
    until: Millis,
) -> ProposeAnswer {
    let mut next = None;
    loop {
        if node.has_applied(command) {
            return ProposeAnswer::Committed(None);
        }
        let left = until.since(node.clock.now());
        if left == 0 {
            return ProposeAnswer::Unknown;
        }
        let leader = next.take().or_else(|| node.leader_hint());
        let answer = match leader {
            Some(hint) => propose_at(node, hint.address, command, left.min(CALL_TIMEOUT_MS)).await,
            None => ProposeAnswer::NotLeader(None),
        };
        match answer {
            ProposeAnswer::NotLeader(hint) => {
                next = hint.filter(|hint| Some(hint.address) != leader.map(|l| l.address));
                if next.is_none() {
                    pause(left).await;
                }
            }
            // A hall order is idempotent, and only the log has its result: propose it
            // again.
            ProposeAnswer::Unknown if matches!(command, ControlCommand::OrderHall(_)) => {
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
) -> ProposeAnswer {
    if address == node.settings.peer_address() {
        let proposing = propose_locally(node, command.clone());
        let limit = Duration::from_millis(timeout_ms);
        let answer = tokio::time::timeout(limit, proposing).await;
        return answer.unwrap_or(ProposeAnswer::Unknown);
    }
    let command = command.clone();
    let timeout = Duration::from_millis(timeout_ms);
    let call = |client: crate::peer::PeerClient, context| async move {
        client.propose(context, command).await
    };
    match node.peers.call(address, timeout, call).await {
        Ok(answer) => answer,
        Err(crate::peers::CallError::NoAnswer) => ProposeAnswer::Unknown,
        Err(_) => ProposeAnswer::NotLeader(None),
    }
}

/// Proposes a change to the control group member in this process.
pub async fn propose_locally(node: &Node, command: ControlCommand) -> ProposeAnswer {
    let Some(control_member) = &node.control_member else {
        return ProposeAnswer::NotLeader(node.leader_hint());
    };
    match control_member.propose(command).await {
        ProposalOutcome::Applied(decided) => ProposeAnswer::Committed(decided),
        ProposalOutcome::Hall(order_result) => ProposeAnswer::Hall(order_result),
        ProposalOutcome::NotLeader(leader) => {
            ProposeAnswer::NotLeader(node.leader_hint_for(leader))
        }
        ProposalOutcome::Unknown => ProposeAnswer::Unknown,
    }
}

/// Reads the current control state from the leader. Returns `None` if no leader
/// confirms it in time.
pub async fn read(node: &Arc<Node>) -> Option<ControlState> {
    let until = node.clock.now() + ANSWER_TIMEOUT_MS;
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
            Some(hint) => read_at(node, hint.address, left.min(CALL_TIMEOUT_MS)).await,
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

/// Returns the current control state if the member in this process is the leader and
/// holds a lease.
///
/// # Errors
/// Returns the current leader, if known.
pub async fn read_locally(node: &Node) -> Result<ControlState, Option<LeaderHint>> {
    let Some(control_member) = &node.control_member else {
        return Err(node.leader_hint());
    };
    match control_member.read().await {
        Ok(state) => Ok((*state).clone()),
        Err(leader) => Err(node.leader_hint_for(leader)),
    }
}

async fn pause(left_ms: u64) {
    let duration = Millis(left_ms.min(RETRY_PAUSE_MS));
    tokio::time::sleep(Duration::from_millis(duration.0)).await;
}
