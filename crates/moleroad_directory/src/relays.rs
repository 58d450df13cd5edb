//! Selection of the entries that forward the records of a data hall.
//!
//! With full-mesh gossip the number of messages would grow with the square of the
//! number of daemons. Instead, a few entries of each data hall act as relays: agents
//! and other entries exchange records with the relays of their hall, and the relays
//! of different halls exchange records with each other. Every daemon computes the
//! relays from its own directory; if the directories of two daemons differ
//! temporarily, one of them only queries an entry with a less complete view.

use crate::daemon::{DaemonRecord, DaemonRole, DaemonState};
use crate::directory::{DAEMON_SUSPECT_MS, Directory, Observed};
use moleroad_types::prelude::{InstanceId, Millis};
use std::collections::BTreeSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Minimum number of relays of a data hall: one may fail while another one restarts.
pub const MIN_RELAYS: usize = 3;
/// Number of daemons of a data hall per relay, so that the load of a relay does not
/// grow with its hall.
pub const DAEMONS_PER_RELAY: usize = 32;

/// Rendezvous-hashing weight of `candidate` for `chooser`. The highest weight wins,
/// so that adding or removing an entry changes few choices.
pub fn rendezvous_weight(chooser: &str, candidate: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    chooser.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

impl Directory {
    /// Returns the relays of a data hall, in an order that all daemons agree on.
    pub fn relays(&self, now: Millis, hall: &str) -> Vec<&DaemonRecord> {
        let in_hall = self
            .daemons()
            .filter(|observed| observed.record.hall == hall);
        let count = in_hall.count().div_ceil(DAEMONS_PER_RELAY);
        let mut entries = self.entries_of(hall);
        let is_responsive = |observed: &&Observed<DaemonRecord>| {
            observed.record.state != DaemonState::Leaving
                && now.since(observed.last_seen) < DAEMON_SUSPECT_MS
        };
        entries.retain(is_responsive);
        let records = entries.into_iter().map(|observed| &observed.record);
        ranked(records.collect(), hall, count.max(MIN_RELAYS))
    }

    /// Returns the time since any daemon of a data hall was last heard from, in
    /// milliseconds, or `None` if none is known.
    pub fn hall_silence_ms(&self, now: Millis, hall: &str) -> Option<u64> {
        let in_hall = self
            .daemons()
            .filter(|observed| observed.record.hall == hall);
        in_hall.map(|observed| now.since(observed.last_seen)).min()
    }

    /// Returns whether a data hall has requests in progress.
    pub fn hall_has_requests(&self, hall: &str) -> bool {
        let mut in_hall = self
            .daemons()
            .filter(|observed| observed.record.hall == hall);
        in_hall.any(|observed| {
            let report = observed.record.report.as_ref();
            observed.record.requests_per_s > 0.0 || report.is_some_and(|report| report.running > 0)
        })
    }

    /// Returns all entries of a data hall by weight for `chooser`, for use when no relay
    /// of the hall was heard from recently: an entry may have recovered or become
    /// reachable again.
    pub fn entries_by_weight(&self, hall: &str, chooser: &str) -> Vec<&DaemonRecord> {
        let entries = self.entries_of(hall);
        let records = entries.into_iter().map(|observed| &observed.record);
        ranked(records.collect(), chooser, usize::MAX)
    }

    /// Returns the data halls that have entries.
    pub fn entry_halls(&self) -> BTreeSet<&str> {
        let entries = self
            .daemons()
            .filter(|d| d.record.role == DaemonRole::Entry);
        entries
            .map(|observed| observed.record.hall.as_str())
            .collect()
    }

    fn entries_of(&self, hall: &str) -> Vec<&Observed<DaemonRecord>> {
        let is_entry_of_hall = |observed: &&Observed<DaemonRecord>| {
            observed.record.role == DaemonRole::Entry && observed.record.hall == hall
        };
        self.daemons().filter(is_entry_of_hall).collect()
    }
}

/// Returns at most `max_count` records in descending order of weight.
fn ranked<'a>(
    mut records: Vec<&'a DaemonRecord>,
    chooser: &str,
    max_count: usize,
) -> Vec<&'a DaemonRecord> {
    records.sort_by_cached_key(|record| {
        std::cmp::Reverse(rendezvous_weight(chooser, &record.instance))
    });
    records.truncate(max_count);
    records
}
