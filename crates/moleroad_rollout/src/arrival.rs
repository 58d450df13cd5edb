//! When weights that are on their way will be served.
//!
//! While no engine can take a request, an entry reads from the maps of pieces
//! how far the agent that is furthest has come. A request whose caller waits
//! that long is held; another is told when to come back.

use moleroad_types::prelude::Millis;

/// Time without a new piece after which it is unknown when the weights come, in
/// milliseconds: maps reach entries about 0.4 s after a piece.
const STANDSTILL_MS: u64 = 900;
/// Time for an engine to take weights and for entries to learn of it, in
/// milliseconds.
const TAKE_OVER_MS: u64 = 600;
/// How much longer a copy takes than the bare rate of the origin's link.
const COPY_SLOWNESS: f64 = 1.2;

/// How the agent that is furthest comes on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrival {
    held: u32,
    pieces: u32,
    moved_at: Millis,
}

impl Arrival {
    /// Takes the most pieces that an agent holds of a version that may be
    /// served, of `pieces` in all.
    pub fn note(&mut self, now: Millis, held: u32, pieces: u32) {
        if held != self.held || pieces != self.pieces {
            *self = Self {
                held,
                pieces,
                moved_at: now,
            };
        }
    }

    /// Time until an engine serves, in milliseconds, when a piece takes
    /// `piece_ms`; `None` while nothing comes.
    pub fn expected_ms(&self, now: Millis, piece_ms: f64) -> Option<u64> {
        let stands_still = now.since(self.moved_at) > STANDSTILL_MS;
        if stands_still || self.pieces == 0 {
            return None;
        }
        let missing = f64::from(self.pieces.saturating_sub(self.held));
        Some((missing * piece_ms * COPY_SLOWNESS) as u64 + TAKE_OVER_MS)
    }
}
