//! What changed since when, so that daemons pass on differences only.
//!
//! A directory numbers its changes. Whoever asked before names the number up
//! to which it knows all ([`Cursor`]) and gets what changed since:
//! [`Directory::news`]. Load changes many times a second and pieces of weights
//! matter to agents only, so each has a number of its own.

use crate::daemon::{DaemonRecord, DaemonRole};
use crate::directory::{Directory, Heard};
use crate::target::TargetRecord;
use moleroad_types::prelude::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

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
pub struct Life {
    /// Instance it runs on.
    pub instance: InstanceId,
    /// Drawn at each start.
    pub incarnation: u64,
    /// Number of the last change of its record.
    pub sequence: u64,
}

impl Life {
    /// The life that wrote a record.
    pub fn of(record: &DaemonRecord) -> Self {
        Self {
            instance: record.instance.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
        }
    }
}

/// How far one daemon knows the changes of another one's directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Incarnation of the daemon whose directory it is.
    pub incarnation: u64,
    /// Number of the last change that is known.
    pub position: u64,
}

/// What one daemon wants to hear from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Nothing of others.
    #[default]
    Nothing,
    /// Of daemons in the callee's data hall, and of those that call it.
    CalleesHall,
    /// Of all daemons.
    All,
}

/// A question for news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Of whom.
    pub scope: Scope,
    /// What is known already.
    pub after: Cursor,
    /// Whether signs of life are wanted of those without other news.
    pub lives: bool,
    /// Whether pieces of weights matter.
    pub pieces: bool,
}

/// A record and how long ago its subject spoke, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aged<T> {
    /// What was said.
    pub record: T,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

/// What changed in a directory since a [`Cursor`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// How far this goes.
    pub cursor: Cursor,
    /// Daemons that changed in more than their load.
    pub daemons: Vec<Aged<DaemonRecord>>,
    /// Daemons whose load changed.
    pub loads: Vec<Aged<(Life, LoadNews)>>,
    /// Signs of life of the others.
    pub lives: Vec<Aged<Life>>,
    /// Targets that changed.
    pub targets: Vec<Aged<TargetRecord>>,
}

/// How long a daemon that called here is passed on to other data halls, in
/// milliseconds.
const FIRST_HAND_MS: u64 = 1_500;

impl Directory {
    /// What changed since the caller's cursor. `incarnation` is that of this
    /// process, `own_hall` its data hall; the caller is not told of itself.
    pub fn news(
        &self,
        now: Millis,
        incarnation: u64,
        own_hall: &str,
        caller: &InstanceId,
        question: Question,
    ) -> News {
        let cursor = Cursor {
            incarnation,
            position: self.position,
        };
        let mut news = News {
            cursor,
            ..News::default()
        };
        if question.scope == Scope::Nothing {
            return news;
        }
        let after = match question.after {
            known if known.incarnation == incarnation => known.position,
            _ => 0,
        };
        for heard in self.daemons.values() {
            let record = &heard.record;
            let is_wanted =
                question.scope == Scope::All || record.hall == own_hall || heard.is_first_hand(now);
            if is_wanted && record.instance != *caller {
                news.add(now, heard, after, question);
            }
        }
        let changed = |target: &&Heard<TargetRecord>| target.changes.record > after;
        let targets = self.targets.values().filter(changed);
        news.targets = targets.map(|target| target.aged(now)).collect();
        news
    }

    /// Notes that a daemon spoke to this process itself.
    pub fn note_first_hand(&mut self, now: Millis, instance: &InstanceId) {
        if let Some(heard) = self.daemons.get_mut(instance) {
            heard.changes.first_hand_at = Some(now);
        }
    }

    /// Takes a sign of life; false when its instance is not known here.
    pub fn hear_life(&mut self, now: Millis, life: &Life, age_ms: u64) -> bool {
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
    pub fn hear_load(&mut self, now: Millis, life: &Life, load: LoadNews, age_ms: u64) -> bool {
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
        self.hear_daemon(now, record, age_ms)
    }
}

impl News {
    fn add(&mut self, now: Millis, heard: &Heard<DaemonRecord>, after: u64, question: Question) {
        let (record, changes) = (&heard.record, heard.changes);
        let age_ms = now.since(heard.at);
        if changes.record > after || (question.pieces && changes.pieces > after) {
            let mut aged = heard.aged(now);
            if !question.pieces && record.role == DaemonRole::Agent {
                aged.record.pieces.clear();
            }
            self.daemons.push(aged);
        } else if changes.load > after {
            let record = (Life::of(record), LoadNews::of(record));
            self.loads.push(Aged { record, age_ms });
        } else if question.lives {
            let record = Life::of(record);
            self.lives.push(Aged { record, age_ms });
        }
    }
}

impl<T: Clone> Heard<T> {
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
