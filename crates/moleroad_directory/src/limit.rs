//! How many requests a second a target takes from all entries together, as it
//! says in its answers.
//!
//! The word is a fact of a target's life. Each entry that notices a change gives
//! it the next revision and tells all others, so that they need not agree on a
//! clock.

use crate::directory::{Directory, begins_same};
use crate::target::{TargetId, TargetRecord};
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Requests in a thousand seconds.
const PER_S: f64 = 1_000.0;

/// A rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    /// Requests in a thousand seconds, rounded down.
    per_1000_s: u64,
}

impl RequestRate {
    /// So many requests a second; less than none is none.
    pub fn per_s(requests: f64) -> Self {
        Self {
            per_1000_s: (requests * PER_S) as u64,
        }
    }

    /// Reads a decimal number of requests a second; anything else, also a negative
    /// number, is `None`.
    pub fn read(text: &str) -> Option<Self> {
        let digits = text.trim();
        let is_decimal = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let requests = digits.parse().ok().filter(|_| is_decimal)?;
        Some(Self::per_s(requests))
    }

    /// Requests a second.
    pub fn as_per_s(self) -> f64 {
        self.per_1000_s as f64 / PER_S
    }
}

/// What a target last said of the requests that it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// Rises with each change that an entry noticed.
    pub revision: u64,
    /// Requests a second from all entries; `None` while it names no limit.
    pub rate: Option<RequestRate>,
}

impl AdvertisedLimit {
    /// The newer of two words; of two with one revision the stricter.
    pub fn newer(self, other: Self) -> Self {
        let is_newer = other.revision > self.revision;
        let is_twin = other.revision == self.revision;
        if is_newer || (is_twin && is_stricter(other.rate, self.rate)) {
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

/// When the words of targets that named a limit were heard here.
pub(crate) type WordsHeard = HashMap<TargetId, Millis>;

impl Directory {
    /// Takes what the life of a target that began at `born_ms` said of its limit in
    /// its answer to a request that was sent at `sent_at`; true if that is news. An
    /// answer to one that was sent before the last word was heard, or at a time that
    /// is not known, may be older than that word: it counts only where it is stricter.
    pub fn target_named_limit(
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
        let word = known.record.limit;
        if !begins_same(&known.record, born_ms) || word.rate == rate {
            return false;
        }
        let heard_at = self.limits_heard.get(id).copied().unwrap_or_default();
        let is_later = sent_at.is_some_and(|sent_at| sent_at >= heard_at);
        if !is_later && !is_stricter(rate, word.rate) {
            return false;
        }
        known.record.limit = AdvertisedLimit {
            revision: word.revision + 1,
            rate,
        };
        self.limits_heard.insert(id.clone(), now);
        self.position += 1;
        known.changes.note_record(self.position, now);
        true
    }

    /// Takes the word on its limit that came with a record of the same life of a
    /// target, whatever else is known of it; true if that is news.
    pub(crate) fn take_limit(&mut self, now: Millis, record: &TargetRecord) -> bool {
        let Some(known) = self.targets.get_mut(&record.id) else {
            return false;
        };
        let newer = known.record.limit.newer(record.limit);
        let is_news = newer != known.record.limit;
        if is_news {
            known.record.limit = newer;
            self.limits_heard.insert(record.id.clone(), now);
            self.position += 1;
            known.changes.note_record(self.position, now);
        }
        is_news
    }

    /// Forgets when words of targets were heard that are not known any more.
    pub(crate) fn expire_limits(&mut self) {
        let targets = &self.targets;
        self.limits_heard.retain(|id, _| targets.contains_key(id));
    }
}
