//! How records of targets are merged into the directory.

use crate::changes::ChangePositions;
use crate::directory::{Directory, MAX_TARGETS, Observed, TargetChange};
use crate::target::{TargetId, TargetLifecycle, TargetRecord};
use moleroad_types::prelude::Millis;

/// Interval at which the record of an unchanged target is forwarded again, in
/// milliseconds. It is well below the target's expiry time, so that a live target
/// does not expire elsewhere.
const TARGET_REFRESH_MS: u64 = 10_000;
/// Minimum extension of a target's announced cold period that counts as a change and
/// is forwarded, in milliseconds. It absorbs the varying latency of the target's
/// calls.
const COLD_CHANGE_TOLERANCE_MS: u64 = 300;

impl Directory {
    /// Merges the record in a call that this daemon just received from a target. A call
    /// that was overtaken by a later one does not say that the target lives.
    pub fn hear_target(&mut self, now: Millis, record: TargetRecord) -> TargetChange {
        let known = self.targets.get(&record.id).map(|known| &known.record);
        let is_overtaken = known.is_some_and(|known| {
            is_same_incarnation(known, record.born_ms)
                && record.sequence < known.sequence
                && record.life <= known.life
        });
        if is_overtaken {
            return TargetChange::Stale;
        }
        self.merge_target(now, record, 0)
    }

    /// Merges the record that a target sent `age_ms` ago according to another daemon.
    pub fn merge_target(&mut self, now: Millis, record: TargetRecord, age_ms: u64) -> TargetChange {
        let (address, id) = (record.address, record.id.clone());
        let at = Millis(now.0.saturating_sub(age_ms));
        let holder = self.holder(address).map(|holder| holder.record.id.clone());
        let change = self.merge_record(now, at, record);
        if self.update_holder(address, holder, &id, at) {
            TargetChange::Changed
        } else {
            change
        }
    }

    fn merge_record(&mut self, now: Millis, at: Millis, record: TargetRecord) -> TargetChange {
        let Some(known) = self.targets.get(&record.id) else {
            return self.add_target(at, record);
        };
        match compare_birth(&known.record, record.born_ms) {
            BirthOrder::Later => {
                self.remove_target(&record.id);
                return self.add_target(at, record);
            }
            BirthOrder::Earlier => return TargetChange::Stale,
            BirthOrder::Same => {}
        }
        let has_limit_changed = self.merge_limit(now, &record);
        let change = self.merge_same_incarnation(at, record);
        if has_limit_changed {
            TargetChange::Changed
        } else {
            change
        }
    }

    /// Merges a record of the known incarnation of a target, except for its limit.
    fn merge_same_incarnation(&mut self, at: Millis, record: TargetRecord) -> TargetChange {
        let position = self.position + 1;
        let Some(known) = self.targets.get_mut(&record.id) else {
            return TargetChange::Stale;
        };
        let life = known.record.life.max(record.life);
        let has_longer_cold_period = extends_cold_period(known, &record, at);
        let passed_ms = at.since(known.last_seen);
        // What arrives after a target has ended does not say that it lives.
        if known.record.life != TargetLifecycle::Gone {
            known.last_seen = known.last_seen.max(at);
        }
        if record.sequence < known.record.sequence {
            // Another daemon, which knows of no later call, has heard from it.
            known.record.cold_left_ms = known.record.cold_left_ms.saturating_sub(passed_ms);
            // A late call still counts if it announces that the target is shutting down.
            let changed = life > known.record.life;
            known.record.life = life;
            if !changed {
                return TargetChange::Stale;
            }
            self.forward_target(&record.id);
            return TargetChange::Changed;
        }
        // A record without a birth time belongs to the known incarnation and does not
        // erase its birth time.
        let born_ms = record.born_ms.max(known.record.born_ms);
        let next = TargetRecord {
            life,
            born_ms,
            limit: known.record.limit,
            ..record
        };
        let mut refreshed = next.clone();
        refreshed.sequence = known.record.sequence;
        refreshed.cold_left_ms = known.record.cold_left_ms;
        let change = if refreshed == known.record && !has_longer_cold_period {
            TargetChange::Refreshed
        } else {
            TargetChange::Changed
        };
        let former_address = known.record.address;
        if former_address != next.address {
            self.addresses.remove(former_address, &next.id);
            self.addresses.add(next.address, &next.id);
        }
        known.record = next;
        let forwarded_at = known.changes.record_at;
        if change == TargetChange::Changed
            || known.last_seen.since(forwarded_at) >= TARGET_REFRESH_MS
        {
            known.changes.mark_record(position, known.last_seen);
            self.position = position;
        }
        change
    }

    fn add_target(&mut self, at: Millis, record: TargetRecord) -> TargetChange {
        if self.targets.len() >= MAX_TARGETS {
            return TargetChange::Stale;
        }
        let has_ended = record.born_ms == 0 && self.ended_unknown.contains_key(&record.id);
        let life = if has_ended {
            TargetLifecycle::Gone
        } else {
            record.life
        };
        let record = TargetRecord { life, ..record };
        self.position += 1;
        let changes = ChangePositions::new(self.position, at);
        let observed = Observed {
            record,
            last_seen: at,
            changes,
        };
        let id = observed.record.id.clone();
        self.addresses.add(observed.record.address, &id);
        self.targets.insert(id, observed);
        TargetChange::Changed
    }

    fn remove_target(&mut self, id: &TargetId) {
        if let Some(removed) = self.targets.remove(id) {
            self.addresses.remove(removed.record.address, id);
            self.limits_updated_at.remove(id);
        }
    }

    /// Marks a target as gone, because it said so. Returns whether this is a change of a
    /// known target.
    pub fn mark_target_gone(&mut self, now: Millis, id: &TargetId) -> bool {
        let Some(known) = self.targets.get_mut(id) else {
            if self.ended_unknown.len() < MAX_TARGETS {
                self.ended_unknown.insert(id.clone(), now);
            }
            return false;
        };
        let is_change = known.record.life != TargetLifecycle::Gone;
        known.record.life = TargetLifecycle::Gone;
        if is_change {
            self.forward_target(id);
        }
        is_change
    }

    /// Marks a target as draining, because the incarnation born at `born_ms` announced in
    /// a response that it is shutting down. Returns whether this is a change. The
    /// announcement may be missing from the target's heartbeats, and the heartbeats may
    /// not be acknowledged anywhere.
    pub fn mark_target_draining(&mut self, id: &TargetId, born_ms: u64) -> bool {
        let Some(known) = self.targets.get_mut(id) else {
            return false;
        };
        if !is_same_incarnation(&known.record, born_ms)
            || known.record.life != TargetLifecycle::Ready
        {
            return false;
        }
        known.record.life = TargetLifecycle::Draining;
        self.forward_target(id);
        true
    }
}

/// How a birth time relates to the one in a known record of the same target.
enum BirthOrder {
    Earlier,
    Same,
    Later,
}

/// Compares birth times under the same target identity. A later birth is a new
/// incarnation, which inherits nothing from the former one. If either birth time is
/// missing, both records count as the same incarnation.
fn compare_birth(known: &TargetRecord, born_ms: u64) -> BirthOrder {
    if known.born_ms == 0 || born_ms == 0 || known.born_ms == born_ms {
        BirthOrder::Same
    } else if born_ms > known.born_ms {
        BirthOrder::Later
    } else {
        BirthOrder::Earlier
    }
}

/// Returns whether a message of the incarnation born at `born_ms` belongs to the
/// known one.
pub(crate) fn is_same_incarnation(known: &TargetRecord, born_ms: u64) -> bool {
    matches!(compare_birth(known, born_ms), BirthOrder::Same)
}

/// Returns whether a record extends the target's cold period beyond the known one. A
/// remaining time that merely counts down is not a change.
fn extends_cold_period(known: &Observed<TargetRecord>, next: &TargetRecord, at: Millis) -> bool {
    let known_until = known.last_seen + known.record.cold_left_ms;
    next.cold_left_ms > 0 && at + next.cold_left_ms > known_until + COLD_CHANGE_TOLERANCE_MS
}
