//! Trials and releases of held requests and parts of prompts, as agreed by the control
//! group.
//!
//! Three terminations do not always distinguish a request that terminates targets from
//! one that was merely running beside it on each of them, or on three targets that
//! terminated for other reasons. If there is another explanation, one more send
//! decides, as in the half-open state of a circuit breaker: if the request completes,
//! it is released; if the target terminates, it stays held. The control group grants
//! the trial to one copy at one entry, so that a request costs at most one more target,
//! however many entries ask.

use crate::fingerprint::Fingerprint;
use crate::holds::{MAX_HOLDS, SAME_HOLD_MS, UnixMillis};
use crate::terminations::TERMINATION_TTL_MS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A random number that an entry chooses for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TrialToken(pub u64);

/// An order to try one request that carries something held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialOrder {
    /// What is held.
    pub suspect: Fingerprint,
    /// The request that is sent.
    pub token: TrialToken,
    /// When it was asked for.
    pub at: UnixMillis,
}

/// An order to release something held that completed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// What is held: see [`Suspect::hold_keys`](crate::suspect::Suspect::hold_keys).
    pub key: Fingerprint,
    /// When it completed.
    pub at: UnixMillis,
}

/// The trial and the release of one suspect.
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

/// Trials and releases of suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Reviews(BTreeMap<Fingerprint, Review>);

impl Reviews {
    /// Grants a trial unless one was granted within [`TERMINATION_TTL_MS`]; returns
    /// true if it was granted.
    pub fn grant(&mut self, order: &TrialOrder) -> bool {
        if self.includes_trial(order) {
            return false;
        }
        self.entry(order.suspect).trial = Some((order.token, order.at));
        self.evict_excess();
        true
    }

    /// Returns whether a trial of the request was already granted, to this copy or
    /// another.
    pub fn includes_trial(&self, order: &TrialOrder) -> bool {
        let granted_at = self.trial_at(&order.suspect);
        granted_at.is_some_and(|at| at.0 + TERMINATION_TTL_MS > order.at.0)
    }

    /// Returns when the last trial of a request was granted.
    pub fn trial_at(&self, request: &Fingerprint) -> Option<UnixMillis> {
        let (_, at) = self.0.get(request)?.trial?;
        Some(at)
    }

    /// Returns whether the last trial was granted to this copy.
    pub fn is_granted(&self, order: &TrialOrder) -> bool {
        let trial = self.0.get(&order.suspect).and_then(|review| review.trial);
        trial.is_some_and(|(token, _)| token == order.token)
    }

    /// Releases a request; returns true if that changed anything.
    pub fn release(&mut self, order: &ReleaseOrder) -> bool {
        if self.includes_release(order) {
            return false;
        }
        self.entry(order.key).released_at = Some(order.at);
        self.evict_excess();
        true
    }

    /// Returns whether the request was released at that time or later.
    pub fn includes_release(&self, order: &ReleaseOrder) -> bool {
        let released_at = self.released_at(&order.key);
        released_at.is_some_and(|at| at >= order.at)
    }

    /// Returns whether a release ends a hold until `until`, as the request completed
    /// after the hold began. A hold that began shortly after the release also ends: it
    /// is the same hold, reported late or by a clock that is ahead.
    pub fn ends_hold(&self, request: &Fingerprint, until: UnixMillis) -> bool {
        let released_at = self.released_at(request);
        released_at.is_some_and(|at| until.0 <= at.0 + TERMINATION_TTL_MS + SAME_HOLD_MS)
    }

    /// Merges the reviews known to another daemon; returns true if anything was new.
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
        self.evict_excess();
        changed
    }

    fn released_at(&self, request: &Fingerprint) -> Option<UnixMillis> {
        self.0.get(request)?.released_at
    }

    fn entry(&mut self, request: Fingerprint) -> &mut Review {
        self.0.entry(request).or_default()
    }

    /// Evicts the least recently changed reviews beyond [`MAX_HOLDS`].
    fn evict_excess(&mut self) {
        while self.0.len() > MAX_HOLDS {
            let rank =
                |(request, review): &(&Fingerprint, &Review)| (review.last_change(), **request);
            let oldest = self.0.iter().min_by_key(rank);
            let Some(oldest) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.0.remove(&oldest);
        }
    }
}
