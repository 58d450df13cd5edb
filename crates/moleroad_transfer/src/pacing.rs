//! Keeps the rate of a link.

use std::time::Duration;

/// A token bucket in the form of the time until which the link is taken.
///
/// Reservations are granted at once and tell how long to wait before using
/// them, so that several threads can share one pacer behind a lock.
#[derive(Clone, Debug)]
pub struct Pacer {
    bytes_per_second: u64,
    burst: Duration,
    busy_until: Duration,
}

impl Pacer {
    /// A link of `bytes_per_second` that lets `burst_bytes` pass unpaced.
    ///
    /// # Panics
    /// When the rate is zero.
    pub fn new(bytes_per_second: u64, burst_bytes: u64) -> Self {
        assert!(bytes_per_second > 0, "a link needs a rate above zero");
        let burst = span(burst_bytes, bytes_per_second);
        Self {
            bytes_per_second,
            burst,
            busy_until: Duration::ZERO,
        }
    }

    /// Reserves the link for `bytes` and returns how long to wait first.
    pub fn reserve(&mut self, now: Duration, bytes: u64) -> Duration {
        self.preempt(now, bytes);
        self.busy_until.saturating_sub(now + self.burst)
    }

    /// Takes the link for `bytes` that go before everything paced: they never
    /// wait, and what is reserved later waits longer.
    pub fn preempt(&mut self, now: Duration, bytes: u64) {
        self.busy_until = self.busy_until.max(now) + span(bytes, self.bytes_per_second);
    }

    /// The rate, in bytes a second.
    pub fn bytes_per_second(&self) -> u64 {
        self.bytes_per_second
    }
}

/// Time that `bytes` take at `bytes_per_second`.
fn span(bytes: u64, bytes_per_second: u64) -> Duration {
    Duration::from_nanos((u128::from(bytes) * 1_000_000_000 / u128::from(bytes_per_second)) as u64)
}
