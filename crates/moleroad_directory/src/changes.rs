//! What changed when, so that daemons pass on differences only.
//!
//! A directory numbers its changes. Load changes many times a second and pieces of
//! weights matter to agents only, so each has a number of its own.
//! [`crate::news`] tells what changed since a number.

use crate::daemon::DaemonRecord;
use crate::directory::{Directory, Observed};
use crate::slots::Slot;
use moleroad_types::prelude::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// How long a daemon that called here is passed on to other data halls, in
/// milliseconds.
const FIRST_HAND_MS: u64 = 1_500;

/// In which respects two records of a daemon differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// In more than the rest of these.
    pub record: bool,
    /// In how busy it is.
    pub load: bool,
    /// In the pieces of weights that it has.
    pub pieces: bool,
}

impl Difference {
    /// Compares two records of one daemon.
    pub fn between(before: &DaemonRecord, after: &DaemonRecord) -> Self {
        let load = LoadNews::of(before) != LoadNews::of(after);
        let pieces = before.pieces != after.pieces;
        let mut alike = before.clone();
        alike.sequence = after.sequence;
        alike.pieces.clone_from(&after.pieces);
        LoadNews::of(after).put_into(&mut alike);
        Self {
            record: alike != *after,
            load,
            pieces,
        }
    }

    /// Whether they are alike.
    pub fn is_none(self) -> bool {
        self == Self::default()
    }
}

/// Numbers of the last changes of a record, in the order of its directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Of anything but load and pieces.
    pub record: u64,
    /// When that was.
    pub record_at: Millis,
    /// Of load.
    pub load: u64,
    /// Of pieces.
    pub pieces: u64,
    /// When its subject last spoke to this process itself.
    pub first_hand_at: Option<Millis>,
    /// Number of its subject in this directory's answers; daemons only.
    pub slot: Slot,
}

impl Changes {
    /// A record that is new at `position`.
    pub fn new(position: u64, at: Millis) -> Self {
        Self {
            record: position,
            record_at: at,
            ..Self::default()
        }
    }

    /// Notes that the record changed.
    pub fn note_record(&mut self, position: u64, at: Millis) {
        self.record = position;
        self.record_at = at;
    }

    /// Notes in which respects it changed.
    pub fn note(&mut self, difference: Difference, position: u64, at: Millis) {
        if difference.record {
            self.note_record(position, at);
        }
        if difference.load {
            self.load = position;
        }
        if difference.pieces {
            self.pieces = position;
        }
    }
}

/// How busy a daemon, or the engine beside it, is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadNews {
    /// Requests that an entry has to place in a second.
    pub requests_per_s: f32,
    /// Requests that run at an agent's engine.
    pub running: u32,
    /// Requests that wait at the engine.
    pub queued: u32,
    /// How much slower than published the engine is.
    pub pace: f32,
}

impl LoadNews {
    /// The part of a record that says how busy its subject is.
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

    /// Brings a record up to date.
    pub fn put_into(self, record: &mut DaemonRecord) {
        record.requests_per_s = self.requests_per_s;
        if let Some(report) = &mut record.report {
            report.running = self.running;
            report.queued = self.queued;
            report.pace = self.pace;
        }
    }
}

/// One life of a daemon and how far it had come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Instance it runs on.
    pub instance: InstanceId,
    /// Drawn at each start.
    pub incarnation: u64,
    /// Number of the last change of its record.
    pub sequence: u64,
}

impl RecordVersion {
    /// The life that wrote a record.
    pub fn of(record: &DaemonRecord) -> Self {
        Self {
            instance: record.instance.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
        }
    }
}

/// A record and how long ago its subject spoke, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aged<T> {
    /// What was said.
    pub record: T,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

impl Changes {
    /// The first change after `after` for which the whole record is told.
    pub(crate) fn first_record_after(&self, after: u64, with_pieces: bool) -> Option<u64> {
        let pieces = with_pieces.then_some(self.pieces);
        let positions = [Some(self.record), pieces].into_iter().flatten();
        positions.filter(|position| *position > after).min()
    }
}

impl Directory {
    /// Notes that a daemon spoke to this process itself.
    pub fn record_direct_contact(&mut self, now: Millis, instance: &InstanceId) {
        let position = self.position + 1;
        let Some(heard) = self.daemons.get_mut(instance) else {
            return;
        };
        let was_first_hand = heard.is_first_hand(now);
        heard.changes.first_hand_at = Some(now);
        if !was_first_hand {
            // Askers that want this hall only were not told of it meanwhile.
            let at = heard.changes.record_at;
            heard.changes.note_record(position, at);
            self.position = position;
        }
    }

    /// Takes a sign of life; false when its instance is not known here.
    pub fn hear_life(&mut self, now: Millis, life: &RecordVersion, age_ms: u64) -> bool {
        let at = Millis(now.0.saturating_sub(age_ms));
        let Some(known) = self.daemons.get_mut(&life.instance) else {
            return false;
        };
        if known.record.incarnation == life.incarnation {
            known.at = known.at.max(at);
        }
        true
    }

    /// Takes news of load; true if it is news of a life that is known.
    pub fn hear_load(
        &mut self,
        now: Millis,
        life: &RecordVersion,
        load: LoadNews,
        age_ms: u64,
    ) -> bool {
        let Some(known) = self.daemons.get(&life.instance) else {
            return false;
        };
        let is_same = known.record.incarnation == life.incarnation;
        if !is_same || known.record.sequence > life.sequence {
            return false;
        }
        let mut record = known.record.clone();
        record.sequence = life.sequence;
        load.put_into(&mut record);
        self.merge_daemon(now, record, age_ms)
    }
}

impl<T: Clone> Observed<T> {
    /// The record with its age.
    pub fn aged(&self, now: Millis) -> Aged<T> {
        Aged {
            record: self.record.clone(),
            age_ms: now.since(self.at),
        }
    }

    /// Whether its subject lately spoke to this process itself.
    pub fn is_first_hand(&self, now: Millis) -> bool {
        let at = self.changes.first_hand_at;
        at.is_some_and(|at| now.since(at) < FIRST_HAND_MS)
    }
}
