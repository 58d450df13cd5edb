//! Which entries pass on what the daemons of a data hall say.
//!
//! If every daemon told every other one, messages would grow with the square
//! of their number. Instead a few entries of each data hall are its relays:
//! agents and other entries of the hall tell them and ask them, and the relays
//! of different halls ask each other. Every daemon works out the relays from
//! its own directory; daemons that differ for a while only ask an entry that
//! knows a little less.

use crate::daemon::{DaemonRecord, DaemonRole, DaemonState};
use crate::directory::{DAEMON_SUSPECT_MS, Directory, Observed};
use moleroad_types::prelude::{InstanceId, Millis};
use std::collections::BTreeSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Fewest relays of a data hall: one may be lost and another one be restarted at
/// the same time.
pub const MIN_RELAYS: usize = 3;
/// Daemons of a data hall for each of its relays, so that what a relay answers
/// does not grow with its hall.
pub const DAEMONS_PER_RELAY: usize = 32;

/// Weight of `candidate` in the eyes of `chooser`: the highest one is chosen,
/// so that a change of entries moves few choices.
pub fn weight(chooser: &str, candidate: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    chooser.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

impl Directory {
    /// The relays of a data hall, in an order that all daemons agree on.
    pub fn relays(&self, now: Millis, hall: &str) -> Vec<&DaemonRecord> {
        let in_hall = self.daemons().filter(|heard| heard.record.hall == hall);
        let count = in_hall.count().div_ceil(DAEMONS_PER_RELAY);
        let mut entries = self.entries_of(hall);
        let is_sound = |heard: &&Observed<DaemonRecord>| {
            heard.record.state != DaemonState::Leaving && now.since(heard.at) < DAEMON_SUSPECT_MS
        };
        entries.retain(is_sound);
        let records = entries.into_iter().map(|heard| &heard.record);
        ranked(records.collect(), hall, count.max(MIN_RELAYS))
    }

    /// How long ago a daemon of a data hall spoke, the one heard last, in
    /// milliseconds; `None` when none is known.
    pub fn silence_of(&self, now: Millis, hall: &str) -> Option<u64> {
        let in_hall = self.daemons().filter(|heard| heard.record.hall == hall);
        in_hall.map(|heard| now.since(heard.at)).min()
    }

    /// Whether there are requests in a data hall.
    pub fn is_busy(&self, hall: &str) -> bool {
        let mut in_hall = self.daemons().filter(|heard| heard.record.hall == hall);
        in_hall.any(|heard| {
            let report = heard.record.report.as_ref();
            heard.record.requests_per_s > 0.0 || report.is_some_and(|report| report.running > 0)
        })
    }

    /// Entries of a data hall to ask when no relay of it was heard lately:
    /// those that might be back or reached again.
    pub fn silent_entries(&self, hall: &str, chooser: &str) -> Vec<&DaemonRecord> {
        let entries = self.entries_of(hall);
        let records = entries.into_iter().map(|heard| &heard.record);
        ranked(records.collect(), chooser, usize::MAX)
    }

    /// Data halls that entries stand in.
    pub fn entry_halls(&self) -> BTreeSet<&str> {
        let entries = self
            .daemons()
            .filter(|d| d.record.role == DaemonRole::Entry);
        entries.map(|heard| heard.record.hall.as_str()).collect()
    }

    fn entries_of(&self, hall: &str) -> Vec<&Observed<DaemonRecord>> {
        let is_there = |heard: &&Observed<DaemonRecord>| {
            heard.record.role == DaemonRole::Entry && heard.record.hall == hall
        };
        self.daemons().filter(is_there).collect()
    }
}

/// The `most` records of the highest weight, the highest first.
fn ranked<'a>(
    mut records: Vec<&'a DaemonRecord>,
    chooser: &str,
    most: usize,
) -> Vec<&'a DaemonRecord> {
    records.sort_by_cached_key(|record| std::cmp::Reverse(weight(chooser, &record.instance)));
    records.truncate(most);
    records
}
