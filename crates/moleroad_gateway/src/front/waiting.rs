//! Acquires a place for each send: first within the time in which the target
//! latency can still be met, then, if worthwhile, to be served late (overdue).

use crate::acquire::{ReservedSlot, acquire};
use crate::experiments::Mechanism;
use crate::front::attempt::Attempts;
use crate::front::give_up::GiveUp;
use crate::front::silence_timeouts;
use crate::no_place::{NoPlace, NoPlaceCause};
use crate::places::PlaceRequest;
use moleroad_dispatch::prelude::WaitClass;
use moleroad_types::prelude::Millis;

/// Share of the target latency that a request may spend waiting for a place.
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
    /// Acquires a place for the next send.
    ///
    /// # Errors
    /// Returns the reason why no further send is made.
    pub(super) async fn next_place(&mut self) -> Result<ReservedSlot, GiveUp> {
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
        let ask = self.ask();
        let is_first = self.sends.is_first();
        if is_first && self.unreachable == 0 {
            self.node.count_diversions(&ask);
        }
        let in_time = self.acquire_past_quarantine(&ask).await;
        let lacks_room = |no_place: &NoPlace| no_place.cause == NoPlaceCause::Busy;
        let is_about_room = in_time.as_ref().err().is_none_or(lacks_room);
        let rests = |no_place: &NoPlace| no_place.cause == NoPlaceCause::Resting;
        let may_be_late = is_about_room || in_time.as_ref().err().is_some_and(rests);
        if is_about_room && self.sends.claim_in_time_count() {
            self.note_in_time(in_time.is_ok());
        }
        let place = match in_time {
            Ok(place) => place,
            Err(no_place) if is_first && may_be_late => self.overdue_place(ask, no_place).await?,
            Err(no_place) => return Err(GiveUp::NoPlace(no_place)),
        };
        if self.sends.claim_first_count() {
            self.note_first_send();
            let waited = self.node.clock.now().since(self.request.arrived);
            self.node.metrics.wait_s.observe(waited as f64 / 1_000.0);
        }
        Ok(place)
    }

    /// Acquires a place; tries once more if the request was quarantined while it
    /// waited and the quarantine was lifted.
    async fn acquire_past_quarantine(&self, ask: &PlaceRequest) -> Result<ReservedSlot, NoPlace> {
        let first = acquire(&self.node, ask).await;
        if !matches!(&first, Err(no_place) if no_place.cause == NoPlaceCause::Quarantined) {
            return first;
        }
        if self
            .node
            .wait_for_hold_decision(&ask.fingerprint, ask.until)
            .await
        {
            return first;
        }
        acquire(&self.node, ask).await
    }

    /// Returns the requirements for a place that meets the target latency. A
    /// request that was sent before has already used a target's capacity: it gets
    /// the highest priority and may wait until its deadline.
    pub(super) fn ask(&self) -> PlaceRequest {
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
            wanted_by: is_first.then(|| request.arrived + latency_ms),
            until: until.min(Millis(request.until.0 - MIN_SEND_BUDGET_MS)),
            line: WaitClass::InTime,
            residency: self.node.view().residency(&request.residency),
            fingerprint: request.fingerprint,
            is_trial: request.is_trial && is_first,
        }
    }

    /// Returns how long a request waits for a place that meets the target latency,
    /// in milliseconds.
    fn in_time_wait_ms(&self) -> u64 {
        let waits = self
            .node
            .settings
            .experiments
            .is_enabled(Mechanism::Waiting);
        let share = if waits { WAIT_SHARE } else { 0.0 };
        (self.request.route.target_latency_ms as f64 * share) as u64
    }

    /// Waits for a place to be served late, if one is expected before the caller
    /// disconnects. A late answer is better for the caller than a refusal, since
    /// its time already runs when it retries.
    async fn overdue_place(
        &self,
        in_time: PlaceRequest,
        no_place: NoPlace,
    ) -> Result<ReservedSlot, GiveUp> {
        let held = self
            .node
            .settings
            .experiments
            .is_enabled(Mechanism::HeldOverdue);
        let leaves_at =
            self.request.arrived + silence_timeouts::caller_timeout_ms(&self.request.route);
        let until = leaves_at.min(self.request.until);
        let last_send = Millis(until.0.saturating_sub(OVERDUE_ANSWER_MS));
        let now = self.node.clock.now();
        let expected_ms = self.node.expected_wait_ms(&in_time);
        let comes = expected_ms.is_some_and(|wait_ms| now + wait_ms <= last_send);
        if !held || !comes {
            return Err(GiveUp::NoPlace(no_place));
        }
        let ask = PlaceRequest {
            wanted_by: None,
            until: last_send,
            line: WaitClass::Overdue,
            ..in_time
        };
        self.log_held(now, last_send, expected_ms);
        let place = acquire(&self.node, &ask).await;
        place.map_err(GiveUp::NoPlace)
    }

    fn note_in_time(&self, is_placed: bool) {
        let mut view = self.node.view();
        if let Some(places) = view.services.get_mut(&self.request.service) {
            places.record_in_time_outcome(is_placed);
        }
    }

    fn note_first_send(&self) {
        let now = self.node.clock.now();
        let mut view = self.node.view();
        if let Some(places) = view.services.get_mut(&self.request.service) {
            places.budget.note_request(now);
        }
    }

    fn take_repeat(&self, now: Millis) -> bool {
        let mut view = self.node.view();
        let entries = view.entry_count(now);
        let places = view.services.get_mut(&self.request.service);
        places.is_some_and(|places| places.budget.try_take(now, entries))
    }
}
