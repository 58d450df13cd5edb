//! The instance's link, paced each way.

use crate::clock::MonotonicClock;
use moleroad_transfer::prelude::Pacer;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Bytes that pass unpaced after an idle spell.
const BURST_BYTES: u64 = 64 * 1024;
/// Bytes sent or read between two looks at the pacer.
pub(crate) const PIECE_BYTES: usize = 16 * 1024;

/// Both directions of the link.
pub(crate) struct Links {
    clock: MonotonicClock,
    up: Mutex<Pacer>,
    down: Mutex<Pacer>,
}

impl Links {
    pub(crate) fn new(clock: MonotonicClock, bytes_per_second: u64) -> Self {
        let pacer = || {
            Mutex::new(Pacer::new(
                bytes_per_second,
                BURST_BYTES.min(bytes_per_second / 8),
            ))
        };
        Self {
            clock,
            up: pacer(),
            down: pacer(),
        }
    }

    /// Waits until `bytes` of weights may be sent.
    pub(crate) fn send_weights(&self, bytes: usize) {
        sleep(lock(&self.up).reserve(self.clock.elapsed(), bytes as u64));
    }

    /// Waits until `bytes` of weights may have been received.
    pub(crate) fn receive_weights(&self, bytes: usize) {
        sleep(lock(&self.down).reserve(self.clock.elapsed(), bytes as u64));
    }

    /// Counts bytes of a request, which go before weights.
    pub(crate) fn note_request(&self, received: usize, sent: usize) {
        let now = self.clock.elapsed();
        lock(&self.down).preempt(now, received as u64);
        lock(&self.up).preempt(now, sent as u64);
    }
}

fn lock(pacer: &Mutex<Pacer>) -> MutexGuard<'_, Pacer> {
    pacer
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn sleep(wait: Duration) {
    if !wait.is_zero() {
        thread::sleep(wait);
    }
}
