//! Issuing grants for targets with a named limit that this daemon owns: the engine of
//! an agent, or plain targets assigned to an entry.

use crate::node::Node;
use crate::peer::{GrantAnswer, LimitGrantRequest};
use moleroad_directory::prelude::{RequestRate, TargetId};
use moleroad_dispatch::prelude::{TokenBucket, limit_bucket_params};
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

/// Token buckets of the targets that grants were recently requested for.
#[derive(Debug, Default)]
pub struct LimitGrants(Mutex<HashMap<TargetId, TokenBucket>>);

impl LimitGrants {
    /// Takes one grant for a target that named `rate`, if one is available.
    pub fn take(&self, now: Millis, target: &TargetId, rate: RequestRate) -> bool {
        let params = limit_bucket_params(rate);
        let mut buckets = self.lock();
        // A bucket that is full again is equal to a new one.
        buckets.retain(|known, bucket| known == target || !bucket.is_full(now));
        let full = TokenBucket::full(now, params);
        let bucket = buckets.entry(target.clone()).or_insert(full);
        bucket.set_params(now, params);
        bucket.take(now)
    }

    /// Returns the number of grants available for the target with the fewest; `None`
    /// before any was requested.
    pub fn min_available(&self, now: Millis) -> Option<u32> {
        let mut buckets = self.lock();
        buckets
            .values_mut()
            .map(|bucket| bucket.available(now))
            .min()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, TokenBucket>> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Answers an entry that wants to send one request, and counts the answer.
pub fn grant(node: &Node, request: &LimitGrantRequest) -> GrantAnswer {
    let now = node.clock.now();
    let is_given = node.limit_grants.take(now, &request.target, request.rate);
    node.metrics.count("limit_grant_asked");
    if is_given {
        node.metrics.count("limit_grant_given");
    }
    GrantAnswer { is_given }
}
