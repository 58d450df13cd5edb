//! Asking the agent beside a cold engine whether a request may go there.

use crate::node::Node;
use crate::peer::{EngineLoad, GrantAnswer, GrantAsk, PeerClient};
use crate::places::Ask;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Longest wait for a grant: the rest of its life, 90 ms, must suffice for a new
/// connection.
const GRANT_WAIT: Duration = Duration::from_millis(60);
/// Time for an agent's answer before its connection counts as lost: longer than
/// [`GRANT_WAIT`], so that one slow answer closes no connection that others use.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// The chosen target with the grant that a send there needs; `None` when there
/// is none.
pub async fn admit(node: &Arc<Node>, ask: &Ask, chosen: Candidate) -> Option<Candidate> {
    let asked_at = node.clock.now();
    let (admission, left_ms) = {
        let view = node.view();
        let places = view.services.get(&ask.service)?;
        let left_ms = chosen
            .cold
            .as_deref()
            .map_or(0, |cold| cold.known_left_ms(asked_at));
        (places.targets.admission(asked_at, &chosen), left_ms)
    };
    match admission {
        Admission::Free | Admission::Part => return Some(chosen),
        Admission::Closed => return None,
        Admission::Grant => {}
    }
    let (agent, cold) = (chosen.agent?, chosen.cold.as_deref()?);
    let grant_ask = GrantAsk {
        requests_per_s: cold.bound.requests_per_s,
        most_in_a_second: cold.bound.most_in_a_second,
        left_ms,
    };
    let answer = tokio::time::timeout(GRANT_WAIT, ask_agent(node, agent, grant_ask)).await;
    let outcome = match answer {
        Ok(Ok(Some(answer))) if answer.is_given => "grant_had",
        Ok(Ok(Some(_))) => "grant_refused",
        _ => "grant_unanswered",
    };
    node.metrics.count(outcome);
    if outcome != "grant_had" {
        return None;
    }
    let granted = Candidate {
        granted_until: Some(asked_at + GRANT_LIFE_MS),
        ..chosen
    };
    if is_still_possible(node, ask, &granted) {
        return Some(granted);
    }
    node.metrics.count("grant_unused");
    None
}

/// Asks; the call goes on when nobody waits for it any more, so that it does not
/// end the connection that others use.
fn ask_agent(
    node: &Arc<Node>,
    agent: SocketAddr,
    ask: GrantAsk,
) -> JoinHandle<Option<GrantAnswer>> {
    let node = node.clone();
    tokio::spawn(async move {
        let call = |client: PeerClient, context| async move { client.grant(context, ask).await };
        node.peers.call(agent, ANSWER_TIMEOUT, call).await.ok()
    })
}

/// Whether the target can still take the request, after the answer of its
/// agent was waited for.
fn is_still_possible(node: &Node, ask: &Ask, granted: &Candidate) -> bool {
    let now = node.clock.now();
    let view = node.view();
    let least = node.least_version(&view, &ask.service);
    let places = view.services.get(&ask.service);
    let chosen = std::slice::from_ref(granted);
    places.is_some_and(|places| {
        let best = places.targets.best_of(now, ask.needs(now, least), chosen);
        best.is_some()
    })
}

/// Whether a request may go to the target on a grant only.
pub fn is_needed(node: &Node, ask: &Ask, candidate: &Candidate) -> bool {
    let now = node.clock.now();
    let view = node.view();
    let places = view.services.get(&ask.service);
    places.is_some_and(|places| places.targets.admission(now, candidate) == Admission::Grant)
}

/// Whether a send to a target of `service` may begin now: it has the grant or
/// the part that it needs by now, and that has not lapsed.
pub fn holds(node: &Node, service: &str, candidate: &Candidate) -> bool {
    let now = node.clock.now();
    let holds = {
        let view = node.view();
        let places = view.services.get(service);
        places.is_some_and(|places| places.targets.may_begin(now, candidate))
    };
    if !holds {
        node.metrics.count("grant_lapsed");
    }
    holds
}

/// Takes what an agent says of its engine's state; returns whether the engine
/// is cold and has no grants left.
pub fn take_state(
    targets: &mut Targets,
    now: Millis,
    candidate: &Candidate,
    load: &EngineLoad,
) -> bool {
    let Some(cold) = candidate.cold.as_deref() else {
        return false;
    };
    let young_ms = |age_ms| cold.lasts_ms.saturating_sub(age_ms);
    let by_age_ms = load.engine_age_ms.map_or(0, young_ms);
    let left_ms = by_age_ms.max(load.cold_left_ms);
    if left_ms > 0 {
        if targets.cold_until(now, candidate).is_none() {
            log::info!(
                event = "target_cold",
                target:% = candidate.id,
                source = ColdSource::Agent.name(),
                age_ms = 0,
                left_ms = left_ms;
                ""
            );
        }
        targets.agent_says_cold(&candidate.id, now + left_ms);
    }
    targets.cold_until(now, candidate).is_some() && load.grants_free == Some(0)
}
