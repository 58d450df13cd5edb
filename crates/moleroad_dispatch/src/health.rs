//! Health of a target, derived from the outcomes of sends to it.

use moleroad_types::prelude::Millis;

/// Outcome of a send, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The caller disconnected, or the send ended for another reason unrelated to the
    /// target.
    Abandoned,
    /// The target rejected the request without running it.
    Rejected,
    /// The target answered with a failure.
    Failed,
    /// No connection was established.
    Unreachable,
    /// The answer was cut off, corrupt or too late.
    Broken,
}

/// Weight of the newest outcome in the moving average of failures.
const NEWEST_WEIGHT: f64 = 0.25;
/// Half-life of the failure rate in the absence of new outcomes, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Minimum duration of avoiding a target, in milliseconds.
const MIN_AVOIDANCE_MS: u64 = 400;
/// Maximum duration of avoiding a target, in milliseconds.
const MAX_AVOIDANCE_MS: u64 = 3_200;
/// Number of consecutive failed answers after which a target is avoided.
const FAILURES_TO_AVOID: u32 = 2;

/// Time over which connections to a target must have failed before it counts as
/// unreachable, in milliseconds: a single lost connection proves nothing.
const UNREACHABLE_AFTER_MS: u64 = 400;
/// How long a target counts as unreachable after the last failed connection, in
/// milliseconds. After that requests try it again, so that callers are not refused for
/// much longer than it is down.
const UNREACHABLE_MS: u64 = 800;

/// Recent outcomes of sends to one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    updated_at: Millis,
    consecutive_failures: u32,
    avoided_until: Millis,
    avoidance_ms: u64,
    /// Times of the first and last failed connection since one was established.
    unreachable: Option<(Millis, Millis)>,
}

impl Health {
    /// Records the outcome of a send.
    pub fn record(&mut self, now: Millis, outcome: Outcome) {
        self.update_reachability(now, outcome);
        match outcome {
            Outcome::Abandoned => {}
            Outcome::Answered => {
                self.update_failure_rate(now, 0.0);
                self.consecutive_failures = 0;
                self.avoidance_ms = 0;
                self.avoided_until = Millis(0);
            }
            Outcome::Rejected | Outcome::Failed => self.update_failure_rate(now, 1.0),
            Outcome::Broken => {
                self.update_failure_rate(now, 1.0);
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_TO_AVOID {
                    self.start_avoidance(now);
                }
            }
            Outcome::Unreachable => {
                self.update_failure_rate(now, 1.0);
                self.consecutive_failures += 1;
                self.start_avoidance(now);
            }
        }
    }

    /// Returns whether the target gets requests only if no other can take them.
    pub fn is_avoided(&self, now: Millis) -> bool {
        now < self.avoided_until
    }

    /// Returns whether connections to the target keep failing.
    pub fn is_unreachable(&self, now: Millis) -> bool {
        self.unreachable.is_some_and(|(first, last)| {
            last.since(first) >= UNREACHABLE_AFTER_MS && now.since(last) < UNREACHABLE_MS
        })
    }

    fn update_reachability(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Abandoned => {}
            Outcome::Unreachable => {
                let first = self.unreachable.map_or(now, |(first, _)| first);
                self.unreachable = Some((first, now));
            }
            _ => self.unreachable = None,
        }
    }

    /// Returns the decayed share of recent sends that failed, 0 to 1.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        let halvings = now.since(self.updated_at) as f64 / HALF_LIFE_MS;
        self.failure_rate * 0.5_f64.powf(halvings)
    }

    fn update_failure_rate(&mut self, now: Millis, failed: f64) {
        let decayed = self.failure_rate(now);
        self.failure_rate = decayed + NEWEST_WEIGHT * (failed - decayed);
        self.updated_at = now;
    }

    fn start_avoidance(&mut self, now: Millis) {
        // Sends that failed concurrently count as one failure.
        if self.is_avoided(now) {
            return;
        }
        let doubled = self.avoidance_ms * 2;
        self.avoidance_ms = doubled.clamp(MIN_AVOIDANCE_MS, MAX_AVOIDANCE_MS);
        self.avoided_until = now + self.avoidance_ms;
    }
}
