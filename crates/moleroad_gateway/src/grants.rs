//! Asking the agent beside a cold engine, and the owner of a target that named a limit,
//! whether a request may go there.

use crate::limit_grants;
use crate::node::Node;
use crate::peer::{EngineLoad, GrantAnswer, GrantRequest, LimitGrantRequest, PeerClient};
use crate::places::Ask;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Longest wait for a grant: the rest of its life, 90 ms, must suffice for a new
/// connection.
const GRANT_WAIT: Duration = Duration::from_millis(60);
/// Time for an agent's answer before its connection counts as lost: longer than
/// [`GRANT_WAIT`], so that one slow answer closes no connection that others use.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// The chosen target with the grants that a send there needs; `None` when one of them
/// is not given.
pub async fn admit(node: &Arc<Node>, ask: &Ask, chosen: Candidate) -> Option<Candidate> {
    let asked_at = node.clock.now();
    let (admission, is_cold) = {
        let view = node.view();
        let targets = &view.services.get(&ask.service)?.targets;
        let is_cold = targets.cold_until(asked_at, &chosen).is_some();
        (targets.admission(asked_at, &chosen), is_cold)
    };
    match admission {
        Admission::Unrestricted | Admission::Quota => return Some(chosen),
        Admission::Denied => return None,
        Admission::Grant => {}
    }
    let cold = chosen
        .cold
        .as_deref()
        .filter(|cold| is_cold && cold.requires_grant);
    if let Some(cold) = cold
        && !has_cold_grant(node, &chosen, cold, asked_at).await
    {
        return None;
    }
    if let Some(limit) = chosen.limit.as_deref()
        && !has_limit_grant(node, &chosen, limit).await
    {
        return None;
    }
    let granted = Candidate {
        granted_until: Some(asked_at + GRANT_TTL_MS),
        ..chosen
    };
    if is_still_possible(node, ask, &granted) {
        return Some(granted);
    }
    node.metrics.count("grant_unused");
    None
}

/// Asks the agent beside a cold engine for a grant; returns whether it gave one.
async fn has_cold_grant(
    node: &Arc<Node>,
    chosen: &Candidate,
    cold: &ColdTarget,
    asked_at: Millis,
) -> bool {
    let Some(agent) = chosen.agent else {
        return false;
    };
    let ask = GrantRequest {
        requests_per_s: cold.bound.requests_per_s,
        most_in_a_second: cold.bound.most_in_a_second,
        left_ms: cold.reported_left_ms(asked_at),
    };
    let call = move |client: PeerClient, context| async move { client.grant(context, ask).await };
    let answer = ask_owner(node, agent, call).await;
    note_answer(
        node,
        ["grant_had", "grant_refused", "grant_unanswered"],
        answer,
    )
}

/// Asks the owner of a target that named a limit for a grant; returns whether it gave
/// one.
async fn has_limit_grant(node: &Arc<Node>, chosen: &Candidate, limit: &LimitedTarget) -> bool {
    let ask = LimitGrantRequest {
        target: chosen.id.clone(),
        rate: limit.rate,
    };
    let answer = if limit.owner == node.settings.peer_address() {
        Some(limit_grants::grant(node, &ask))
    } else {
        let call = move |client: PeerClient, context| async move {
            client.limit_grant(context, ask).await
        };
        ask_owner(node, limit.owner, call).await
    };
    let outcomes = [
        "limit_grant_had",
        "limit_grant_refused",
        "limit_grant_unanswered",
    ];
    note_answer(node, outcomes, answer)
}

/// Counts what became of a question, as given, refused or unanswered; returns whether
/// the grant was given.
fn note_answer(node: &Node, outcomes: [&str; 3], answer: Option<GrantAnswer>) -> bool {
    let [given, refused, unanswered] = outcomes;
    node.metrics.count(match answer {
        Some(GrantAnswer { is_given: true }) => given,
        Some(GrantAnswer { is_given: false }) => refused,
        None => unanswered,
    });
    answer.is_some_and(|answer| answer.is_given)
}

/// Asks; the call goes on when nobody waits for it any more, so that it does not
/// end the connection that others use.
async fn ask_owner<Call, Answering>(
    node: &Arc<Node>,
    owner: SocketAddr,
    call: Call,
) -> Option<GrantAnswer>
where
    Call: FnOnce(PeerClient, Context) -> Answering + Send + 'static,
    Answering: Future<Output = Result<GrantAnswer, RpcError>> + Send + 'static,
{
    let asking = node.clone();
    let answer = tokio::spawn(async move {
        let answer = asking.peers.call(owner, ANSWER_TIMEOUT, call).await;
        answer.ok()
    });
    let answer = tokio::time::timeout(GRANT_WAIT, answer).await;
    answer.ok()?.ok()?
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
        targets.agent_reported_cold(&candidate.id, now + left_ms);
    }
    targets.cold_until(now, candidate).is_some() && load.grants_free == Some(0)
}
