//! What recently completed: if a target terminates while running the same content or the
//! same part of a prompt, that is no evidence against it.

use crate::fingerprint::Fingerprint;
use moleroad_types::prelude::Millis;
use std::collections::{HashMap, VecDeque};

/// How long a completion counts in favor of a request, in milliseconds: targets that
/// fail together do so within seconds.
const SUCCESS_TTL_MS: u64 = 60_000;
/// A completion that follows another of the same within this time is not stored, in
/// milliseconds, so that a part of many prompts takes few places.
const SUCCESS_REFRESH_MS: u64 = 1_000;
/// Maximum number of completions remembered, about 0.2 MB (calculated). An entry that
/// handles its part of 1,600 requests per second over 350 entries completes 275 in a
/// minute.
const MAX_KEPT: usize = 2_048;

/// Recent completions.
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    last: HashMap<Fingerprint, Millis>,
    /// In order of completion; what completed again appears more than once.
    order: VecDeque<(Millis, Fingerprint)>,
}

impl RecentSuccesses {
    /// Records a completion.
    pub fn note(&mut self, now: Millis, completed: Fingerprint) {
        let last = self.last.get(&completed);
        if last.is_some_and(|at| now.since(*at) < SUCCESS_REFRESH_MS) {
            return;
        }
        self.last.insert(completed, now);
        self.order.push_back((now, completed));
        while let Some((at, oldest)) = self.order.front().copied()
            && (self.order.len() > MAX_KEPT || now.since(at) >= SUCCESS_TTL_MS)
        {
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Returns whether this recently completed.
    pub fn has_succeeded(&self, now: Millis, completed: &Fingerprint) -> bool {
        let last = self.last.get(completed);
        last.is_some_and(|at| now.since(*at) < SUCCESS_TTL_MS)
    }
}
