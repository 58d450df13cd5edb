//! The log in memory: a snapshot and the entries after it.

use crate::entry::{Entry, LogIndex, Payload, Snapshot};
use crate::member::Configuration;
use moleroad_types::prelude::Term;

/// A snapshot, if there is one, and all entries after it without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Log {
    /// A log of `entries` that follow `snapshot`.
    ///
    /// # Panics
    /// When the entries are not consecutive after the snapshot.
    pub fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut expected = snapshot.as_ref().map_or(LogIndex(0), |s| s.index);
        for entry in &entries {
            expected = expected.next();
            assert_eq!(entry.index, expected, "log entries must be consecutive");
        }
        Self { snapshot, entries }
    }

    /// The snapshot that the log starts from.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Position that the snapshot covers; zero without one.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |s| s.index)
    }

    /// Position of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries
            .last()
            .map_or(self.snapshot_index(), |e| e.index)
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.term_at(self.last_index()).unwrap_or_default()
    }

    /// Term of the entry at `index`; `None` when it is not known here.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == LogIndex(0) {
            return Some(Term(0));
        }
        if let Some(snapshot) = &self.snapshot
            && snapshot.index == index
        {
            return Some(snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is in memory.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot_index().0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Up to `limit` entries from `first` on.
    pub fn from(&self, first: LogIndex, limit: usize) -> &[Entry] {
        let offset = first.0.saturating_sub(self.snapshot_index().0 + 1) as usize;
        let start = offset.min(self.entries.len());
        let end = (start + limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Number of entries in memory.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Appends entries that follow the last one.
    pub fn append(&mut self, entries: &[Entry]) {
        for entry in entries {
            assert_eq!(
                entry.index,
                self.last_index().next(),
                "append must not leave a gap"
            );
            self.entries.push(entry.clone());
        }
    }

    /// Drops the entry at `first` and all after it.
    pub fn truncate_from(&mut self, first: LogIndex) {
        assert!(
            first > self.snapshot_index(),
            "the snapshot is committed and stays"
        );
        self.entries
            .truncate((first.0 - self.snapshot_index().0 - 1) as usize);
    }

    /// Makes `snapshot` the start of the log, keeping entries that follow it.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let follows = self.term_at(snapshot.index) == Some(snapshot.term);
        let kept = if follows {
            self.from(snapshot.index.next(), usize::MAX).to_vec()
        } else {
            Vec::new()
        };
        self.entries = kept;
        self.snapshot = Some(snapshot);
    }

    /// The latest configuration at or before `limit`, and where it stands.
    pub fn configuration_at(&self, limit: LogIndex) -> (LogIndex, Configuration) {
        for entry in self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= limit)
        {
            if let Payload::Configuration(configuration) = &entry.payload {
                return (entry.index, configuration.clone());
            }
        }
        match &self.snapshot {
            Some(snapshot) => (snapshot.index, snapshot.configuration.clone()),
            None => (LogIndex(0), Configuration::default()),
        }
    }
}
