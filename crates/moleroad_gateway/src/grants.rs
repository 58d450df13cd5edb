//! Obtaining grants for requests to cold engines, which their agents issue, and to
//! targets with a named limit, which the owners of these targets issue.

use crate::limit_grants;
use crate::node::Node;
use crate::peer::{EngineLoad, GrantAnswer, GrantRequest, LimitGrantRequest, PeerClient};
use crate::places::PlaceRequest;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Longest wait for a grant. The 90 ms of its lifetime that remain must suffice to open
/// a new connection.
const GRANT_WAIT: Duration = Duration::from_millis(60);
/// Timeout after which the connection to an agent counts as lost: longer than
/// [`GRANT_WAIT`], so that one slow answer does not close a connection that other calls
/// use.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Obtains the grants that a send to the chosen target needs; `None` when one of them
/// is refused.
pub async fn admit(
    node: &Arc<Node>,
    request: &PlaceRequest,
    chosen: Candidate,
) -> Option<Candidate> {
    let asked_at = node.clock.now();
    let (admission, is_cold) = {
        let view = node.view();
        let targets = &view.services.get(&request.service)?.targets;
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
        && !request_cold_grant(node, &chosen, cold, asked_at).await
    {
        return None;
    }
    if let Some(limit) = chosen.limit.as_deref()
        && !request_limit_grant(node, &chosen, limit).await
    {
        return None;
    }
    let granted = Candidate {
        granted_until: Some(asked_at + GRANT_TTL_MS),
        ..chosen
    };
    if is_still_eligible(node, request, &granted) {
        return Some(granted);
    }
    node.metrics.count("grant_unused");
    None
}

/// Asks the agent of a cold engine for a grant; returns whether it was given.
async fn request_cold_grant(
    node: &Arc<Node>,
    chosen: &Candidate,
    cold: &ColdTarget,
    asked_at: Millis,
) -> bool {
    let Some(agent) = chosen.agent else {
        return false;
    };
    let request = GrantRequest {
        requests_per_s: cold.bound.requests_per_s,
        most_in_a_second: cold.bound.most_in_a_second,
        left_ms: cold.reported_left_ms(asked_at),
    };
    let call =
        move |client: PeerClient, context| async move { client.grant(context, request).await };
    let answer = call_owner(node, agent, call).await;
    count_answer(
        node,
        ["grant_had", "grant_refused", "grant_unanswered"],
        answer,
    )
}

/// Asks the owner of a target with a named limit for a grant; returns whether it was
/// given.
async fn request_limit_grant(node: &Arc<Node>, chosen: &Candidate, limit: &LimitedTarget) -> bool {
    let request = LimitGrantRequest {
        target: chosen.id.clone(),
        rate: limit.rate,
    };
    let answer = if limit.owner == node.settings.peer_address() {
        Some(limit_grants::grant(node, &request))
    } else {
        let call = move |client: PeerClient, context| async move {
            client.limit_grant(context, request).await
        };
        call_owner(node, limit.owner, call).await
    };
    let outcomes = [
        "limit_grant_had",
        "limit_grant_refused",
        "limit_grant_unanswered",
    ];
    count_answer(node, outcomes, answer)
}

/// Counts the answer to a grant request as given, refused or missing; returns whether
/// the grant was given.
fn count_answer(node: &Node, outcomes: [&str; 3], answer: Option<GrantAnswer>) -> bool {
    let [given, refused, unanswered] = outcomes;
    node.metrics.count(match answer {
        Some(GrantAnswer { is_given: true }) => given,
        Some(GrantAnswer { is_given: false }) => refused,
        None => unanswered,
    });
    answer.is_some_and(|answer| answer.is_given)
}

/// Calls the owner. The call continues after the wait ends, since cancelling it would
/// close the connection that other calls use.
async fn call_owner<Call, Answering>(
    node: &Arc<Node>,
    owner: SocketAddr,
    call: Call,
) -> Option<GrantAnswer>
where
    Call: FnOnce(PeerClient, Context) -> Answering + Send + 'static,
    Answering: Future<Output = Result<GrantAnswer, RpcError>> + Send + 'static,
{
    let caller = node.clone();
    let answer = tokio::spawn(async move {
        let answer = caller.peers.call(owner, ANSWER_TIMEOUT, call).await;
        answer.ok()
    });
    let answer = tokio::time::timeout(GRANT_WAIT, answer).await;
    answer.ok()?.ok()?
}

/// Returns whether the target can still accept the request after the wait for the
/// grant.
fn is_still_eligible(node: &Node, request: &PlaceRequest, granted: &Candidate) -> bool {
    let now = node.clock.now();
    let view = node.view();
    let min_version = node.min_version(&view, &request.service);
    let slots = view.services.get(&request.service);
    let chosen = std::slice::from_ref(granted);
    slots.is_some_and(|slots| {
        let best = slots
            .targets
            .best_of(now, request.needs(now, min_version), chosen);
        best.is_some()
    })
}

/// Returns whether the request needs a grant to go to the target.
pub fn needs_grant(node: &Node, request: &PlaceRequest, candidate: &Candidate) -> bool {
    let now = node.clock.now();
    let view = node.view();
    let slots = view.services.get(&request.service);
    slots.is_some_and(|slots| slots.targets.admission(now, candidate) == Admission::Grant)
}

/// Returns whether a send to a target of `service` may begin now, that is, whether it
/// has the grant or the quota that it needs, not yet expired.
pub fn may_send(node: &Node, service: &str, candidate: &Candidate) -> bool {
    let now = node.clock.now();
    let holds = {
        let view = node.view();
        let slots = view.services.get(service);
        slots.is_some_and(|slots| slots.targets.may_still_send(now, candidate))
    };
    if !holds {
        node.metrics.count("grant_lapsed");
    }
    holds
}

/// Applies the engine state that an agent reported; returns whether the engine is cold
/// and has no grants left.
pub fn update_cold_state(
    targets: &mut Targets,
    now: Millis,
    candidate: &Candidate,
    load: &EngineLoad,
) -> bool {
    let Some(cold) = candidate.cold.as_deref() else {
        return false;
    };
    let cold_left_by_age = |age_ms| cold.cold_duration_ms.saturating_sub(age_ms);
    let left_by_age_ms = load.engine_age_ms.map_or(0, cold_left_by_age);
    let left_ms = left_by_age_ms.max(load.cold_left_ms);
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
