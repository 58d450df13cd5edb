//! Selecting a target for a request by querying the agents of a few engines for their
//! current load.
//!
//! The load that entries exchange is a few hundred milliseconds old, in which time an
//! engine takes several requests; entries that all decide on it choose the same engine.
//! An agent reads its own engine at once and at no cost. For agents that do not
//! respond, the last known state of their engines is used.

use crate::experiments::Mechanism;
use crate::grants;
use crate::node::Node;
use crate::peer::{EngineLoad, PeerClient};
use crate::places::PlaceRequest;
use moleroad_dispatch::prelude::*;
use moleroad_rollout::prelude::OldWeightsCutoff;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// How long a probe waits for an agent's answer: two round trips to another region, and
/// the time to read the engine's state.
const PROBE_WAIT: Duration = Duration::from_millis(25);
/// Time for which a late answer is still accepted.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Selects a target for the request and counts the send; returns `None` when none of
/// the probed targets has a slot.
pub async fn find(node: &Arc<Node>, request: &PlaceRequest) -> Option<Candidate> {
    let draw: u64 = rand::random();
    let queries_agents = node.settings.experiments.is_enabled(Mechanism::AskedAgents);
    if !queries_agents || !have_agents(node, request) {
        let chosen = choose(node, request, draw);
        if chosen.is_some() {
            return chosen;
        }
        let grant_candidates = grant_candidates(node, request, draw);
        return admit_best(node, request, grant_candidates).await;
    }
    let mut results = probe_agents(node, request, SearchScope::OwnRegion, draw).await;
    let local_best = best_of(node, request, &results.available);
    if let Some(best) = local_best.filter(|local_best| is_good_enough(node, request, local_best)) {
        results
            .available
            .retain(|candidate| candidate.id != best.id);
        if let Some(candidate) = grants::admit(node, request, best).await {
            return Some(count_send(node, request, candidate));
        }
    }
    results.extend(probe_agents(node, request, SearchScope::OtherRegions, draw).await);
    if results.any_responded {
        return admit_best(node, request, results.available).await;
    }
    if !results.unresponsive.is_empty() {
        // The delayed network path may be the one of this entry.
        node.metrics.count("no_agent_heard");
        results.available.append(&mut results.unresponsive);
    }
    admit_best(node, request, results.available).await
}

/// Results of probing targets for one request.
#[derive(Default)]
struct ProbeResults {
    /// Targets that may accept the request, as far as their agents report.
    available: Vec<Candidate>,
    /// Targets with older weights whose agents did not respond: over a delayed path,
    /// the request would start there too late.
    unresponsive: Vec<Candidate>,
    /// Whether any agent responded.
    any_responded: bool,
}

impl ProbeResults {
    fn extend(&mut self, other: Self) {
        self.available.extend(other.available);
        self.unresponsive.extend(other.unresponsive);
        self.any_responded |= other.any_responded;
    }

    /// Adds a target whose agent did not respond, if the request can still start there
    /// in time.
    fn add_unresponsive(&mut self, node: &Node, request: &PlaceRequest, candidate: Candidate) {
        if !may_send_unprobed(node, request, &candidate) {
            return;
        }
        let is_old = node
            .old_weights(&request.service, candidate.version)
            .is_some();
        if is_old && agent_is_unresponsive(node, request, &candidate) {
            self.unresponsive.push(candidate);
        } else {
            self.available.push(candidate);
        }
    }
}

/// Selects the best of the probed targets that admits the request, and counts the send.
async fn admit_best(
    node: &Arc<Node>,
    request: &PlaceRequest,
    mut probed: Vec<Candidate>,
) -> Option<Candidate> {
    while let Some(best) = best_of(node, request, &probed) {
        probed.retain(|candidate| candidate.id != best.id);
        if let Some(candidate) = grants::admit(node, request, best).await {
            return Some(count_send(node, request, candidate));
        }
    }
    None
}

fn have_agents(node: &Node, request: &PlaceRequest) -> bool {
    let view = node.view();
    let slots = view.services.get(&request.service);
    slots.is_some_and(|slots| slots.targets.have_agents())
}

/// Chooses by known state, without probing.
fn choose(node: &Node, request: &PlaceRequest, draw: u64) -> Option<Candidate> {
    let now = node.clock.now();
    let choice = {
        let view = node.view();
        let min_version = node.min_version(&view, &request.service);
        let slots = view.services.get(&request.service)?;
        slots
            .targets
            .choose(now, request.needs(now, min_version), draw)
    };
    match choice {
        Choice::Send(candidate) => Some(count_send(node, request, candidate)),
        Choice::Full | Choice::NoTarget => None,
    }
}

/// Returns targets that need a grant from their owners.
fn grant_candidates(node: &Node, request: &PlaceRequest, draw: u64) -> Vec<Candidate> {
    let now = node.clock.now();
    let view = node.view();
    let min_version = node.min_version(&view, &request.service);
    let slots = view.services.get(&request.service);
    slots.map_or_else(Vec::new, |slots| {
        slots
            .targets
            .grant_candidates(now, request.needs(now, min_version), draw)
    })
}

/// Adds the send to the known load of the target.
fn count_send(node: &Node, request: &PlaceRequest, candidate: Candidate) -> Candidate {
    let now = node.clock.now();
    let mut view = node.view();
    if let Some(slots) = view.services.get_mut(&request.service) {
        let targets = &mut slots.targets;
        targets.started(now, &candidate.id, request.prompt_tokens);
    }
    candidate
}

fn best_of(node: &Node, request: &PlaceRequest, probed: &[Candidate]) -> Option<Candidate> {
    let now = node.clock.now();
    let view = node.view();
    let min_version = node.min_version(&view, &request.service);
    let slots = view.services.get(&request.service)?;
    slots
        .targets
        .best_of(now, request.needs(now, min_version), probed)
}

fn is_good_enough(node: &Node, request: &PlaceRequest, candidate: &Candidate) -> bool {
    let view = node.view();
    let slots = view.services.get(&request.service);
    slots.is_some_and(|slots| slots.targets.is_good_enough(node.clock.now(), candidate))
}

/// Probes the agents of some targets; returns the targets that accept new requests and
/// those whose agents did not respond.
async fn probe_agents(
    node: &Arc<Node>,
    request: &PlaceRequest,
    reach: SearchScope,
    draw: u64,
) -> ProbeResults {
    let now = node.clock.now();
    let (drawn, backing_off) = {
        let view = node.view();
        let min_version = node.min_version(&view, &request.service);
        let Some(slots) = view.services.get(&request.service) else {
            return ProbeResults::default();
        };
        let drawn = slots
            .targets
            .shortlist(now, request.needs(now, min_version), reach, draw);
        let is_backing_off =
            |candidate: &Candidate| slots.targets.load(&candidate.id).agent_is_backed_off(now);
        let backing_off: Vec<bool> = drawn.iter().map(is_backing_off).collect();
        (drawn, backing_off)
    };
    let queries = drawn
        .into_iter()
        .zip(backing_off)
        .map(|(candidate, is_backing_off)| {
            let agent = candidate.agent.filter(|_| !is_backing_off);
            let answer = agent.map(|agent| query_agent(node, request, &candidate, agent));
            (candidate, answer)
        });
    let queries: Vec<_> = queries.collect();
    let until = tokio::time::Instant::now() + PROBE_WAIT;
    let mut results = ProbeResults::default();
    for (candidate, answer) in queries {
        let answer = match answer {
            Some(answer) => tokio::time::timeout_at(until, answer).await,
            None => {
                results.add_unresponsive(node, request, candidate);
                continue;
            }
        };
        match answer {
            Ok(Ok(Some(load))) => {
                results.any_responded = true;
                if load.takes_new && !load.has_no_grant() {
                    results.available.push(candidate);
                }
            }
            failed => {
                if let Some(slots) = node.view().services.get_mut(&request.service) {
                    match failed {
                        Ok(_) => slots.targets.agent_refused(now, &candidate.id),
                        Err(_) => slots.targets.agent_timed_out(now, &candidate.id),
                    }
                }
                results.add_unresponsive(node, request, candidate);
            }
        }
    }
    results
}

/// Returns whether the target's agent did not respond to the last probe.
fn agent_is_unresponsive(node: &Node, request: &PlaceRequest, candidate: &Candidate) -> bool {
    let view = node.view();
    let slots = view.services.get(&request.service);
    slots.is_some_and(|slots| {
        let load = slots.targets.load(&candidate.id);
        load.is_unresponsive(node.clock.now())
    })
}

/// Returns whether a target may receive the request although its agent does not
/// respond. A target that is cold or has named a limit may not, since only its agent
/// knows the load from other entries.
fn may_send_unprobed(node: &Node, request: &PlaceRequest, candidate: &Candidate) -> bool {
    if grants::needs_grant(node, request, candidate) {
        return false;
    }
    let old = node.old_weights(&request.service, candidate.version);
    let may_send = |old: OldWeightsCutoff| old.may_send_to_silent(node.clock.now());
    candidate.agent.is_none() || old.is_none_or(may_send)
}

/// Probes one agent; its answer updates the known load even when it arrives late.
fn query_agent(
    node: &Arc<Node>,
    request: &PlaceRequest,
    candidate: &Candidate,
    agent: SocketAddr,
) -> JoinHandle<Option<EngineLoad>> {
    let (node, service, id) = (node.clone(), request.service.clone(), candidate.id.clone());
    let candidate = candidate.clone();
    tokio::spawn(async move {
        let call = |client: PeerClient, context| async move { client.engine_load(context).await };
        let answer = node.peers.call(agent, LATE_ANSWER_TIMEOUT, call).await;
        let mut load = answer.ok().flatten()?;
        let now = node.clock.now();
        let mut view = node.view();
        if let Some(slots) = view.services.get_mut(&service) {
            let targets = &mut slots.targets;
            targets.record_report(now, &id, load.running, load.queued);
            // Grants only matter while the engine is cold or names a limit.
            if !grants::update_cold_state(targets, now, &candidate, &load) {
                load.grants_free = None;
            }
            if candidate.limit.is_none() {
                load.limit_grants_free = None;
            }
        }
        Some(load)
    })
}
