//! Reserving a slot at a target, or waiting for one. A slot is the capacity of a target
//! for one concurrent request.

use crate::no_place::{NoPlace, no_place, no_place_for};
use crate::node::Node;
use crate::places::PlaceRequest;
use crate::probe;
use crate::refusal::immediate_refusal;
use moleroad_dispatch::prelude::*;
use moleroad_quarantine::prelude::{RequestSuspects, TargetIncarnation};
use moleroad_types::prelude::Millis;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Interval at which a queued request probes the targets again, in milliseconds: a
/// third of the shortest pass of an engine.
const PROBE_INTERVAL_MS: u64 = 15;
/// The same interval for overdue requests. Each probe queries up to five agents, and a
/// few milliseconds more cost an overdue request nothing.
const OVERDUE_PROBE_INTERVAL_MS: u64 = 45;

/// Number of overdue requests that probe targets at the same time: engines that become
/// available together have hundreds of free slots at once.
const MAX_OVERDUE_PROBING: usize = 3;

/// Time from the first event of an answer to another one that shows that no part of its
/// prompt terminates the target, in milliseconds. A part that does so does it when the
/// target begins to answer; the rest is for events that are on their way by then.
const SOUND_ANSWER_MS: u64 = 500;

fn probe_interval_ms(class: WaitClass) -> u64 {
    match class {
        WaitClass::InTime => PROBE_INTERVAL_MS,
        WaitClass::Overdue => OVERDUE_PROBE_INTERVAL_MS,
    }
}

/// Estimated load of a target at the time a slot there was reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Requests in flight at the target.
    pub requests: f64,
    /// Prompt tokens that the target has not yet read.
    pub unread_tokens: f64,
    /// Age of the last report of the target's agent, in milliseconds; `None` without
    /// one.
    pub report_age_ms: Option<u64>,
}

/// A reserved slot at a target; released when dropped.
pub struct ReservedSlot {
    /// Load of the target when the slot was reserved.
    pub load_estimate: LoadEstimate,
    node: Arc<Node>,
    service: String,
    /// The target.
    pub candidate: Candidate,
    /// Incarnation of the target that receives the request.
    pub incarnation: TargetIncarnation,
    /// What the request that was sent to the target carries, and its deadline there.
    sent: Option<(RequestSuspects, Millis)>,
    first_event_at: Option<Millis>,
    class: WaitClass,
    unread_tokens: Option<u64>,
    outcome: Outcome,
}

impl ReservedSlot {
    fn new(node: &Arc<Node>, request: &PlaceRequest, candidate: Candidate) -> Self {
        let load_estimate = estimate_load(node, request, &candidate);
        if request.class == WaitClass::Overdue
            && let Some(slots) = node.view().services.get_mut(&request.service)
        {
            slots.overdue_share.started(&candidate.region);
        }
        Self {
            load_estimate,
            node: node.clone(),
            service: request.service.clone(),
            incarnation: node.view().incarnation_of(&candidate.id),
            sent: None,
            first_event_at: None,
            candidate,
            class: request.class,
            unread_tokens: Some(request.prompt_tokens),
            outcome: Outcome::Abandoned,
        }
    }

    /// Returns the target whose answers arrive through this slot.
    pub fn responder(&self) -> Responder {
        Responder {
            address: self.candidate.address,
            target: self.incarnation.target.clone(),
            born_ms: self.incarnation.born_ms,
        }
    }

    /// Records that a request with this deadline is being sent to the target.
    pub fn record_send(&mut self, request: RequestSuspects, until: Millis) {
        self.sent = Some((request, until));
    }

    /// Returns what the request carries that may terminate the target; `None` before it
    /// was sent.
    pub fn suspects(&self) -> Option<&RequestSuspects> {
        self.sent.as_ref().map(|(request, _)| request)
    }

    /// Returns whether an event of the answer has arrived.
    pub fn has_event(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Records that events of the answer arrived. Returns true once the answer has gone
    /// on for so long that the parts of the prompt do not terminate the target.
    pub fn record_event(&mut self, now: Millis) -> bool {
        let first = *self.first_event_at.get_or_insert(now);
        if now.since(first) < SOUND_ANSWER_MS {
            return false;
        }
        let Some((request, _)) = &mut self.sent else {
            return false;
        };
        let has_parts = request.prompt_parts().next().is_some();
        if has_parts {
            *request = request.without_prompt_parts();
        }
        has_parts
    }

    /// Records that the request was not sent after all.
    pub fn clear_send(&mut self) {
        self.sent = None;
    }

    /// Records a request that this entry gave up and the target may still be running.
    fn record_abandoned(&mut self) {
        let was_given_up = matches!(self.outcome, Outcome::Abandoned | Outcome::Broken);
        if let Some((request, until)) = self.sent.take().filter(|_| was_given_up) {
            let now = self.node.clock.now();
            let mut ends = self.node.target_ends();
            ends.record_abandoned(now, &self.incarnation, request, until);
        }
    }

    /// Records that the target has read the prompt.
    pub fn mark_prompt_read(&mut self) {
        let Some(tokens) = self.unread_tokens.take() else {
            return;
        };
        let mut view = self.node.view();
        if let Some(slots) = view.services.get_mut(&self.service) {
            slots.targets.prompt_read(&self.candidate.id, tokens);
        }
    }

    /// Sets the outcome of the send; without one the request counts as abandoned.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for ReservedSlot {
    fn drop(&mut self) {
        self.record_abandoned();
        self.mark_prompt_read();
        let now = self.node.clock.now();
        let mut view = self.node.view();
        let min_version = self.node.min_version(&view, &self.service);
        if let Some(slots) = view.services.get_mut(&self.service) {
            slots
                .targets
                .finished(now, &self.candidate.id, self.outcome);
            if self.class == WaitClass::Overdue {
                slots.overdue_share.ended(&self.candidate.region);
            }
            slots.serve_waiting(now, min_version);
        }
    }
}

/// A queued request. When dropped, it leaves the queue and releases a slot that was
/// granted but not taken.
struct QueuedRequest {
    node: Arc<Node>,
    request: PlaceRequest,
    id: WaiterId,
    grant: oneshot::Receiver<Candidate>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut view = self.node.view();
        let Some(slots) = view.services.get_mut(&self.request.service) else {
            return;
        };
        slots.cancel(self.id);
        if let Ok(candidate) = self.grant.try_recv() {
            let (targets, tokens) = (&mut slots.targets, self.request.prompt_tokens);
            targets.prompt_read(&candidate.id, tokens);
            targets.finished(now, &candidate.id, Outcome::Abandoned);
        }
    }
}

/// Reserves a slot, waiting for one if necessary.
///
/// # Errors
/// Returns [`NoPlace`] when no slot becomes free until [`PlaceRequest::until`], when too many
/// requests wait, or when no target is eligible for the request.
pub async fn acquire(node: &Arc<Node>, request: &PlaceRequest) -> Result<ReservedSlot, NoPlace> {
    let now = node.clock.now();
    let slot = |candidate| ReservedSlot::new(node, request, candidate);
    let may_probe_now = {
        let view = node.view();
        let Some(slots) = view.services.get(&request.service) else {
            return Err(no_place(now, None, Requirements::default(), 1));
        };
        if let Some(refused) = immediate_refusal(node, &view, request) {
            return Err(refused);
        }
        let ahead = slots
            .queue
            .count_ahead(request.class, request.residency.allowed());
        ahead == 0 && slots.admits(request, view.entry_count(now))
    };
    if may_probe_now && let Some(candidate) = probe::find(node, request).await {
        return Ok(slot(candidate));
    }
    let (id, grant) = {
        let mut view = node.view();
        let slots = view.services.get_mut(&request.service);
        match slots.and_then(|slots| slots.enqueue(now, request)) {
            Some(waiting) => waiting,
            None => return Err(no_place_for(node, &view, request)),
        }
    };
    let mut queued = QueuedRequest {
        node: node.clone(),
        request: request.clone(),
        id,
        grant,
    };
    loop {
        let next_probe_at =
            (node.clock.now() + probe_interval_ms(request.class)).min(request.until);
        let granted =
            tokio::time::timeout_at(node.clock.instant(next_probe_at), &mut queued.grant).await;
        // Holds the slot from here on, so that it is released if the caller
        // disconnects.
        let granted = granted.ok().and_then(Result::ok).map(slot);
        node.catch_up_after_suspension().await;
        let residency = node.view().residency(&queued.request.residency);
        queued.request.residency = residency;
        if let Some(slot) = granted {
            if is_open(node, &queued.request, &slot.candidate) {
                return Ok(slot);
            }
            // State that arrived after the slot was granted makes the target
            // ineligible.
            let request = queued.request.clone();
            drop((slot, queued));
            return Box::pin(acquire(node, &request)).await;
        }
        let request = &queued.request;
        {
            let view = node.view();
            if let Some(refused) = immediate_refusal(node, &view, request) {
                return Err(refused);
            }
            if node.clock.now() >= request.until {
                return Err(no_place_for(node, &view, request));
            }
        }
        if is_next_in_queue(node, request, id)
            && let Some(candidate) = probe::find(node, request).await
        {
            let now = node.clock.now();
            if let Some(slots) = node.view().services.get_mut(&request.service) {
                slots.record_granted(now, request.class);
            }
            return Ok(slot(candidate));
        }
    }
}

/// Returns whether the target is still eligible for the request.
fn is_open(node: &Node, request: &PlaceRequest, candidate: &Candidate) -> bool {
    let view = node.view();
    let needs = request.needs(node.clock.now(), node.min_version(&view, &request.service));
    let slots = view.services.get(&request.service);
    slots.is_some_and(|slots| slots.targets.is_eligible(&candidate.id, needs))
}

/// Returns whether the queued request is among the next to be sent and has to probe
/// agents itself.
fn is_next_in_queue(node: &Node, request: &PlaceRequest, id: WaiterId) -> bool {
    let view = node.view();
    let slots = view.services.get(&request.service);
    slots.is_some_and(|slots| {
        let count = match request.class {
            WaitClass::InTime => 1,
            WaitClass::Overdue => MAX_OVERDUE_PROBING,
        };
        let now = node.clock.now();
        let is_admitted = slots.admits(request, view.entry_count(now));
        let probes = slots.targets.require_queries() && is_admitted;
        probes && slots.queue.is_among_first(count, id, now)
    })
}

fn estimate_load(node: &Node, request: &PlaceRequest, candidate: &Candidate) -> LoadEstimate {
    let now = node.clock.now();
    let view = node.view();
    let Some(slots) = view.services.get(&request.service) else {
        return LoadEstimate::default();
    };
    let load = slots.targets.load(&candidate.id);
    let typical_prompt_tokens = slots
        .targets
        .prefill
        .map_or(0.0, |prefill| prefill.typical_prompt_tokens);
    LoadEstimate {
        requests: load.requests(now),
        unread_tokens: load.unread_tokens(now, typical_prompt_tokens),
        report_age_ms: load.report_age(now),
    }
}
