//! How long a source that refuses is left alone.

use moleroad_types::prelude::Millis;

/// First pause, in milliseconds.
const FIRST_MS: u64 = 80;
/// Longest pause, in milliseconds, where nothing else is said.
const LONGEST_MS: u64 = 1_000;

/// A pause that doubles with each refusal in a row and ends with a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    until: Millis,
    length_ms: u64,
    longest_ms: u64,
}

impl Default for Pause {
    fn default() -> Self {
        Self::of_at_most(LONGEST_MS)
    }
}

impl Pause {
    /// Pauses of about `longest_ms` at the most.
    pub fn of_at_most(longest_ms: u64) -> Self {
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
        if self.lasts(now) {
            return;
        }
        self.length_ms = (self.length_ms * 2).clamp(FIRST_MS, self.longest_ms);
        self.until = now + self.length_ms / 2 + draw % self.length_ms;
    }

    /// Ends the pause: the source is known to give again.
    pub fn end(&mut self) {
        *self = Self::of_at_most(self.longest_ms);
    }

    /// Whether the source is left alone now.
    pub fn lasts(&self, now: Millis) -> bool {
        now < self.until
    }
}
