//! How long a source that refuses is left alone.

use moleroad_types::prelude::Millis;

/// First pause, in milliseconds.
const FIRST_MS: u64 = 80;
/// Longest pause, in milliseconds, where nothing else is said.
const LONGEST_MS: u64 = 1_000;

/// A pause that doubles with each refusal in a row and ends with a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    until: Millis,
    length_ms: u64,
    longest_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::with_max(LONGEST_MS)
    }
}

impl Backoff {
    /// Pauses of about `longest_ms` at the most.
    pub fn with_max(longest_ms: u64) -> Self {
        Self {
            until: Millis(0),
            length_ms: 0,
            longest_ms,
        }
    }

    /// Takes the end of a call; `draw` spreads the returns of many callers
    /// over a second half of the pause.
    pub fn note(&mut self, now: Millis, succeeded: bool, draw: u64) {
        if succeeded {
            self.end();
            return;
        }
        // Calls that were under way together count as one refusal.
        if self.is_active(now) {
            return;
        }
        self.length_ms = (self.length_ms * 2).clamp(FIRST_MS, self.longest_ms);
        self.until = now + self.length_ms / 2 + draw % self.length_ms;
    }

    /// Ends the pause: the source is known to give again.
    pub fn end(&mut self) {
        *self = Self::with_max(self.longest_ms);
    }

    /// Whether the source is left alone now.
    pub fn is_active(&self, now: Millis) -> bool {
        now < self.until
    }
}
