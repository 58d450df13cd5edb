//! Recently completed requests: if a target terminates while running another copy of
//! one of them, that is no evidence against the request.

use crate::fingerprint::RequestFingerprint;
use moleroad_types::prelude::Millis;
use std::collections::{HashMap, VecDeque};

/// How long a completion counts in favor of a request, in milliseconds: targets that
/// fail together do so within seconds.
const SUCCESS_TTL_MS: u64 = 60_000;
/// Maximum number of requests remembered, about 0.2 MB (calculated). An entry that
/// handles its part of 1,600 requests per second over 350 entries completes 275 in a
/// minute.
const MAX_KEPT: usize = 2_048;

/// Recently completed requests.
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    last: HashMap<RequestFingerprint, Millis>,
    /// In order of completion; a request that completed again appears more than once.
    order: VecDeque<(Millis, RequestFingerprint)>,
}

impl RecentSuccesses {
    /// Records that a request completed.
    pub fn note(&mut self, now: Millis, request: RequestFingerprint) {
        self.last.insert(request, now);
        self.order.push_back((now, request));
        while let Some((at, oldest)) = self.order.front().copied()
            && (self.order.len() > MAX_KEPT || now.since(at) >= SUCCESS_TTL_MS)
        {
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Returns whether a request recently completed.
    pub fn has_succeeded(&self, now: Millis, request: &RequestFingerprint) -> bool {
        let last = self.last.get(request);
        last.is_some_and(|at| now.since(*at) < SUCCESS_TTL_MS)
    }
}
