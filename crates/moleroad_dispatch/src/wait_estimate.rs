//! Estimated wait of an overdue request for a slot.
//!
//! A request that is queued and then not served costs its caller more than one that is
//! refused immediately. It is therefore queued only if the rate at which overdue
//! requests recently got slots suggests that it will get one.

use moleroad_types::prelude::Millis;

/// Interval between two slots assumed before any was granted, in milliseconds: about
/// how often an engine with a dozen slots frees one.
const INITIAL_INTERVAL_MS: f64 = 100.0;
/// Weight of the newest interval in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;

/// Moving average of the interval at which waiting requests of one class get slots.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimator {
    interval_ms: f64,
    /// When the last slot was granted, or the first of the current waiters began to
    /// wait.
    interval_start: Millis,
}

impl Default for WaitEstimator {
    fn default() -> Self {
        Self {
            interval_ms: INITIAL_INTERVAL_MS,
            interval_start: Millis(0),
        }
    }
}

impl WaitEstimator {
    /// Records that a request begins to wait behind `ahead` others.
    pub fn record_enqueued(&mut self, now: Millis, ahead: usize) {
        if ahead == 0 {
            self.interval_start = now;
        }
    }

    /// Records that a waiting request got a slot.
    pub fn record_granted(&mut self, now: Millis) {
        let interval_ms = now.since(self.interval_start) as f64;
        self.interval_ms += (interval_ms - self.interval_ms) * NEWEST_WEIGHT;
        self.interval_start = now;
    }

    /// Returns the expected wait of a request behind `ahead` others, in milliseconds.
    /// If no slot was granted for longer than the average interval, the time since the
    /// last one is used instead.
    pub fn expected_wait_ms(&self, now: Millis, ahead: usize) -> f64 {
        let elapsed_ms = if ahead == 0 {
            0.0
        } else {
            now.since(self.interval_start) as f64
        };
        self.interval_ms.max(elapsed_ms) * (ahead + 1) as f64
    }
}
