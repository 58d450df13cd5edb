//! The clocks of a process. All ages and expiry times use this clock; timers
//! and timeouts of a single call use tokio's.

use moleroad_quarantine::prelude::UnixMillis;
use moleroad_types::prelude::Millis;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock in milliseconds. Unlike `CLOCK_MONOTONIC` it includes the
/// time during which the machine is suspended: otherwise leases, deadlines and
/// ages would be too short by that time, and a suspension of the process could
/// not be detected.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

/// Reading of the clock at its start, large enough that ages can be subtracted
/// from it.
const START_OFFSET_MS: u64 = 1_000_000;

impl Default for Clock {
    fn default() -> Self {
        Self {
            started: since_boot(),
        }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Millis {
        let elapsed = since_boot().saturating_sub(self.started);
        Millis(START_OFFSET_MS + elapsed.as_millis() as u64)
    }

    /// Returns the time since the clock was started, in milliseconds.
    pub fn uptime_ms(&self) -> u64 {
        self.now().0 - START_OFFSET_MS
    }

    /// Returns the Unix time in milliseconds. It may be wrong by seconds and
    /// may jump in either direction.
    pub fn unix_time(&self) -> UnixMillis {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(since_1970.map_or(0, |time| time.as_millis() as u64))
    }

    /// Returns the tokio instant at which this clock reads `at`, or now if that
    /// has passed. Timers do not advance while the machine is suspended, so a
    /// task that waits on one must check this clock again when it wakes.
    pub fn instant(&self, at: Millis) -> Instant {
        Instant::now() + Duration::from_millis(at.since(self.now()))
    }
}

/// Returns the time since the machine booted, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}
