//! Acquires a slot for each send: first within the time in which the target
//! latency can still be met, then, if worthwhile, to be served late (overdue).

use crate::acquire::{ReservedSlot, acquire};
use crate::experiments::Mechanism;
use crate::front::attempt::Attempts;
use crate::front::give_up::GiveUp;
use crate::front::silence_timeouts;
use crate::no_place::{NoPlace, NoPlaceCause};
use crate::places::PlaceRequest;
use crate::stop;
use moleroad_dispatch::prelude::WaitClass;
use moleroad_types::prelude::Millis;

/// Share of the target latency that a request may spend waiting for a slot.
const WAIT_SHARE: f64 = 0.22;
/// Time that an overdue request needs from its send until the caller receives the
/// first event, in milliseconds: the engine reads the prompt in parallel with
/// others, and the first event is forwarded.
const OVERDUE_ANSWER_MS: u64 = 500;
/// Priority of requests that were already sent to a target.
const MOST_URGENT: u8 = 0;
/// Shortest time before the deadline at which a request is still sent, in
/// milliseconds.
pub const MIN_SEND_BUDGET_MS: u64 = 60;

impl Attempts {
    /// Acquires a slot for the next send. A request that did not run is refused when this
    /// process stops and could not complete its answer.
    ///
    /// # Errors
    /// Returns the reason why no further send is made.
    pub(super) async fn next_slot(&mut self) -> Result<ReservedSlot, GiveUp> {
        if self.may_have_run {
            return self.find_slot().await;
        }
        let (node, request) = (self.node.clone(), self.request.clone());
        let slot = tokio::select! {
            biased;
            () = stop::too_late_for(&node, &request) => {
                node.metrics.count("refused_by_stop");
                Err(GiveUp::Stopping)
            }
            slot = self.find_slot() => slot,
        };
        if slot.is_ok() {
            stop::log_taken(&node, &request);
        }
        slot
    }

    async fn find_slot(&mut self) -> Result<ReservedSlot, GiveUp> {
        self.node.catch_up_after_suspension().await;
        let now = self.node.clock.now();
        if now + MIN_SEND_BUDGET_MS > self.request.until {
            return Err(GiveUp::DeadlinePassed);
        }
        if self.sends() >= self.request.route.max_attempts.max(1) {
            return Err(GiveUp::NoRetry);
        }
        if self.sends.needs_repeat() {
            if !self.take_repeat(now) {
                self.node.metrics.count("repeat_over_budget");
                return Err(GiveUp::NoRetry);
            }
            self.sends.took_repeat();
        }
        let slot_request = self.slot_request();
        let is_first = self.sends.is_first();
        if is_first && self.unreachable == 0 {
            self.node.count_diversions(&slot_request);
        }
        let in_time = self.acquire_past_quarantine(&slot_request).await;
        let is_busy = |no_place: &NoPlace| no_place.cause == NoPlaceCause::Busy;
        let lacks_slots = in_time.as_ref().err().is_none_or(is_busy);
        let is_backing_off = |no_place: &NoPlace| no_place.cause == NoPlaceCause::Resting;
        let may_be_late = lacks_slots || in_time.as_ref().err().is_some_and(is_backing_off);
        if lacks_slots && self.sends.claim_in_time_count() {
            self.record_in_time(in_time.is_ok());
        }
        let slot = match in_time {
            Ok(slot) => slot,
            Err(no_place) if is_first && may_be_late => {
                self.overdue_slot(slot_request, no_place).await?
            }
            Err(no_place) => return Err(GiveUp::NoPlace(no_place)),
        };
        if self.sends.claim_first_count() {
            self.record_first_send();
            let waited = self.node.clock.now().since(self.request.arrived);
            self.node.metrics.wait_s.observe(waited as f64 / 1_000.0);
        }
        Ok(slot)
    }

    /// Acquires a slot; tries once more if the request was quarantined while it
    /// waited and the quarantine was lifted.
    async fn acquire_past_quarantine(
        &self,
        slot_request: &PlaceRequest,
    ) -> Result<ReservedSlot, NoPlace> {
        let first = acquire(&self.node, slot_request).await;
        if !matches!(&first, Err(no_place) if no_place.cause == NoPlaceCause::Quarantined) {
            return first;
        }
        if self
            .node
            .wait_for_hold_decision(&slot_request.suspects, slot_request.until)
            .await
        {
            return first;
        }
        acquire(&self.node, slot_request).await
    }

    /// Returns the requirements for a slot that meets the target latency. A
    /// request that was sent before has already used a target's capacity: it gets
    /// the highest priority and may wait until its deadline.
    pub(super) fn slot_request(&self) -> PlaceRequest {
        let request = &self.request;
        let is_first = self.sends.is_first();
        let latency_ms = request.route.target_latency_ms;
        let until = if is_first {
            request.arrived + self.in_time_wait_ms()
        } else {
            request.until
        };
        PlaceRequest {
            service: request.service.clone(),
            tried: self.tried.clone(),
            was_sent: !is_first,
            may_have_run: self.may_have_run,
            prompt_tokens: request.prompt_tokens,
            priority: if is_first {
                request.priority
            } else {
                MOST_URGENT
            },
            latency_deadline: is_first.then(|| request.arrived + latency_ms),
            until: until.min(Millis(request.until.0 - MIN_SEND_BUDGET_MS)),
            class: WaitClass::InTime,
            residency: self.node.view().residency(&request.residency),
            suspects: request.suspects.clone(),
            is_trial: request.is_trial && is_first,
        }
    }

    /// Returns how long a request waits for a slot that meets the target latency,
    /// in milliseconds.
    fn in_time_wait_ms(&self) -> u64 {
        let is_enabled = self
            .node
            .settings
            .experiments
            .is_enabled(Mechanism::Waiting);
        let share = if is_enabled { WAIT_SHARE } else { 0.0 };
        (self.request.route.target_latency_ms as f64 * share) as u64
    }

    /// Waits for a slot to be served late, if one is expected before the caller
    /// disconnects. A late answer is better for the caller than a refusal, since
    /// its time already runs when it retries.
    async fn overdue_slot(
        &self,
        in_time: PlaceRequest,
        no_place: NoPlace,
    ) -> Result<ReservedSlot, GiveUp> {
        let is_enabled = self
            .node
            .settings
            .experiments
            .is_enabled(Mechanism::HeldOverdue);
        let disconnects_at =
            self.request.arrived + silence_timeouts::caller_timeout_ms(&self.request.route);
        let until = disconnects_at.min(self.request.until);
        let last_send = Millis(until.0.saturating_sub(OVERDUE_ANSWER_MS));
        let now = self.node.clock.now();
        let expected_ms = self.node.expected_wait_ms(&in_time);
        let is_in_time = expected_ms.is_some_and(|wait_ms| now + wait_ms <= last_send);
        if !is_enabled || !is_in_time {
            return Err(GiveUp::NoPlace(no_place));
        }
        let slot_request = PlaceRequest {
            latency_deadline: None,
            until: last_send,
            class: WaitClass::Overdue,
            ..in_time
        };
        self.log_held(now, last_send, expected_ms);
        let slot = acquire(&self.node, &slot_request).await;
        slot.map_err(GiveUp::NoPlace)
    }

    fn record_in_time(&self, found_slot: bool) {
        let mut view = self.node.view();
        if let Some(slots) = view.services.get_mut(&self.request.service) {
            slots.record_in_time_outcome(found_slot);
        }
    }

    fn record_first_send(&self) {
        let now = self.node.clock.now();
        let mut view = self.node.view();
        if let Some(slots) = view.services.get_mut(&self.request.service) {
            slots.budget.note_request(now);
        }
    }

    fn take_repeat(&self, now: Millis) -> bool {
        let mut view = self.node.view();
        let entries = view.entry_count(now);
        let slots = view.services.get_mut(&self.request.service);
        slots.is_some_and(|slots| slots.budget.try_take(now, entries))
    }
}
