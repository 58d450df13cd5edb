//! The clocks of one process: what says how old something is, and until when it
//! holds, reads them here. Timers and limits of a single call use tokio's.

use moleroad_quarantine::prelude::UnixMillis;
use moleroad_types::prelude::Millis;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Milliseconds since shortly before the process began, never going back. The
/// time for which the machine is suspended counts, which it does not by
/// `CLOCK_MONOTONIC`: leases, deadlines and ages would otherwise be too young by
/// that, and the process would not notice that it stood still.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

/// What the clock shows when it starts, so that ages can be subtracted.
const FIRST_READING_MS: u64 = 1_000_000;

impl Default for Clock {
    fn default() -> Self {
        Self {
            started: since_boot(),
        }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Millis {
        let elapsed = since_boot().saturating_sub(self.started);
        Millis(FIRST_READING_MS + elapsed.as_millis() as u64)
    }

    /// Milliseconds since the clock was started.
    pub fn up_ms(&self) -> u64 {
        self.now().0 - FIRST_READING_MS
    }

    /// The time of day, which may be wrong by seconds and step either way.
    pub fn unix_time(&self) -> UnixMillis {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(since_1970.map_or(0, |time| time.as_millis() as u64))
    }

    /// The moment at which the clock shows `at`, for timers; now if that is over.
    /// Timers stand still while the machine is suspended: what waits by one looks
    /// at the clock again when it wakes.
    pub fn instant(&self, at: Millis) -> Instant {
        Instant::now() + Duration::from_millis(at.since(self.now()))
    }
}

/// Time since the machine started, suspended or not.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}
