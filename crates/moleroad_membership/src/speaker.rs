//! What a daemon says of itself in a greeting.

use moleroad_directory::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// What a caller says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallerUpdate {
    /// Its whole record.
    Record(Box<DaemonRecord>),
    /// That only its load changed.
    Load(RecordVersion, LoadNews),
    /// That it lives; its record did not change since the callee took it.
    Same(RecordVersion),
}

/// What a speaker's word came to at the callee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerUpdateOutcome {
    /// Instance of the speaker.
    pub instance: InstanceId,
    /// Whether the record of this life of it is known.
    pub is_known: bool,
    /// Whether its record changed.
    pub record_changed: bool,
    /// Whether its load changed.
    pub load_changed: bool,
}

impl CallerUpdate {
    /// As little of the daemon `own` as a callee needs that was told of it up to
    /// `position` of its directory; 0 when the callee may not know it.
    pub fn since(directory: &Directory, own: &DaemonRecord, position: u64) -> Self {
        let known = directory.daemon(&own.instance);
        let changes = known.map(|heard| heard.changes).filter(|_| position > 0);
        match changes {
            Some(changes) if changes.record.max(changes.pieces) <= position => {
                if changes.load > position {
                    Self::Load(RecordVersion::of(own), LoadNews::of(own))
                } else {
                    Self::Same(RecordVersion::of(own))
                }
            }
            _ => Self::Record(Box::new(own.clone())),
        }
    }

    /// Takes the word of a speaker other than the daemon `own`.
    pub fn take(
        self,
        directory: &mut Directory,
        now: Millis,
        own: &DaemonRecord,
    ) -> CallerUpdateOutcome {
        match self {
            Self::Record(record) => {
                let instance = record.instance.clone();
                let is_other = instance != own.instance;
                let changed = is_other && directory.merge_daemon(now, *record, 0);
                CallerUpdateOutcome {
                    is_known: true,
                    record_changed: changed,
                    load_changed: changed,
                    instance,
                }
            }
            Self::Load(life, load) => {
                let is_other = life.instance != own.instance;
                let news = CallerUpdateOutcome::of_life(directory, &life);
                let load_changed = is_other && directory.hear_load(now, &life, load, 0);
                directory.hear_life(now, &life, 0);
                CallerUpdateOutcome {
                    load_changed,
                    ..news
                }
            }
            Self::Same(life) => {
                directory.hear_life(now, &life, 0);
                CallerUpdateOutcome::of_life(directory, &life)
            }
        }
    }
}

impl CallerUpdateOutcome {
    fn of_life(directory: &Directory, life: &RecordVersion) -> Self {
        let heard = directory.daemon(&life.instance);
        Self {
            instance: life.instance.clone(),
            is_known: heard.is_some_and(|heard| heard.record.incarnation == life.incarnation),
            record_changed: false,
            load_changed: false,
        }
    }
}
