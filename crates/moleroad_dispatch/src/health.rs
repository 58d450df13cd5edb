//! What a target's answers say about it.

use moleroad_types::prelude::Millis;

/// How a send ended, as far as it tells about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Answered,
    /// The caller left, or another reason that is not the target's.
    Abandoned,
    /// Turned away without running.
    TurnedAway,
    /// Answered that it failed.
    Failed,
    /// The connection did not come up.
    Unreachable,
    /// The answer broke off, was spoilt or did not come in time.
    Broken,
}

/// Weight of the newest outcome in the rate of failures.
const NEWEST_WEIGHT: f64 = 0.25;
/// Time in which the rate of failures halves without news, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Shortest time for which a target is avoided, in milliseconds.
const AVOID_FIRST_MS: u64 = 400;
/// Longest time for which a target is avoided, in milliseconds.
const AVOID_LONGEST_MS: u64 = 3_200;
/// Broken answers in a row after which a target is avoided.
const BROKEN_IN_A_ROW: u32 = 2;

/// A target counts as unreachable once connections to it failed over this time,
/// in milliseconds: one that was lost on the way says nothing yet.
const UNREACHABLE_AFTER_MS: u64 = 400;
/// Time after the last failed connection for which a target counts as unreachable,
/// in milliseconds: then requests try again, so that callers are not refused for
/// longer once it is back.
const UNREACHABLE_MS: u64 = 800;

/// The recent past of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    rated_at: Millis,
    in_a_row: u32,
    avoid_until: Millis,
    avoided_ms: u64,
    /// The first and the last connection that failed since one came up.
    unreachable: Option<(Millis, Millis)>,
}

impl Health {
    /// Takes the end of a send.
    pub fn note(&mut self, now: Millis, outcome: Outcome) {
        self.note_reach(now, outcome);
        match outcome {
            Outcome::Abandoned => {}
            Outcome::Answered => {
                self.rate(now, 0.0);
                self.in_a_row = 0;
                self.avoided_ms = 0;
                self.avoid_until = Millis(0);
            }
            Outcome::TurnedAway | Outcome::Failed => self.rate(now, 1.0),
            Outcome::Broken => {
                self.rate(now, 1.0);
                self.in_a_row += 1;
                if self.in_a_row >= BROKEN_IN_A_ROW {
                    self.avoid(now);
                }
            }
            Outcome::Unreachable => {
                self.rate(now, 1.0);
                self.in_a_row += 1;
                self.avoid(now);
            }
        }
    }

    /// Whether the target gets requests only when no other can take them.
    pub fn is_avoided(&self, now: Millis) -> bool {
        now < self.avoid_until
    }

    /// Whether no connection to the target comes up.
    pub fn is_unreachable(&self, now: Millis) -> bool {
        self.unreachable.is_some_and(|(first, last)| {
            last.since(first) >= UNREACHABLE_AFTER_MS && now.since(last) < UNREACHABLE_MS
        })
    }

    fn note_reach(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Abandoned => {}
            Outcome::Unreachable => {
                let first = self.unreachable.map_or(now, |(first, _)| first);
                self.unreachable = Some((first, now));
            }
            _ => self.unreachable = None,
        }
    }

    /// Share of recent sends that failed, 0 to 1.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        let halvings = now.since(self.rated_at) as f64 / HALF_LIFE_MS;
        self.failure_rate * 0.5_f64.powf(halvings)
    }

    fn rate(&mut self, now: Millis, failed: f64) {
        let faded = self.failure_rate(now);
        self.failure_rate = faded + NEWEST_WEIGHT * (failed - faded);
        self.rated_at = now;
    }

    fn avoid(&mut self, now: Millis) {
        // Sends that were under way together count as one sign.
        if self.is_avoided(now) {
            return;
        }
        let doubled = self.avoided_ms * 2;
        self.avoided_ms = doubled.clamp(AVOID_FIRST_MS, AVOID_LONGEST_MS);
        self.avoid_until = now + self.avoided_ms;
    }
}
