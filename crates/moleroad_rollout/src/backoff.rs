//! Backoff from a source that fails.

use moleroad_types::prelude::Millis;

/// Initial backoff, in milliseconds.
const INITIAL_MS: u64 = 80;
/// Default maximum backoff, in milliseconds.
const DEFAULT_MAX_MS: u64 = 1_000;

/// Exponential backoff that doubles with each consecutive failure and ends with a
/// success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    until: Millis,
    length_ms: u64,
    max_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::with_max(DEFAULT_MAX_MS)
    }
}

impl Backoff {
    /// Creates a backoff of at most about `max_ms`.
    pub fn with_max(max_ms: u64) -> Self {
        Self {
            until: Millis(0),
            length_ms: 0,
            max_ms,
        }
    }

    /// Records the result of a call; `random` spreads the retries of many callers over
    /// a further interval of the backoff's length.
    pub fn record_result(&mut self, now: Millis, succeeded: bool, random: u64) {
        if succeeded {
            self.reset();
            return;
        }
        // Concurrent calls that failed count as one failure.
        if self.is_active(now) {
            return;
        }
        self.length_ms = (self.length_ms * 2).clamp(INITIAL_MS, self.max_ms);
        self.until = now + self.length_ms / 2 + random % self.length_ms;
    }

    /// Ends the backoff, as the source is known to respond again.
    pub fn reset(&mut self) {
        *self = Self::with_max(self.max_ms);
    }

    /// Returns whether the source is left alone now.
    pub fn is_active(&self, now: Millis) -> bool {
        now < self.until
    }
}
