//! This entry's share of the repeats that all entries may send to a service.

use moleroad_types::prelude::Millis;
use std::collections::VecDeque;

/// Share of its part that an entry uses: what others count and it cannot see
/// must fit beside it.
const USED_SHARE: f64 = 0.5;
/// Length of one count, in milliseconds.
const BUCKET_MS: u64 = 500;

/// The bound that holds over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetParams {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that.
    pub slack: f64,
    /// Length of the window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// Counts requests and repeats of one service in a sliding window.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    terms: RetryBudgetParams,
    buckets: VecDeque<Bucket>,
}

impl SharedRetryBudget {
    /// A budget under `terms`.
    pub fn new(terms: RetryBudgetParams) -> Self {
        Self {
            terms,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a first send.
    pub fn note_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Takes a repeat, with `entries` sharing the bound; false when it would
    /// go beyond this entry's part.
    pub fn take(&mut self, now: Millis, entries: usize) -> bool {
        if !self.has_room(now, entries) {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Whether a repeat would be within this entry's part.
    pub fn has_room(&mut self, now: Millis, entries: usize) -> bool {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u64 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let part = self.terms.slack / entries.max(1) as f64;
        let allowed = USED_SHARE * (self.terms.ratio * requests as f64 + part);
        repeats as f64 + 1.0 <= allowed
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let number = now.0 / BUCKET_MS;
        let kept = self.terms.window_ms / BUCKET_MS;
        while let Some(first) = self.buckets.front()
            && first.number + kept < number
        {
            self.buckets.pop_front();
        }
        let is_last = self.buckets.back().is_some_and(|b| b.number >= number);
        if !is_last {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
