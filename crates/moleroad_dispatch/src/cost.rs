//! Free slots, deadlines and the cost of sending a request to a target.

use crate::candidate::{Candidate, Requirements};
use crate::targets::Targets;
use moleroad_types::prelude::Millis;

/// Cost of each request beyond the slots of a full target, in milliseconds: the time to
/// run one request, divided by the slots.
const OVERLOAD_COST_MS: f64 = 1_000.0;
/// Added latency of a first event if all slots are in use, in milliseconds, for targets
/// without a prefill model.
const BUSY_COST_MS: f64 = 100.0;
/// Added cost if all slots are in use, on top of the prompts that are still to be
/// prefilled, in milliseconds: each step takes a little longer, and the target may soon
/// be full.
const BUSY_ENGINE_COST_MS: f64 = 30.0;
/// Cost of a failed send, in milliseconds: the time until the failure is detected.
const FAILURE_COST_MS: f64 = 500.0;
/// Cost of a slow target for each multiple of the normal duration, in milliseconds:
/// later events are slow too, not only the first.
const SLOW_COST_MS: f64 = 150.0;

/// Load, as a fraction of the slots, up to which any entry may send to a target. Beyond
/// it, entries that decide at the same time would overfill the target, so each uses
/// only its own slots.
const SHARED_LOAD_LIMIT: f64 = 0.7;

impl Targets {
    pub(crate) fn has_free_slot(
        &self,
        now: Millis,
        candidate: &Candidate,
        reserved_slots: u32,
    ) -> bool {
        let load = self.load(&candidate.id);
        let requests = load.requests(now);
        let slots = f64::from(candidate.slots.saturating_sub(reserved_slots));
        if self.prefill.is_some() && load.is_current(now) {
            return load.own_in_flight() < candidate.max_own && requests + 1.0 <= slots;
        }
        // All entries see at the same time that a target has become free: until a
        // report shows what the others sent, each sends no more than its own share.
        let has_used_share =
            self.prefill.is_some() && load.unreported(now) >= candidate.share.max(1);
        let is_lightly_loaded = requests + 1.0 <= slots * SHARED_LOAD_LIMIT && !has_used_share;
        let has_own_slot = load.own_in_flight() < candidate.share && requests < slots;
        load.own_in_flight() < candidate.max_own && (is_lightly_loaded || has_own_slot)
    }

    pub(crate) fn meets_deadline(
        &self,
        now: Millis,
        candidate: &Candidate,
        needs: Requirements<'_>,
    ) -> bool {
        let (Some(first_event_within_ms), Some(prefill)) =
            (needs.first_event_within_ms, self.prefill)
        else {
            return true;
        };
        let load = self.load(&candidate.id);
        let unread_tokens = load.unread_tokens(now, prefill.typical_prompt_tokens);
        let own = needs.prompt_tokens as f64;
        let first_event_ms = prefill.first_event_ms(own, unread_tokens, load.requests(now));
        first_event_ms * self.slowness(now, candidate) <= first_event_within_ms as f64
    }

    /// Returns the cost of sending to the candidate, as a time in milliseconds.
    pub fn cost_ms(&self, now: Millis, candidate: &Candidate) -> f64 {
        let load = self.load(&candidate.id);
        let slots = f64::from(candidate.slots.max(1));
        let requests = load.requests(now);
        let busy = match self.prefill {
            None => BUSY_COST_MS * requests / slots,
            Some(prefill) => {
                let unread_tokens = load.unread_tokens(now, prefill.typical_prompt_tokens);
                let first_ms = prefill.first_event_ms(0.0, unread_tokens, requests);
                first_ms * self.slowness(now, candidate) + BUSY_ENGINE_COST_MS * requests / slots
            }
        };
        let overload = (requests + 1.0 - slots).max(0.0) * OVERLOAD_COST_MS / slots;
        let failing = load.health.failure_rate(now) * FAILURE_COST_MS;
        let slow = (self.slowness(now, candidate) - 1.0).max(0.0) * SLOW_COST_MS;
        let timeouts = load.timeout_cost_ms(now);
        candidate.distance.cost_ms() + busy + overload + failing + slow + timeouts
    }

    /// Returns whether the candidate is cheap enough to skip the search in other
    /// regions: at most one prompt of typical length is waiting there.
    pub fn is_good_enough(&self, now: Millis, candidate: &Candidate) -> bool {
        let Some(prefill) = self.prefill else {
            return true;
        };
        let typical_prompt_ms = prefill.first_event_ms(0.0, prefill.typical_prompt_tokens, 1.0);
        self.cost_ms(now, candidate) <= typical_prompt_ms + BUSY_ENGINE_COST_MS
    }
}
