//! The update that a daemon sends about itself in an exchange.

use moleroad_directory::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// The update of a caller's record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallerUpdate {
    /// The whole record.
    Record(Box<DaemonRecord>),
    /// The load, if nothing else has changed.
    Load(RecordVersion, DaemonLoad),
    /// A sign of liveness, if the record has not changed since the callee received it.
    Same(RecordVersion),
}

/// Effect of a caller's update on the callee's directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerUpdateOutcome {
    /// Instance of the caller.
    pub instance: InstanceId,
    /// Whether the record of the caller's incarnation is known.
    pub is_known: bool,
    /// Whether the caller's record changed.
    pub record_changed: bool,
    /// Whether the caller's load changed.
    pub load_changed: bool,
}

impl CallerUpdate {
    /// Returns the smallest update of the daemon `own` for a callee that knows its record
    /// up to `position` of `directory`, or 0 if the callee may not know it.
    pub fn since(directory: &Directory, own: &DaemonRecord, position: u64) -> Self {
        let known = directory.daemon(&own.instance);
        let changes = known
            .map(|observed| observed.changes)
            .filter(|_| position > 0);
        match changes {
            Some(changes) if changes.record.max(changes.pieces) <= position => {
                if changes.load > position {
                    Self::Load(RecordVersion::of(own), DaemonLoad::of(own))
                } else {
                    Self::Same(RecordVersion::of(own))
                }
            }
            _ => Self::Record(Box::new(own.clone())),
        }
    }

    /// Merges the update into `directory`. A record of the daemon `own` itself is
    /// ignored.
    pub fn apply(
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
            Self::Load(version, load) => {
                let is_other = version.instance != own.instance;
                let outcome = CallerUpdateOutcome::of_version(directory, &version);
                let load_changed = is_other && directory.merge_load(now, &version, load, 0);
                directory.refresh_daemon(now, &version, 0);
                CallerUpdateOutcome {
                    load_changed,
                    ..outcome
                }
            }
            Self::Same(version) => {
                directory.refresh_daemon(now, &version, 0);
                CallerUpdateOutcome::of_version(directory, &version)
            }
        }
    }
}

impl CallerUpdateOutcome {
    fn of_version(directory: &Directory, version: &RecordVersion) -> Self {
        let observed = directory.daemon(&version.instance);
        Self {
            instance: version.instance.clone(),
            is_known: observed
                .is_some_and(|observed| observed.record.incarnation == version.incarnation),
            record_changed: false,
            load_changed: false,
        }
    }
}
