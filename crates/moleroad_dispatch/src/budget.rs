//! This entry's share of the retries that all entries together may send to a service.

use moleroad_types::prelude::Millis;
use std::collections::VecDeque;

/// Fraction of its share that an entry uses: the rest covers retries that are counted
/// elsewhere and that this entry cannot see.
const USED_FRACTION: f64 = 0.5;
/// Length of a counting bucket, in milliseconds.
const BUCKET_MS: u64 = 500;

/// Limits that hold over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetParams {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition to that.
    pub slack: f64,
    /// Length of the sliding window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u64,
    retries: u64,
}

/// Counts requests and retries of one service in a sliding window.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    params: RetryBudgetParams,
    buckets: VecDeque<Bucket>,
}

impl SharedRetryBudget {
    /// Creates a budget with these limits.
    pub fn new(params: RetryBudgetParams) -> Self {
        Self {
            params,
            buckets: VecDeque::new(),
        }
    }

    /// Counts the first send of a request.
    pub fn note_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Reserves a retry, with the limit shared by `entries` entries. Returns false if
    /// that would exceed this entry's share.
    pub fn try_take(&mut self, now: Millis, entries: usize) -> bool {
        if !self.has_room(now, entries) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns whether a retry would be within this entry's share.
    pub fn has_room(&mut self, now: Millis, entries: usize) -> bool {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack_share = self.params.slack / entries.max(1) as f64;
        let allowed = USED_FRACTION * (self.params.ratio * requests as f64 + slack_share);
        retries as f64 + 1.0 <= allowed
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let index = now.0 / BUCKET_MS;
        let window_buckets = self.params.window_ms / BUCKET_MS;
        while let Some(first) = self.buckets.front()
            && first.index + window_buckets < index
        {
            self.buckets.pop_front();
        }
        let is_last = self.buckets.back().is_some_and(|b| b.index >= index);
        if !is_last {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
