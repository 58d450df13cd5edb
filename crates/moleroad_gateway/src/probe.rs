//! Finding a target for a request by asking the agents beside a few engines
//! what those have in hand at this moment.
//!
//! What entries tell each other of engines is a few hundred milliseconds old,
//! in which an engine takes several requests: entries that decide on it choose
//! alike. An agent's look at its own engine is free and new. Agents that do
//! not answer are passed over, and their engines judged by what is known.

use crate::experiments::Mechanism;
use crate::grants;
use crate::node::Node;
use crate::peer::{EngineLoad, PeerClient};
use crate::places::Ask;
use moleroad_dispatch::prelude::*;
use moleroad_rollout::prelude::OldWeights;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// How long an agent's answer is waited for: twice the way to another region
/// and back, and a reading of the engine.
const ANSWER_WAIT: Duration = Duration::from_millis(25);
/// How long a late answer is still taken.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// A target for the request, with the send counted; `None` when none of those
/// looked at has a place.
pub async fn find(node: &Arc<Node>, ask: &Ask) -> Option<Candidate> {
    let draw: u64 = rand::random();
    let asks = node.settings.experiments.has(Mechanism::AskedAgents);
    if !asks || !have_agents(node, ask) {
        let chosen = choose(node, ask, draw);
        if chosen.is_some() {
            return chosen;
        }
        let on_grant = on_grant(node, ask, draw);
        return admitted(node, ask, on_grant).await;
    }
    let mut looked = look(node, ask, SearchScope::OwnRegion, draw).await;
    let near = best_of(node, ask, &looked.open);
    if let Some(best) = near.filter(|near| is_good_enough(node, ask, near)) {
        looked.open.retain(|candidate| candidate.id != best.id);
        if let Some(candidate) = grants::admit(node, ask, best).await {
            return Some(started(node, ask, candidate));
        }
    }
    looked.extend(look(node, ask, SearchScope::OtherRegions, draw).await);
    if looked.is_any_heard {
        return admitted(node, ask, looked.open).await;
    }
    if !looked.silent.is_empty() {
        // The way that is held up may be this entry's own.
        node.metrics.count("no_agent_heard");
        looked.open.append(&mut looked.silent);
    }
    admitted(node, ask, looked.open).await
}

/// The targets that were looked at for one request.
#[derive(Default)]
struct Looked {
    /// Those that may get it, as far as their agents tell.
    open: Vec<Candidate>,
    /// Those with older weights whose agents were silent: a request that waits on a way
    /// that is held up begins too late there.
    silent: Vec<Candidate>,
    /// Whether any agent answered.
    is_any_heard: bool,
}

impl Looked {
    fn extend(&mut self, other: Self) {
        self.open.extend(other.open);
        self.silent.extend(other.silent);
        self.is_any_heard |= other.is_any_heard;
    }

    /// Adds a target whose agent did not answer, if the request may begin there in time.
    fn add_unheard(&mut self, node: &Node, ask: &Ask, candidate: Candidate) {
        if !is_reached_in_time(node, ask, &candidate) {
            return;
        }
        let is_old = node.old_weights(&ask.service, candidate.version).is_some();
        if is_old && is_silent(node, ask, &candidate) {
            self.silent.push(candidate);
        } else {
            self.open.push(candidate);
        }
    }
}

/// The best of those looked at that may get the request, with the send counted.
async fn admitted(node: &Arc<Node>, ask: &Ask, mut looked_at: Vec<Candidate>) -> Option<Candidate> {
    while let Some(best) = best_of(node, ask, &looked_at) {
        looked_at.retain(|candidate| candidate.id != best.id);
        if let Some(candidate) = grants::admit(node, ask, best).await {
            return Some(started(node, ask, candidate));
        }
    }
    None
}

fn have_agents(node: &Node, ask: &Ask) -> bool {
    let view = node.view();
    let places = view.services.get(&ask.service);
    places.is_some_and(|places| places.targets.have_agents())
}

/// Chooses by what is known, without asking anybody.
fn choose(node: &Node, ask: &Ask, draw: u64) -> Option<Candidate> {
    let now = node.clock.now();
    let choice = {
        let view = node.view();
        let least = node.least_version(&view, &ask.service);
        let places = view.services.get(&ask.service)?;
        places.targets.choose(now, ask.needs(now, least), draw)
    };
    match choice {
        Choice::Send(candidate) => Some(started(node, ask, candidate)),
        Choice::Full | Choice::Nobody => None,
    }
}

/// Targets whose owners are asked for a grant.
fn on_grant(node: &Node, ask: &Ask, draw: u64) -> Vec<Candidate> {
    let now = node.clock.now();
    let view = node.view();
    let least = node.least_version(&view, &ask.service);
    let places = view.services.get(&ask.service);
    places.map_or_else(Vec::new, |places| {
        places.targets.on_grant(now, ask.needs(now, least), draw)
    })
}

/// Counts the send.
fn started(node: &Node, ask: &Ask, candidate: Candidate) -> Candidate {
    let now = node.clock.now();
    let mut view = node.view();
    if let Some(places) = view.services.get_mut(&ask.service) {
        let targets = &mut places.targets;
        targets.started(now, &candidate.id, ask.prompt_tokens);
    }
    candidate
}

fn best_of(node: &Node, ask: &Ask, looked_at: &[Candidate]) -> Option<Candidate> {
    let now = node.clock.now();
    let view = node.view();
    let least = node.least_version(&view, &ask.service);
    let places = view.services.get(&ask.service)?;
    places
        .targets
        .best_of(now, ask.needs(now, least), looked_at)
}

fn is_good_enough(node: &Node, ask: &Ask, candidate: &Candidate) -> bool {
    let view = node.view();
    let places = view.services.get(&ask.service);
    places.is_some_and(|places| places.targets.is_good_enough(node.clock.now(), candidate))
}

/// Asks the agents of some targets; returns those that take new requests, and
/// those whose agents cannot be asked.
async fn look(node: &Arc<Node>, ask: &Ask, reach: SearchScope, draw: u64) -> Looked {
    let now = node.clock.now();
    let (drawn, resting) = {
        let view = node.view();
        let least = node.least_version(&view, &ask.service);
        let Some(places) = view.services.get(&ask.service) else {
            return Looked::default();
        };
        let drawn = places
            .targets
            .shortlist(now, ask.needs(now, least), reach, draw);
        let rests =
            |candidate: &Candidate| places.targets.load(&candidate.id).agent_is_backed_off(now);
        let resting: Vec<bool> = drawn.iter().map(rests).collect();
        (drawn, resting)
    };
    let asking = drawn.into_iter().zip(resting).map(|(candidate, rests)| {
        let agent = candidate.agent.filter(|_| !rests);
        let answer = agent.map(|agent| ask_agent(node, ask, &candidate, agent));
        (candidate, answer)
    });
    let asking: Vec<_> = asking.collect();
    let until = tokio::time::Instant::now() + ANSWER_WAIT;
    let mut looked = Looked::default();
    for (candidate, answer) in asking {
        let answer = match answer {
            Some(answer) => tokio::time::timeout_at(until, answer).await,
            None => {
                looked.add_unheard(node, ask, candidate);
                continue;
            }
        };
        match answer {
            Ok(Ok(Some(load))) => {
                looked.is_any_heard = true;
                if load.takes_new && !load.has_no_grant() {
                    looked.open.push(candidate);
                }
            }
            failed => {
                if let Some(places) = node.view().services.get_mut(&ask.service) {
                    match failed {
                        Ok(_) => places.targets.agent_refused(now, &candidate.id),
                        Err(_) => places.targets.agent_timed_out(now, &candidate.id),
                    }
                }
                looked.add_unheard(node, ask, candidate);
            }
        }
    }
    looked
}

/// Whether the agent beside the target did not answer when it was last asked.
fn is_silent(node: &Node, ask: &Ask, candidate: &Candidate) -> bool {
    let view = node.view();
    let places = view.services.get(&ask.service);
    places.is_some_and(|places| {
        let load = places.targets.load(&candidate.id);
        load.is_silent(node.clock.now())
    })
}

/// Whether a target may get the request though its agent does not answer. One
/// that is cold or named a limit may not: only its agent knows what others send.
fn is_reached_in_time(node: &Node, ask: &Ask, candidate: &Candidate) -> bool {
    if grants::is_needed(node, ask, candidate) {
        return false;
    }
    let old = node.old_weights(&ask.service, candidate.version);
    let may_go = |old: OldWeights| old.may_send_to_silent(node.clock.now());
    candidate.agent.is_none() || old.is_none_or(may_go)
}

/// Asks one agent; its answer is counted also when it comes late.
fn ask_agent(
    node: &Arc<Node>,
    ask: &Ask,
    candidate: &Candidate,
    agent: SocketAddr,
) -> JoinHandle<Option<EngineLoad>> {
    let (node, service, id) = (node.clone(), ask.service.clone(), candidate.id.clone());
    let candidate = candidate.clone();
    tokio::spawn(async move {
        let call = |client: PeerClient, context| async move { client.engine_load(context).await };
        let answer = node.peers.call(agent, ANSWER_TIMEOUT, call).await;
        let mut load = answer.ok().flatten()?;
        let now = node.clock.now();
        let mut view = node.view();
        if let Some(places) = view.services.get_mut(&service) {
            let targets = &mut places.targets;
            targets.reported(now, &id, load.running, load.queued);
            // Grants matter while the engine is cold, or names a limit, only.
            if !grants::take_state(targets, now, &candidate, &load) {
                load.grants_free = None;
            }
            if candidate.limit.is_none() {
                load.limit_grants_free = None;
            }
        }
        Some(load)
    })
}
