//! Application of another daemon's directory delta.

use crate::changes::{Aged, DaemonLoad, RecordVersion};
use crate::daemon::DaemonRecord;
use crate::delta::DirectoryDelta;
use crate::directory::{Directory, TargetChange};
use crate::slots::SlotTable;
use moleroad_types::prelude::{InstanceId, Millis};

/// Effect of applying a delta.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeltaOutcome {
    /// Whether the set of daemons or targets that requests may be routed to could have
    /// changed.
    pub changed: bool,
    /// Whether all daemons that the delta refers to are known. If not, all records must
    /// be requested again.
    pub is_complete: bool,
    /// Daemons whose load may have changed.
    pub loads: Vec<InstanceId>,
}

impl Directory {
    /// Applies a delta from the daemon whose slots are in `known`. Records of the daemon
    /// `own` are skipped.
    pub fn apply_delta(
        &mut self,
        now: Millis,
        own: &InstanceId,
        delta: DirectoryDelta,
        known: &mut SlotTable,
    ) -> DeltaOutcome {
        known.clear_if_restarted(delta.cursor.incarnation);
        let mut outcome = DeltaOutcome {
            is_complete: true,
            ..DeltaOutcome::default()
        };
        for daemon in delta.daemons {
            known.assign(daemon.slot, RecordVersion::of(&daemon.aged.record));
            self.apply_record(now, own, daemon.aged, &mut outcome);
        }
        for update in delta.loads {
            let Some(version) = known.get(update.slot) else {
                outcome.is_complete = false;
                continue;
            };
            let version = RecordVersion {
                sequence: update.sequence,
                ..version.clone()
            };
            self.apply_load(now, own, version, update.load, update.age_ms, &mut outcome);
        }
        for (slot, age_ms) in delta.ages.iter().flat_map(|ages| ages.known_ages()) {
            let version = known.get(slot);
            outcome.is_complete &=
                version.is_some_and(|version| self.refresh_daemon(now, version, age_ms));
        }
        for aged in delta.targets {
            let change = self.merge_target(now, aged.record, aged.age_ms);
            outcome.changed |= change == TargetChange::Changed;
        }
        outcome
    }

    fn apply_record(
        &mut self,
        now: Millis,
        own: &InstanceId,
        aged: Aged<DaemonRecord>,
        outcome: &mut DeltaOutcome,
    ) {
        let instance = aged.record.instance.clone();
        if instance != *own && self.merge_daemon(now, aged.record, aged.age_ms) {
            outcome.changed = true;
            outcome.loads.push(instance);
        }
    }

    fn apply_load(
        &mut self,
        now: Millis,
        own: &InstanceId,
        version: RecordVersion,
        load: DaemonLoad,
        age_ms: u64,
        outcome: &mut DeltaOutcome,
    ) {
        outcome.is_complete &= self.refresh_daemon(now, &version, age_ms);
        if version.instance != *own && self.merge_load(now, &version, load, age_ms) {
            outcome.loads.push(version.instance);
        }
    }
}
