//! Taking what another daemon's answer tells.

use crate::changes::{Aged, LoadNews, RecordVersion};
use crate::daemon::DaemonRecord;
use crate::directory::{Directory, TargetChange};
use crate::news::News;
use crate::slots::KnownSlots;
use moleroad_types::prelude::{InstanceId, Millis};

/// What taking news came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeltaOutcome {
    /// Whether who may get requests may have changed.
    pub changed: bool,
    /// Whether all daemons spoken of are known here.
    pub is_complete: bool,
    /// Daemons whose load is news.
    pub loads: Vec<InstanceId>,
}

impl Directory {
    /// Takes news that are not of the daemon `own`, from an answer of the daemon
    /// whose numbers are `known`.
    pub fn apply_delta(
        &mut self,
        now: Millis,
        own: &InstanceId,
        news: News,
        known: &mut KnownSlots,
    ) -> DeltaOutcome {
        known.begin(news.cursor.incarnation);
        let mut taken = DeltaOutcome {
            is_complete: true,
            ..DeltaOutcome::default()
        };
        for daemon in news.daemons {
            known.learn(daemon.slot, RecordVersion::of(&daemon.aged.record));
            self.take_record(now, own, daemon.aged, &mut taken);
        }
        for told in news.loads {
            let Some(life) = known.life(told.slot) else {
                taken.is_complete = false;
                continue;
            };
            let life = RecordVersion {
                sequence: told.sequence,
                ..life.clone()
            };
            self.take_load(now, own, life, told.load, told.age_ms, &mut taken);
        }
        for (slot, age_ms) in news.ages.iter().flat_map(|ages| ages.signs()) {
            let life = known.life(slot);
            taken.is_complete &= life.is_some_and(|life| self.hear_life(now, life, age_ms));
        }
        for aged in news.targets {
            let change = self.merge_target(now, aged.record, aged.age_ms);
            taken.changed |= change == TargetChange::Changed;
        }
        taken
    }

    fn take_record(
        &mut self,
        now: Millis,
        own: &InstanceId,
        aged: Aged<DaemonRecord>,
        taken: &mut DeltaOutcome,
    ) {
        let instance = aged.record.instance.clone();
        if instance != *own && self.merge_daemon(now, aged.record, aged.age_ms) {
            taken.changed = true;
            taken.loads.push(instance);
        }
    }

    fn take_load(
        &mut self,
        now: Millis,
        own: &InstanceId,
        life: RecordVersion,
        load: LoadNews,
        age_ms: u64,
        taken: &mut DeltaOutcome,
    ) {
        taken.is_complete &= self.hear_life(now, &life, age_ms);
        if life.instance != *own && self.hear_load(now, &life, load, age_ms) {
            taken.loads.push(life.instance);
        }
    }
}
