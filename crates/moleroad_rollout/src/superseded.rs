//! When to abandon the fetch of a version in favor of a newer one.

use crate::sources::TakeoverTimeouts;

/// Share of a version's pieces from which on its fetch is finished even though a newer
/// version is wanted: engines serve it meanwhile. Below it, the newer version arrives
/// sooner if this one is abandoned.
const FINISH_SHARE: f64 = 0.75;
/// Share of pieces known to have left the origin from which on the rest is fetched too,
/// so that the agents hold a whole copy if the origin fails. This knowledge lags by
/// about a quarter of a copy.
const MOSTLY_RELEASED_SHARE: f64 = 0.5;
/// Maximum time without a piece for which an older version is waited for, in
/// milliseconds: an origin that restarts is back by then, and one that has been down
/// for longer may no longer have the older version.
const MAX_WAIT_MS: u64 = 10_000;
/// Minimum time for which engines must be able to serve a version that is waited for,
/// in milliseconds: about what switching weights costs each of them.
const MIN_USE_MS: u64 = 1_000;

/// State of the fetch of a version for which newer ones may exist, as known to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupersededFetch {
    /// Number of pieces in the version.
    pub pieces: u32,
    /// Number of pieces that this agent lacks.
    pub missing: u32,
    /// Number of those that no agent is known to have.
    pub unreleased: u32,
    /// Whether the version is a fallback for a newer one that does not arrive.
    pub is_fallback: bool,
    /// Time since the last piece arrived, in milliseconds.
    pub idle_ms: u64,
    /// How long agents wait before they take over from each other.
    pub timeouts: TakeoverTimeouts,
    /// Number of newer versions that were announced.
    pub newer: usize,
    /// Whether any piece of a newer version is known to have left the origin.
    pub newer_released: bool,
    /// Time until requests may only start on newer versions, in milliseconds.
    pub usable_ms: u64,
    /// Time in which the unreleased pieces leave the origin and an engine loads the
    /// version, in milliseconds.
    pub finish_ms: u64,
}

impl SupersededFetch {
    /// Returns whether the fetch is abandoned. That of the newest version never is.
    pub fn should_abandon(&self) -> bool {
        if self.newer == 0 {
            return false;
        }
        let has_few_pieces =
            f64::from(self.pieces - self.missing) < self.fraction_of_pieces(FINISH_SHARE);
        if has_few_pieces && !self.is_fallback && !self.is_mostly_released() {
            return true;
        }
        let is_idle = self.idle_ms > self.timeouts.origin_ms * 2;
        is_idle && !self.is_worth_waiting_for()
    }

    /// Whether most pieces, but not all, have left the origin: the remaining ones are
    /// fetched before the version is abandoned, so that the agents together hold it if
    /// the origin fails.
    fn is_mostly_released(&self) -> bool {
        self.unreleased > 0
            && f64::from(self.unreleased) <= self.fraction_of_pieces(1.0 - MOSTLY_RELEASED_SHARE)
    }

    /// Whether to wait for an origin that delivers nothing: the newer version needs it
    /// for a whole copy and this one for a small part, and engines can serve this one
    /// in the meantime. An origin is only required to keep the two newest versions.
    fn is_worth_waiting_for(&self) -> bool {
        let few_unreleased =
            f64::from(self.unreleased) <= self.fraction_of_pieces(1.0 - FINISH_SHARE);
        let is_usable = self.usable_ms >= self.finish_ms + MIN_USE_MS;
        let is_recent = self.idle_ms <= MAX_WAIT_MS;
        self.newer == 1 && !self.newer_released && few_unreleased && is_usable && is_recent
    }

    fn fraction_of_pieces(&self, share: f64) -> f64 {
        f64::from(self.pieces) * share
    }
}
