//! Static division of a target's rate bound among entries, for targets without an agent
//! that could give grants: a few owner entries send to it, each at most its quota in
//! any second.
//!
//! Every entry computes the same owners from the set of ready entries (rendezvous
//! hashing: Thaler, Ravishankar, 1998). If the entries' views differ, there are two
//! sets of owners. Both together stay below the bound, since one set uses at most half
//! of it. Views that differ in `n` entries add at most `n` entries to the first set, so
//! the bound holds as long as the views differ in no more entries than a set has
//! members.

use crate::rate_bound::{GRANT_TTL_MS, MAX_DELAY_MS, RateBound};
use moleroad_types::prelude::Millis;
use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Requests that one owner sends in any [`QUOTA_WINDOW_MS`]. The minimum allows the
/// largest number of owners, so the bound holds even if views differ in more entries.
const REQUESTS_PER_OWNER: u32 = 1;
/// Number of owner sets that may send at the same time while views differ.
const CONCURRENT_OWNER_SETS: u32 = 2;
/// How long a send that was counted against the quota may still start, in milliseconds:
/// enough for a new connection to the target, as for a grant.
pub const QUOTA_SEND_TTL_MS: u64 = GRANT_TTL_MS;
/// Window in which an entry sends at most its quota, in milliseconds. A request that
/// arrives within a given second was sent in it or up to [`MAX_DELAY_MS`] before it,
/// and counted up to [`QUOTA_SEND_TTL_MS`] before it was sent. Two sends counted a
/// window apart thus arrive at least one second apart.
pub const QUOTA_WINDOW_MS: u64 = 1_000 + QUOTA_SEND_TTL_MS + MAX_DELAY_MS;

/// Number of send times kept per target: more than any quota, so that none is dropped
/// within [`QUOTA_WINDOW_MS`].
const MAX_SEND_TIMES: usize = 16;

/// How a rate bound is divided among entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Number of entries that send.
    pub owners: u32,
    /// Requests that each of them may send in any [`QUOTA_WINDOW_MS`].
    pub quota: u32,
}

impl Division {
    /// Returns the division of `bound`. It has no owners if the bound is below two
    /// requests per second.
    pub fn of(bound: RateBound) -> Self {
        let per_set = bound.whole_requests() as u32 / CONCURRENT_OWNER_SETS;
        let rate = bound.requests_per_s.max(0.0).ceil() as u32;
        let quota = REQUESTS_PER_OWNER.min(per_set).max(1);
        Self {
            owners: (per_set / quota).min(rate.div_ceil(quota)),
            quota,
        }
    }

    /// Returns the quota of the entry `own` at `target`: 0 unless it is one of the
    /// owners.
    pub fn quota_of(self, own: &str, entries: &[&str], target: &str) -> u32 {
        let own_rank = rank(own, target);
        let before = |entry: &&&str| **entry != own && rank(entry, target) > own_rank;
        let is_owner = (entries.iter().filter(before).count() as u32) < self.owners;
        if is_owner { self.quota } else { 0 }
    }
}

/// Rank of an entry at a target; every entry computes the same value.
pub(crate) fn rank<'a>(entry: &'a str, target: &str) -> (u64, &'a str) {
    let mut hasher = DefaultHasher::new();
    (entry, target).hash(&mut hasher);
    (hasher.finish(), entry)
}

/// Times of the last sends of this entry to one target.
#[derive(Clone, Debug, Default)]
pub struct SendTimes(VecDeque<Millis>);

impl SendTimes {
    /// Returns whether another send is within `quota`.
    pub fn has_room(&self, now: Millis, quota: u32) -> bool {
        let recent = self.0.iter().filter(|at| now.since(**at) < QUOTA_WINDOW_MS);
        (recent.count() as u32) < quota
    }

    /// Returns whether any send still counts.
    pub(crate) fn is_recent(&self, now: Millis) -> bool {
        !self.has_room(now, 1)
    }

    /// Records a send.
    pub fn record(&mut self, now: Millis) {
        if self.0.len() >= MAX_SEND_TIMES {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }
}

/// Returns from when on an entry that started at `started` and discovered a target at
/// `discovered` may use its quota there. It waits one window, since a previous run of
/// the entry may just have used the quota.
pub fn quota_usable_from(started: Millis, discovered: Millis) -> Millis {
    started.max(discovered) + QUOTA_WINDOW_MS
}
