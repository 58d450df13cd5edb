//! Expected time until weights that are being fetched can be served.
//!
//! While no engine can take a request, an entry reads the progress of the most advanced
//! agent from the piece maps. A request whose caller waits long enough is queued; for
//! another, the estimate gives the time of a retry.

use moleroad_types::prelude::Millis;

/// Time without a new piece after which the arrival can no longer be estimated, in
/// milliseconds: piece maps reach entries about 0.4 s after a piece.
const STALLED_AFTER_MS: u64 = 900;
/// Time for an engine to load the weights and for entries to learn of it, in
/// milliseconds.
const ACTIVATION_MS: u64 = 600;
/// How much longer a copy takes than at the full rate of the origin's link.
const COPY_OVERHEAD: f64 = 1.2;

/// Progress of the most advanced agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalEstimate {
    held: u32,
    pieces: u32,
    last_progress: Millis,
}

impl ArrivalEstimate {
    /// Records the maximum number of pieces that an agent holds of a version that may
    /// be served, out of `pieces`.
    pub fn note(&mut self, now: Millis, held: u32, pieces: u32) {
        if held != self.held || pieces != self.pieces {
            *self = Self {
                held,
                pieces,
                last_progress: now,
            };
        }
    }

    /// Returns the expected time until an engine serves the weights, in milliseconds,
    /// if a piece takes `piece_ms`; `None` if there is no progress.
    pub fn expected_ms(&self, now: Millis, piece_ms: f64) -> Option<u64> {
        let is_stalled = now.since(self.last_progress) > STALLED_AFTER_MS;
        if is_stalled || self.pieces == 0 {
            return None;
        }
        let missing = f64::from(self.pieces.saturating_sub(self.held));
        Some((missing * piece_ms * COPY_OVERHEAD) as u64 + ACTIVATION_MS)
    }
}
