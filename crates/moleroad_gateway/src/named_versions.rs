//! The versions of a model that were named, and when. Naming a version publishes it as
//! one that targets should serve.

use crate::peer::VersionAge;
use moleroad_types::prelude::Millis;
use std::collections::BTreeMap;

/// Maximum number of versions whose naming times are kept; the deadlines of older
/// versions have long passed.
const MAX_NAMED_VERSIONS: usize = 8;

/// The versions of a model that were named, and when, as far as known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedVersions {
    times: BTreeMap<u64, Millis>,
}

impl NamedVersions {
    /// Records that `version` was named at `at`; returns true if it is the newest.
    pub fn learn(&mut self, version: u64, at: Millis) -> bool {
        let is_newest = self.newest().is_none_or(|newest| version > newest);
        let known = self.times.entry(version).or_insert(at);
        *known = (*known).min(at);
        while self.times.len() > MAX_NAMED_VERSIONS {
            self.times.pop_first();
        }
        is_newest
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<u64> {
        self.times.last_key_value().map(|(version, _)| *version)
    }

    /// Iterates over the versions in ascending order.
    pub fn versions(&self) -> impl Iterator<Item = u64> {
        self.times.keys().copied()
    }

    /// Returns when `version` was named, as far as known.
    pub fn named_at(&self, version: u64) -> Option<Millis> {
        self.times.get(&version).copied()
    }

    /// Returns when the first version after `held` was named.
    pub fn superseded_at(&self, held: u64) -> Option<Millis> {
        let later = self.times.range(held + 1..);
        later.map(|(_, at)| *at).min()
    }

    /// Returns the newest version that was named `age_ms` ago or earlier.
    pub fn due(&self, now: Millis, age_ms: u64) -> Option<u64> {
        let due = self
            .times
            .iter()
            .filter(|(_, at)| now.since(**at) >= age_ms);
        due.map(|(version, _)| *version).max()
    }

    /// Returns all versions with their ages in milliseconds.
    pub fn ages(&self, now: Millis) -> Vec<VersionAge> {
        let aged = |(version, at): (&u64, &Millis)| VersionAge {
            version: *version,
            age_ms: now.since(*at),
        };
        self.times.iter().map(aged).collect()
    }
}
