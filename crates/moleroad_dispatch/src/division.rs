//! Keeping a bound on a target that nobody owns: a few entries send to it, each
//! at most its whole part in any second.
//!
//! Which entries these are all work out alike from who is ready (rendezvous
//! hashing: Thaler, Ravishankar, 1998). When views differ there are two sets of
//! them. Both together stay below the bound, since one takes at most half of
//! it. Views that differ in `n` entries add at most `n` entries to the first
//! set, so the bound holds as long as no more differ than a set has members.

use crate::rate_bound::{DELAY_MS, GRANT_TTL_MS, RateBound};
use moleroad_types::prelude::Millis;
use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Requests in any [`SPAN_MS`] that one owner sends: with the least, the most
/// entries may send, so the bound holds though more views differ.
const REQUESTS_PER_OWNER: u32 = 1;
/// Sets of entries that may send at the same time while views differ.
const SETS_OF_OWNERS: u32 = 2;
/// How long a send that was counted toward a part may still begin, in
/// milliseconds: a new connection to the target, as for a grant.
pub const PART_LIFE_MS: u64 = GRANT_TTL_MS;
/// Time in which an entry counts its part at most, in milliseconds: what arrives
/// in a second was sent in that second or at most [`DELAY_MS`] on the way before
/// it, and counted at most [`PART_LIFE_MS`] before it was sent. Two sends that
/// are counted a span apart so arrive at least a second apart.
pub const SPAN_MS: u64 = 1_000 + PART_LIFE_MS + DELAY_MS;

/// Sends remembered for one target: more than any part, so that none is forgotten
/// within [`SPAN_MS`].
const MOST_TIMES: usize = 16;

/// How the requests of a second are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Entries that send.
    pub owners: u32,
    /// Requests in any [`SPAN_MS`] of each.
    pub part: u32,
}

impl Division {
    /// The division under `bound`; without owners when it is below two
    /// requests a second.
    pub fn of(bound: RateBound) -> Self {
        let whole = bound.whole() as u32 / SETS_OF_OWNERS;
        let rate = bound.requests_per_s.max(0.0).ceil() as u32;
        let part = REQUESTS_PER_OWNER.min(whole).max(1);
        Self {
            owners: (whole / part).min(rate.div_ceil(part)),
            part,
        }
    }

    /// The part of `own` at `target`: 0 unless it is one of the owners.
    pub fn part_of(self, own: &str, entries: &[&str], target: &str) -> u32 {
        let own_rank = rank(own, target);
        let before = |entry: &&&str| **entry != own && rank(entry, target) > own_rank;
        let is_owner = (entries.iter().filter(before).count() as u32) < self.owners;
        if is_owner { self.part } else { 0 }
    }
}

/// Rank of an entry at a target, alike wherever it is worked out.
pub(crate) fn rank<'a>(entry: &'a str, target: &str) -> (u64, &'a str) {
    let mut hasher = DefaultHasher::new();
    (entry, target).hash(&mut hasher);
    (hasher.finish(), entry)
}

/// The last sends of one entry to one target.
#[derive(Clone, Debug, Default)]
pub struct SendTimes(VecDeque<Millis>);

impl SendTimes {
    /// Whether another send keeps to `part` in any second.
    pub fn has_room(&self, now: Millis, part: u32) -> bool {
        let recent = self.0.iter().filter(|at| now.since(**at) < SPAN_MS);
        (recent.count() as u32) < part
    }

    /// Whether any send still counts.
    pub(crate) fn is_recent(&self, now: Millis) -> bool {
        !self.has_room(now, 1)
    }

    /// Notes a send.
    pub fn note(&mut self, now: Millis) {
        if self.0.len() >= MOST_TIMES {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }
}

/// When an entry that began at `began`, and heard of a target at `heard`, may
/// send it its part: an earlier run of the entry may just have done so.
pub fn quota_usable_from(began: Millis, heard: Millis) -> Millis {
    began.max(heard) + SPAN_MS
}
