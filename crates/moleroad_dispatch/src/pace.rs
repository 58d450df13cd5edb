//! How soon a request that waits without hope of its wanted latency gets a
//! place.
//!
//! A request that is held and then not served has cost its caller more than one
//! refused at once, so it is held only when the pace at which places came to
//! such requests lately says that it will get one.

use moleroad_types::prelude::Millis;

/// Pace that is assumed before any place was given, as the time between two
/// places in milliseconds: an engine of a dozen slots frees one about this often.
const FIRST_GAP_MS: f64 = 100.0;
/// Weight of the newest time between two places.
const NEWEST_WEIGHT: f64 = 0.3;

/// The pace at which places come to requests that wait in one line.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimator {
    gap_ms: f64,
    /// When the last place was given, or the first of those waiting began to.
    since: Millis,
}

impl Default for WaitEstimator {
    fn default() -> Self {
        Self {
            gap_ms: FIRST_GAP_MS,
            since: Millis(0),
        }
    }
}

impl WaitEstimator {
    /// Notes that a request begins to wait behind `ahead` others.
    pub fn entered(&mut self, now: Millis, ahead: usize) {
        if ahead == 0 {
            self.since = now;
        }
    }

    /// Notes that a waiting request got a place.
    pub fn granted(&mut self, now: Millis) {
        let gap_ms = now.since(self.since) as f64;
        self.gap_ms += (gap_ms - self.gap_ms) * NEWEST_WEIGHT;
        self.since = now;
    }

    /// How long a request that comes behind `ahead` others would wait, in
    /// milliseconds. While nobody gets a place, the time since the last one
    /// stands for the pace.
    pub fn expected_wait_ms(&self, now: Millis, ahead: usize) -> f64 {
        let silence_ms = if ahead == 0 {
            0.0
        } else {
            now.since(self.since) as f64
        };
        self.gap_ms.max(silence_ms) * (ahead + 1) as f64
    }
}
