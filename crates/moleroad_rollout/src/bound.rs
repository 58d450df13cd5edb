//! Until when requests may go to engines with older weights.

use moleroad_types::prelude::Millis;

/// Time before the bound of a version after which a request that waits in a
/// target's queue may not begin any more, in milliseconds: the news of the
/// version is late by its ways, and the request is on its way to the target.
const START_MARGIN_MS: u64 = 150;
/// Part of the time for a version that must be left for a request to an engine
/// with older weights whose agent does not answer: it may wait on a link that is
/// held up. A longer wait than this part begins it too late.
const SILENT_SPARE_PART: u64 = 2;

/// Until when requests may begin on older weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OldWeights {
    /// Last moment at which a request may begin.
    pub last_start: Millis,
    version_ms: u64,
}

impl OldWeights {
    /// A newer version was named at `named_at` and is due `version_ms` later.
    pub fn new(named_at: Millis, version_ms: u64) -> Self {
        Self {
            last_start: named_at + version_ms.saturating_sub(START_MARGIN_MS),
            version_ms,
        }
    }

    /// Whether a request that is sent now begins in time though the engine's
    /// agent does not answer: the link of the instance may be full, and the
    /// request would wait there.
    pub fn may_send_to_silent(&self, now: Millis) -> bool {
        now + self.version_ms / SILENT_SPARE_PART < self.last_start
    }
}
