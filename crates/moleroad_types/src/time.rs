//! Time as the deciding code sees it.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Milliseconds on a monotonic clock whose zero is arbitrary.
///
/// Deciding code is handed the time with each event and never reads a clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Milliseconds from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The same span as a [`Duration`].
    pub fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add<u64> for Millis {
    type Output = Millis;

    fn add(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_add(milliseconds))
    }
}

impl Sub<u64> for Millis {
    type Output = Millis;

    fn sub(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_sub(milliseconds))
    }
}
