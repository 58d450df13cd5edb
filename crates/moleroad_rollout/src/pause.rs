//! How long a source that refuses is left alone.

use moleroad_types::prelude::Millis;

/// First pause, in milliseconds.
const FIRST_MS: u64 = 80;
/// Longest pause, in milliseconds.
const LONGEST_MS: u64 = 1_000;

/// A pause that doubles with each refusal in a row and ends with a success.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pause {
    until: Millis,
    length_ms: u64,
}

impl Pause {
    /// Takes the end of a call; `draw` spreads the returns of many callers
    /// over a second half of the pause.
    pub fn note(&mut self, now: Millis, succeeded: bool, draw: u64) {
        if succeeded {
            *self = Self::default();
            return;
        }
        // Calls that were under way together count as one refusal.
        if self.lasts(now) {
            return;
        }
        self.length_ms = (self.length_ms * 2).clamp(FIRST_MS, LONGEST_MS);
        self.until = now + self.length_ms / 2 + draw % self.length_ms;
    }

    /// Whether the source is left alone now.
    pub fn lasts(&self, now: Millis) -> bool {
        now < self.until
    }
}
