//! Enforcement of the rate limit that a target advertised, over all entries together.
//!
//! Each such target has one owner, which gives grants from a
//! [`TokenBucket`](crate::rate_bound::TokenBucket); every send needs a grant. The owner
//! is the target's agent or, if it has none, the entry that all entries compute with
//! [`owner`]. While the entries' views differ, two owners may give grants, until the
//! membership update has reached all of them. An entry that cannot reach the owner
//! sends nothing.

use crate::division::rank;
use crate::rate_bound::{BURST_MS, BucketParams, MS_PER_S};
use moleroad_directory::prelude::RequestRate;
use std::net::SocketAddr;

/// Minimum number of requests per second that a target gets, even if it advertised a
/// lower limit: only an answer can show that the limit no longer applies.
pub const MIN_PER_S: f64 = 0.1;

/// A rate limit that a target advertised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitedTarget {
    /// Rate that it accepts from all entries together.
    pub rate: RequestRate,
    /// Peer address of the daemon that gives grants for it.
    pub owner: SocketAddr,
}

/// Returns the token bucket parameters for a target that advertised `rate`.
pub fn limit_bucket_params(rate: RequestRate) -> BucketParams {
    let per_s = rate.as_per_s().max(MIN_PER_S);
    BucketParams {
        per_s,
        burst: (per_s * BURST_MS / MS_PER_S).max(1.0),
    }
}

/// Returns the entry that owns a target without an agent: the one with the highest rank
/// (rendezvous hashing), so that an entry that joins or leaves moves only its own
/// targets.
pub fn owner<'a>(entries: impl Iterator<Item = &'a str>, target: &str) -> Option<&'a str> {
    entries.max_by_key(|entry| rank(entry, target))
}
