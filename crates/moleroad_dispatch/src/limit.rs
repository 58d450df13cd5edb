//! Keeping the limit that a target named, summed over all entries.
//!
//! One owner of each such target gives grants from a
//! [`TokenBucket`](crate::rate_bound::TokenBucket), and each send needs one. The
//! owner is the agent beside the target, or else the entry that all entries work
//! out alike ([`owner`]). While entries disagree on it two owners give grants, for
//! as long as news take; who cannot ask sends nothing.

use crate::division::rank;
use crate::rate_bound::{DEPTH_MS, GrantTerms, MS_PER_S};
use moleroad_directory::prelude::RequestRate;
use std::net::SocketAddr;

/// Requests a second that a target gets though it named fewer: only an answer tells
/// that its limit has ended.
pub const LEAST_PER_S: f64 = 0.1;

/// A limit that a target named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitedTarget {
    /// Requests that it takes from all entries.
    pub rate: RequestRate,
    /// Peer address of the daemon that gives grants for it.
    pub owner: SocketAddr,
}

/// How grants are given for a target that named `rate`.
pub fn limit_bucket_params(rate: RequestRate) -> GrantTerms {
    let per_s = rate.as_per_s().max(LEAST_PER_S);
    GrantTerms {
        per_s,
        depth: (per_s * DEPTH_MS / MS_PER_S).max(1.0),
    }
}

/// The entry that owns a target without an agent: the highest rank (rendezvous
/// hashing), so that an entry that comes or goes moves only its own targets.
pub fn owner<'a>(entries: impl Iterator<Item = &'a str>, target: &str) -> Option<&'a str> {
    entries.max_by_key(|entry| rank(entry, target))
}
