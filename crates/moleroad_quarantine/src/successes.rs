//! Requests that lately ran to a good end, so that an end of a target under
//! another copy of one of them is no sign against it.

use crate::fingerprint::RequestFingerprint;
use moleroad_types::prelude::Millis;
use std::collections::{HashMap, VecDeque};

/// How long a good end speaks for a request, in milliseconds: targets that fail
/// together do so within seconds.
const SPEAKS_MS: u64 = 60_000;
/// Most requests that are kept, some 0.2 MB (worked out): an entry at its part of 1,600 requests a
/// second over 350 entries answers 275 in that time.
const MOST_KEPT: usize = 2_048;

/// Requests that lately ran to a good end.
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    last: HashMap<RequestFingerprint, Millis>,
    /// In the order in which they were noted; one that was noted again stands
    /// here more than once.
    order: VecDeque<(Millis, RequestFingerprint)>,
}

impl RecentSuccesses {
    /// Notes that a request ran to a good end.
    pub fn note(&mut self, now: Millis, request: RequestFingerprint) {
        self.last.insert(request, now);
        self.order.push_back((now, request));
        while let Some((at, oldest)) = self.order.front().copied()
            && (self.order.len() > MOST_KEPT || now.since(at) >= SPEAKS_MS)
        {
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Whether a request lately ran to a good end.
    pub fn has_succeeded(&self, now: Millis, request: &RequestFingerprint) -> bool {
        let last = self.last.get(request);
        last.is_some_and(|at| now.since(*at) < SPEAKS_MS)
    }
}
