//! Rate limits that targets advertise in their responses: the rate of requests that a
//! target accepts from all entries together.
//!
//! A limit applies to one incarnation of a target. Each entry that observes a change
//! assigns it the next revision and forwards it to all others, so that entries need
//! no common clock.

use crate::directory::Directory;
use crate::target::{TargetId, TargetRecord};
use crate::target_merge::is_same_incarnation;
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Units of [`RequestRate`] per request per second.
const UNITS_PER_S: f64 = 1_000.0;

/// Rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    /// Requests per thousand seconds, rounded down.
    per_1000_s: u64,
}

impl RequestRate {
    /// Creates a rate from requests per second; negative values count as zero.
    pub fn per_s(requests: f64) -> Self {
        Self {
            per_1000_s: (requests * UNITS_PER_S) as u64,
        }
    }

    /// Parses a decimal number of requests per second. Returns `None` for any other text,
    /// including signed numbers.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.trim();
        let is_decimal = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let requests = digits.parse().ok().filter(|_| is_decimal)?;
        Some(Self::per_s(requests))
    }

    /// Returns the rate in requests per second.
    pub fn as_per_s(self) -> f64 {
        self.per_1000_s as f64 / UNITS_PER_S
    }
}

/// Rate limit that a target last advertised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// Revision, increased with each observed change.
    pub revision: u64,
    /// Maximum rate of requests from all entries together; `None` if the target
    /// advertises no limit.
    pub rate: Option<RequestRate>,
}

impl AdvertisedLimit {
    /// Returns the limit with the higher revision; for equal revisions, the stricter one.
    pub fn newer(self, other: Self) -> Self {
        let is_newer = other.revision > self.revision;
        let is_same_revision = other.revision == self.revision;
        if is_newer || (is_same_revision && is_stricter(other.rate, self.rate)) {
            other
        } else {
            self
        }
    }
}

fn is_stricter(rate: Option<RequestRate>, than: Option<RequestRate>) -> bool {
    match (rate, than) {
        (Some(rate), Some(than)) => rate < than,
        (rate, than) => rate.is_some() && than.is_none(),
    }
}

/// Local times when the limits of targets were last updated.
pub(crate) type LimitUpdateTimes = HashMap<TargetId, Millis>;

impl Directory {
    /// Updates the limit that the incarnation of a target born at `born_ms` advertised in
    /// its response to a request sent at `sent_at`. Returns whether this is a change. If
    /// the request was sent before the known limit was received, or at an unknown time,
    /// the response may be older than that limit and counts only if it is stricter.
    pub fn update_target_limit(
        &mut self,
        now: Millis,
        id: &TargetId,
        born_ms: u64,
        sent_at: Option<Millis>,
        rate: Option<RequestRate>,
    ) -> bool {
        let Some(known) = self.targets.get_mut(id) else {
            return false;
        };
        let known_limit = known.record.limit;
        if !is_same_incarnation(&known.record, born_ms) || known_limit.rate == rate {
            return false;
        }
        let updated_at = self.limits_updated_at.get(id).copied().unwrap_or_default();
        let is_current = sent_at.is_some_and(|sent_at| sent_at >= updated_at);
        if !is_current && !is_stricter(rate, known_limit.rate) {
            return false;
        }
        known.record.limit = AdvertisedLimit {
            revision: known_limit.revision + 1,
            rate,
        };
        self.limits_updated_at.insert(id.clone(), now);
        self.forward_target(id);
        true
    }

    /// Merges the limit in a record of the same incarnation, regardless of the sequence
    /// of the record. Returns whether this is a change.
    pub(crate) fn merge_limit(&mut self, now: Millis, record: &TargetRecord) -> bool {
        let Some(known) = self.targets.get_mut(&record.id) else {
            return false;
        };
        let newer = known.record.limit.newer(record.limit);
        let is_change = newer != known.record.limit;
        if is_change {
            known.record.limit = newer;
            self.limits_updated_at.insert(record.id.clone(), now);
            self.forward_target(&record.id);
        }
        is_change
    }

    /// Removes the update times of targets that are no longer known.
    pub(crate) fn expire_limits(&mut self) {
        let targets = &self.targets;
        self.limits_updated_at
            .retain(|id, _| targets.contains_key(id));
    }
}
