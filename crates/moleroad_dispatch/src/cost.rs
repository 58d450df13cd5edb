//! Whether a target has a place for a request, and what sending it there costs.

use crate::candidate::{Candidate, Requirements};
use crate::targets::Targets;
use moleroad_types::prelude::Millis;

/// Time that a full target takes to run one request, shared by its slots, as
/// the cost of each request beyond the slots, in milliseconds.
const FULL_COST_MS: f64 = 1_000.0;
/// What a full set of slots adds to a first event, in milliseconds, where no
/// model of the target's speed is known.
const BUSY_COST_MS: f64 = 100.0;
/// What a full set of slots adds beside the prompts that wait, in milliseconds:
/// each step takes a little longer, and a place may be missing soon.
const BUSY_ENGINE_COST_MS: f64 = 30.0;
/// What a failed send costs, in milliseconds: the time until it is noticed.
const FAILURE_COST_MS: f64 = 500.0;
/// What a slow target adds for each time that it is slower than usual, in
/// milliseconds: later events are slow too, not only the first.
const SLOW_COST_MS: f64 = 150.0;

/// Share of its slots up to which any entry sends to a target: beyond it, entries
/// that decide at once would overfill it, and each keeps to its own places.
const LIGHT_SHARE: f64 = 0.7;

impl Targets {
    pub(crate) fn has_place(&self, now: Millis, candidate: &Candidate, spare: u32) -> bool {
        let load = self.load(&candidate.id);
        let requests = load.requests(now);
        let slots = f64::from(candidate.slots.saturating_sub(spare));
        if self.reading.is_some() && load.is_current(now) {
            return load.own() < candidate.max_own && requests + 1.0 <= slots;
        }
        // All entries see a target that has just become free: each sends only
        // its part until a report tells what the others sent.
        let is_crowd = self.reading.is_some() && load.unreported(now) >= candidate.share.max(1);
        let is_light = requests + 1.0 <= slots * LIGHT_SHARE && !is_crowd;
        let has_own = load.own() < candidate.share && requests < slots;
        load.own() < candidate.max_own && (is_light || has_own)
    }

    pub(crate) fn is_in_time(
        &self,
        now: Millis,
        candidate: &Candidate,
        needs: Requirements<'_>,
    ) -> bool {
        let (Some(first_event_within_ms), Some(reading)) =
            (needs.first_event_within_ms, self.reading)
        else {
            return true;
        };
        let load = self.load(&candidate.id);
        let unread = load.unread_tokens(now, reading.usual_prompt);
        let own = needs.prompt_tokens as f64;
        let first_event_ms = reading.first_event_ms(own, unread, load.requests(now));
        first_event_ms * self.slowness(now, candidate) <= first_event_within_ms as f64
    }

    /// What sending to the candidate costs, as a time in milliseconds.
    pub fn cost_ms(&self, now: Millis, candidate: &Candidate) -> f64 {
        let load = self.load(&candidate.id);
        let slots = f64::from(candidate.slots.max(1));
        let requests = load.requests(now);
        let busy = match self.reading {
            None => BUSY_COST_MS * requests / slots,
            Some(reading) => {
                let unread = load.unread_tokens(now, reading.usual_prompt);
                let first_ms = reading.first_event_ms(0.0, unread, requests);
                first_ms * self.slowness(now, candidate) + BUSY_ENGINE_COST_MS * requests / slots
            }
        };
        let beyond = (requests + 1.0 - slots).max(0.0) * FULL_COST_MS / slots;
        let failing = load.health.failure_rate(now) * FAILURE_COST_MS;
        let slow = (self.slowness(now, candidate) - 1.0).max(0.0) * SLOW_COST_MS;
        let silent = load.silence_cost_ms(now);
        candidate.distance.cost_ms() + busy + beyond + failing + slow + silent
    }

    /// Whether looking at other regions is not worth its time: at most one
    /// usual prompt waits at the target.
    pub fn is_good_enough(&self, now: Millis, candidate: &Candidate) -> bool {
        let Some(reading) = self.reading else {
            return true;
        };
        let one_waits = reading.first_event_ms(0.0, reading.usual_prompt, 1.0);
        self.cost_ms(now, candidate) <= one_waits + BUSY_ENGINE_COST_MS
    }
}
