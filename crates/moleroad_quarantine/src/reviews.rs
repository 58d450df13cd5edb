//! The way back for requests that are held, as the control group agrees on it.
//!
//! Three ends don't always tell a request that ends targets from one that was
//! beside it at each, or at three targets that ended for other reasons. Where
//! there is such a doubt, one more send decides, as in the half-open state of a
//! circuit breaker: its good end releases the request, another end of a target
//! lets it be held. The control group grants it to one copy at one entry, so
//! that a request costs one more target at most, however many entries ask.

use crate::fingerprint::RequestFingerprint;
use crate::holds::{MOST_HOLDS, SAME_WITHIN_MS, UnixMillis};
use crate::suspects::TERMINATION_TTL_MS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A number that an entry draws for one copy of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TrialToken(pub u64);

/// That one copy of a request wants to be sent although it is held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialOrder {
    /// The request.
    pub request: RequestFingerprint,
    /// The copy.
    pub token: TrialToken,
    /// When it asks.
    pub at: UnixMillis,
}

/// That a request ran to a good end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// The request.
    pub request: RequestFingerprint,
    /// When it did.
    pub at: UnixMillis,
}

/// What is known of one request beside its hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Review {
    trial: Option<(TrialToken, UnixMillis)>,
    released_at: Option<UnixMillis>,
}

impl Review {
    fn last_change(&self) -> Option<UnixMillis> {
        let granted_at = self.trial.map(|(_, at)| at);
        granted_at.max(self.released_at)
    }
}

/// Trials and releases of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Reviews(BTreeMap<RequestFingerprint, Review>);

impl Reviews {
    /// Grants a trial if none was granted for as long as an end counts; true if
    /// it was.
    pub fn grant(&mut self, order: &TrialOrder) -> bool {
        if self.includes_trial(order) {
            return false;
        }
        self.entry(order.request).trial = Some((order.token, order.at));
        self.keep_bounds();
        true
    }

    /// Whether a trial of the request, of this copy or another, was granted
    /// already.
    pub fn includes_trial(&self, order: &TrialOrder) -> bool {
        let granted_at = self.trial_at(&order.request);
        granted_at.is_some_and(|at| at.0 + TERMINATION_TTL_MS > order.at.0)
    }

    /// When the last trial of a request was granted.
    pub fn trial_at(&self, request: &RequestFingerprint) -> Option<UnixMillis> {
        let (_, at) = self.0.get(request)?.trial?;
        Some(at)
    }

    /// Whether the last trial was granted to this copy.
    pub fn is_granted(&self, order: &TrialOrder) -> bool {
        let trial = self.0.get(&order.request).and_then(|review| review.trial);
        trial.is_some_and(|(token, _)| token == order.token)
    }

    /// Releases a request; true if that changes anything.
    pub fn release(&mut self, order: &ReleaseOrder) -> bool {
        if self.includes_release(order) {
            return false;
        }
        self.entry(order.request).released_at = Some(order.at);
        self.keep_bounds();
        true
    }

    /// Whether the request was released at that time or later.
    pub fn includes_release(&self, order: &ReleaseOrder) -> bool {
        let released_at = self.released_at(&order.request);
        released_at.is_some_and(|at| at >= order.at)
    }

    /// Whether a hold until `until` is over, since the request ran to a good end
    /// after it began. One that began shortly after the good end is over too: it
    /// is the same hold, told late or by a clock that is ahead.
    pub fn ends_hold(&self, request: &RequestFingerprint, until: UnixMillis) -> bool {
        let released_at = self.released_at(request);
        released_at.is_some_and(|at| until.0 <= at.0 + TERMINATION_TTL_MS + SAME_WITHIN_MS)
    }

    /// Takes what another daemon knows; true if anything was news.
    pub fn merge(&mut self, other: &Reviews) -> bool {
        let mut changed = false;
        for (request, theirs) in &other.0 {
            let ours = self.entry(*request);
            let before = *ours;
            let is_later = theirs.trial.map(|(_, at)| at) > ours.trial.map(|(_, at)| at);
            if is_later {
                ours.trial = theirs.trial;
            }
            ours.released_at = ours.released_at.max(theirs.released_at);
            changed |= before != *ours;
        }
        self.keep_bounds();
        changed
    }

    fn released_at(&self, request: &RequestFingerprint) -> Option<UnixMillis> {
        self.0.get(request)?.released_at
    }

    fn entry(&mut self, request: RequestFingerprint) -> &mut Review {
        self.0.entry(request).or_default()
    }

    /// Beyond [`MOST_HOLDS`] the one that changed the longest ago goes.
    fn keep_bounds(&mut self) {
        while self.0.len() > MOST_HOLDS {
            let rank = |(request, review): &(&RequestFingerprint, &Review)| {
                (review.last_change(), **request)
            };
            let oldest = self.0.iter().min_by_key(rank);
            let Some(oldest) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.0.remove(&oldest);
        }
    }
}
