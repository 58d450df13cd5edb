//! When a version that is being fetched is given up for a newer one.

use crate::sources::TakeoverTimeouts;

/// A version of which this share is here is finished though a newer one is
/// wanted: engines serve it meanwhile. Below it the newer one is here sooner
/// when this one is given up.
const FINISHED_FROM_SHARE: f64 = 0.75;
/// Share of the pieces known to have left the origin from which on the rest is
/// fetched too, so that agents hold a whole copy if the origin fails: what is known
/// lags by about a quarter of a copy.
const MOSTLY_OUT_SHARE: f64 = 0.5;
/// Longest time without a piece for which an older version is waited for, in
/// milliseconds: an origin that is restarted is back by then, and one that gives
/// nothing for longer may no longer have the older version.
const LONGEST_WAIT_MS: u64 = 10_000;
/// Time for which engines must be able to serve a version that is waited for, in
/// milliseconds: a change of weights costs each of them about as much.
const LEAST_USE_MS: u64 = 1_000;

/// What an agent knows of a version that it fetches and of newer ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupersededFetch {
    /// Pieces that make up the version.
    pub pieces: u32,
    /// Pieces that are not here.
    pub missing: u32,
    /// Pieces of these that no agent is known to have.
    pub unreleased: u32,
    /// Whether the version stands in for a newer one that does not come.
    pub is_fallback: bool,
    /// Time since a piece last came, in milliseconds.
    pub idle_ms: u64,
    /// How long agents keep to the division of work.
    pub patience: TakeoverTimeouts,
    /// Newer versions that were named.
    pub newer: usize,
    /// Whether something of a newer version is known to have left the origin.
    pub newer_released: bool,
    /// Time until requests may begin on newer versions only, in milliseconds.
    pub usable_ms: u64,
    /// Time in which the pieces that are not out leave the origin and an engine
    /// takes the version, in milliseconds.
    pub finish_ms: u64,
}

impl SupersededFetch {
    /// Whether the version is given up. The newest one never is.
    pub fn should_abandon(&self) -> bool {
        if self.newer == 0 {
            return false;
        }
        let is_little = f64::from(self.pieces - self.missing) < self.part(FINISHED_FROM_SHARE);
        if is_little && !self.is_fallback && !self.is_mostly_out() {
            return true;
        }
        let is_idle = self.idle_ms > self.patience.origin_ms * 2;
        is_idle && !self.is_worth_waiting_for()
    }

    /// Whether most pieces have left the origin and a few have not: these are
    /// drawn before the version is given up, so that agents have it between them
    /// should the origin fail.
    fn is_mostly_out(&self) -> bool {
        self.unreleased > 0 && f64::from(self.unreleased) <= self.part(1.0 - MOSTLY_OUT_SHARE)
    }

    /// Whether to wait for an origin that gives nothing: the newer version needs
    /// it for a whole copy and this one for a small part, and engines can serve
    /// this one in between. An origin need have no more than the two newest
    /// versions.
    fn is_worth_waiting_for(&self) -> bool {
        let is_small = f64::from(self.unreleased) <= self.part(1.0 - FINISHED_FROM_SHARE);
        let is_usable = self.usable_ms >= self.finish_ms + LEAST_USE_MS;
        let is_recent = self.idle_ms <= LONGEST_WAIT_MS;
        self.newer == 1 && !self.newer_released && is_small && is_usable && is_recent
    }

    fn part(&self, share: f64) -> f64 {
        f64::from(self.pieces) * share
    }
}
