//! Change tracking, so that daemons forward only differences.
//!
//! A directory numbers its changes. Load changes many times a second and pieces of
//! weights matter to agents only, so each of these has its own position.
//! [`crate::delta`] returns the changes after a position.

use crate::daemon::DaemonRecord;
use crate::directory::{Directory, Observed};
use crate::slots::Slot;
use moleroad_types::prelude::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// How long a daemon that called this process directly is forwarded to other data
/// halls, in milliseconds.
const DIRECT_CONTACT_MS: u64 = 1_500;

/// The parts in which two records of a daemon differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordDiff {
    /// Whether anything other than load and pieces differs.
    pub record: bool,
    /// Whether the load differs.
    pub load: bool,
    /// Whether the pieces of weights differ.
    pub pieces: bool,
}

impl RecordDiff {
    /// Compares two records of the same daemon.
    pub fn between(before: &DaemonRecord, after: &DaemonRecord) -> Self {
        let load = DaemonLoad::of(before) != DaemonLoad::of(after);
        let pieces = before.pieces != after.pieces;
        let mut normalized = before.clone();
        normalized.sequence = after.sequence;
        normalized.pieces.clone_from(&after.pieces);
        DaemonLoad::of(after).write_to(&mut normalized);
        Self {
            record: normalized != *after,
            load,
            pieces,
        }
    }

    /// Returns whether the records do not differ.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// Positions of a record's last changes in its directory's change sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangePositions {
    /// Position of the last change of anything other than load and pieces.
    pub record: u64,
    /// Time when the subject was last heard from as of that change.
    pub record_at: Millis,
    /// Position of the last change of load.
    pub load: u64,
    /// Position of the last change of pieces.
    pub pieces: u64,
    /// Time when the subject last called this process directly.
    pub direct_contact_at: Option<Millis>,
    /// Slot of the subject in this directory's answers; for daemons only.
    pub slot: Slot,
}

impl ChangePositions {
    /// Returns the positions of a record added at `position`.
    pub fn new(position: u64, at: Millis) -> Self {
        Self {
            record: position,
            record_at: at,
            ..Self::default()
        }
    }

    /// Records a change of the record.
    pub fn mark_record(&mut self, position: u64, at: Millis) {
        self.record = position;
        self.record_at = at;
    }

    /// Records a change of the parts in `diff`.
    pub fn apply_diff(&mut self, diff: RecordDiff, position: u64, at: Millis) {
        if diff.record {
            self.mark_record(position, at);
        }
        if diff.load {
            self.load = position;
        }
        if diff.pieces {
            self.pieces = position;
        }
    }
}

/// Load of a daemon or of its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonLoad {
    /// Rate of requests that an entry has to place, per second.
    pub requests_per_s: f32,
    /// Requests running at the agent's engine.
    pub running: u32,
    /// Requests queued at the engine.
    pub queued: u32,
    /// Slowdown of the engine relative to its published speed; 1 is the published speed.
    pub pace: f32,
}

impl DaemonLoad {
    /// Returns the load part of a record.
    pub fn of(record: &DaemonRecord) -> Self {
        let requests_per_s = record.requests_per_s;
        match &record.report {
            None => Self {
                requests_per_s,
                ..Self::default()
            },
            Some(report) => Self {
                requests_per_s,
                running: report.running,
                queued: report.queued,
                pace: report.pace,
            },
        }
    }

    /// Writes this load into a record.
    pub fn write_to(self, record: &mut DaemonRecord) {
        record.requests_per_s = self.requests_per_s;
        if let Some(report) = &mut record.report {
            report.running = self.running;
            report.queued = self.queued;
            report.pace = self.pace;
        }
    }
}

/// Version of a daemon's record: the incarnation and the sequence within it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Instance that the daemon runs on.
    pub instance: InstanceId,
    /// Random number drawn at each start.
    pub incarnation: u64,
    /// Sequence number of the record within the incarnation.
    pub sequence: u64,
}

impl RecordVersion {
    /// Returns the version of a record.
    pub fn of(record: &DaemonRecord) -> Self {
        Self {
            instance: record.instance.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
        }
    }
}

/// A record and its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aged<T> {
    /// The record.
    pub record: T,
    /// Time since its subject was last heard from, in milliseconds.
    pub age_ms: u64,
}

impl ChangePositions {
    /// Returns the position of the first change after `after` that requires sending the
    /// whole record.
    pub(crate) fn first_record_after(&self, after: u64, with_pieces: bool) -> Option<u64> {
        let pieces = with_pieces.then_some(self.pieces);
        let positions = [Some(self.record), pieces].into_iter().flatten();
        positions.filter(|position| *position > after).min()
    }
}

impl Directory {
    /// Records that a daemon called this process directly.
    pub fn record_direct_contact(&mut self, now: Millis, instance: &InstanceId) {
        let position = self.position + 1;
        let Some(observed) = self.daemons.get_mut(instance) else {
            return;
        };
        let was_in_direct_contact = observed.is_in_direct_contact(now);
        observed.changes.direct_contact_at = Some(now);
        if !was_in_direct_contact {
            // Callers that requested only this hall have not received this daemon since
            // its last direct call, so its record counts as changed.
            let at = observed.changes.record_at;
            observed.changes.mark_record(position, at);
            self.position = position;
        }
    }

    /// Records that a daemon was alive `age_ms` ago. Returns `false` if its instance is
    /// unknown.
    pub fn refresh_daemon(&mut self, now: Millis, version: &RecordVersion, age_ms: u64) -> bool {
        let at = Millis(now.0.saturating_sub(age_ms));
        let Some(known) = self.daemons.get_mut(&version.instance) else {
            return false;
        };
        if known.record.incarnation == version.incarnation {
            known.last_seen = known.last_seen.max(at);
        }
        true
    }

    /// Merges the load of a known incarnation. Returns whether more than the time of last
    /// contact changed.
    pub fn merge_load(
        &mut self,
        now: Millis,
        version: &RecordVersion,
        load: DaemonLoad,
        age_ms: u64,
    ) -> bool {
        let Some(known) = self.daemons.get(&version.instance) else {
            return false;
        };
        let is_same_incarnation = known.record.incarnation == version.incarnation;
        if !is_same_incarnation || known.record.sequence > version.sequence {
            return false;
        }
        let mut record = known.record.clone();
        record.sequence = version.sequence;
        load.write_to(&mut record);
        self.merge_daemon(now, record, age_ms)
    }
}

impl<T: Clone> Observed<T> {
    /// Returns the record with its age.
    pub fn aged(&self, now: Millis) -> Aged<T> {
        Aged {
            record: self.record.clone(),
            age_ms: now.since(self.last_seen),
        }
    }

    /// Returns whether the subject recently called this process directly.
    pub fn is_in_direct_contact(&self, now: Millis) -> bool {
        let at = self.changes.direct_contact_at;
        at.is_some_and(|at| now.since(at) < DIRECT_CONTACT_MS)
    }
}
