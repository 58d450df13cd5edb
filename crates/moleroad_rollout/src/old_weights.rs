//! Cutoff for sending requests to engines with older weights.

use moleroad_types::prelude::Millis;

/// Time before the deadline of a version after which a request in a target's queue must
/// not start any more, in milliseconds: covers the delay of the version announcement
/// and the transit of the request to the target.
const START_MARGIN_MS: u64 = 150;
/// Fraction, as a divisor, of a version's deadline that must remain for a request to an
/// engine with older weights whose agent does not answer: the request may be delayed on
/// a congested link, and a delay of more than this would start it too late.
const SILENT_RESERVE_DIVISOR: u64 = 2;

/// Cutoff for requests on older weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldWeightsCutoff {
    /// Latest time at which a request may start.
    pub last_start: Millis,
    version_ms: u64,
}

impl OldWeightsCutoff {
    /// Computes the cutoff for a newer version that was announced at `announced_at` and
    /// is due `version_ms` later.
    pub fn new(announced_at: Millis, version_ms: u64) -> Self {
        Self {
            last_start: announced_at + version_ms.saturating_sub(START_MARGIN_MS),
            version_ms,
        }
    }

    /// Returns whether a request sent now will start in time even though the engine's
    /// agent does not answer: the instance's link may be saturated, so that the request
    /// is delayed there.
    pub fn may_send_to_silent(&self, now: Millis) -> bool {
        now + self.version_ms / SILENT_RESERVE_DIVISOR < self.last_start
    }
}
