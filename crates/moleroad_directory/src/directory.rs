//! The tables of targets and daemons, and how records are merged into them.

use crate::addresses::{Addresses, EndedUnknown};
use crate::changes::{ChangePositions, RecordDiff};
use crate::daemon::{DaemonRecord, DaemonRole, DaemonState};
use crate::limit::LimitUpdateTimes;
use crate::slots::Slots;
use crate::target::{TargetId, TargetLifecycle, TargetRecord};
use moleroad_types::prelude::{InstanceId, Millis};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Silence after which a daemon is suspected to have failed and no longer offered to
/// callers, in milliseconds.
pub const DAEMON_SUSPECT_MS: u64 = 2_500;
/// Silence after which the record of a daemon expires, in milliseconds.
pub const DAEMON_EXPIRY_MS: u64 = 60_000;
/// How long the tombstone of an ended target is kept, in milliseconds: longer than
/// any of the target's calls can be delayed.
pub const TOMBSTONE_TTL_MS: u64 = 60_000;
/// Interval at which the record of an unchanged target is forwarded again, in
/// milliseconds. It is well below the target's expiry time, so that a live target
/// does not expire elsewhere.
const TARGET_REFRESH_MS: u64 = 10_000;
/// Minimum extension of a target's announced cold period that counts as a change and
/// is forwarded, in milliseconds. It absorbs the varying latency of the target's
/// calls.
const COLD_CHANGE_TOLERANCE_MS: u64 = 300;
/// Silence after which the record of a target expires, in milliseconds.
pub const TARGET_EXPIRY_MS: u64 = 45_000;
/// Maximum number of targets; further ones are rejected.
pub const MAX_TARGETS: usize = 8_192;
/// Maximum number of daemons; further ones are rejected.
pub const MAX_DAEMONS: usize = 4_096;
/// A record with the time when its subject was last heard from, by the local clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Observed<T> {
    /// Latest record.
    pub record: T,
    /// Time when the subject was last heard from.
    pub last_seen: Millis,
    /// Positions of the record's last changes in this directory's change sequence.
    pub changes: ChangePositions,
}

/// Effect of merging a target's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The record was older than the known one and was ignored.
    Stale,
    /// Only the time when the target was last heard from changed.
    Refreshed,
    /// The known record changed.
    Changed,
}

/// One daemon's view of targets and daemons.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    pub(crate) daemons: BTreeMap<InstanceId, Observed<DaemonRecord>>,
    pub(crate) targets: BTreeMap<TargetId, Observed<TargetRecord>>,
    pub(crate) addresses: Addresses,
    ended_unknown: EndedUnknown,
    /// Position of the last change; each change gets the next number.
    pub(crate) position: u64,
    pub(crate) slots: Slots,
    pub(crate) limits_updated_at: LimitUpdateTimes,
}

impl Directory {
    /// Returns an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> u64 {
        self.position
    }

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

    /// Merges the record that a daemon sent `age_ms` ago. Returns whether more than the
    /// time of last contact changed, or the daemon was unknown.
    pub fn merge_daemon(&mut self, now: Millis, record: DaemonRecord, age_ms: u64) -> bool {
        let at = Millis(now.0.saturating_sub(age_ms));
        let position = self.position + 1;
        let Some(known) = self.daemons.get_mut(&record.instance) else {
            if self.daemons.len() < MAX_DAEMONS {
                self.position = position;
                let observed = Observed {
                    last_seen: at,
                    changes: ChangePositions {
                        slot: self.slots.allocate(),
                        ..ChangePositions::new(position, at)
                    },
                    record,
                };
                self.daemons
                    .insert(observed.record.instance.clone(), observed);
            }
            return true;
        };
        let is_same_incarnation = known.record.incarnation == record.incarnation;
        let is_older = if is_same_incarnation {
            record.sequence < known.record.sequence
        } else {
            at < known.last_seen
        };
        if is_older {
            return false;
        }
        known.last_seen = known.last_seen.max(at);
        if is_same_incarnation && record.sequence == known.record.sequence {
            // Records forwarded between entries can omit the pieces of agents: the same
            // sequence with pieces adds information, without pieces it does not.
            if !known.record.pieces.is_empty() || record.pieces.is_empty() {
                return false;
            }
        }
        let diff = RecordDiff::between(&known.record, &record);
        known.record = record;
        if diff.is_empty() {
            return false;
        }
        known.changes.apply_diff(diff, position, at);
        self.position = position;
        true
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Millis) {
        let slots = &mut self.slots;
        self.daemons.retain(|_, daemon| {
            let is_kept = now.since(daemon.last_seen) < DAEMON_EXPIRY_MS;
            if !is_kept {
                slots.release(daemon.changes.slot);
            }
            is_kept
        });
        let addresses = &mut self.addresses;
        self.targets.retain(|id, target| {
            let limit = match target.record.life {
                TargetLifecycle::Gone => TOMBSTONE_TTL_MS,
                _ => TARGET_EXPIRY_MS,
            };
            let is_kept = now.since(target.last_seen) < limit;
            if !is_kept {
                addresses.remove(target.record.address, id);
            }
            is_kept
        });
        self.ended_unknown
            .retain(|_, learned_at| now.since(*learned_at) < TOMBSTONE_TTL_MS);
        self.expire_limits();
    }

    /// Returns all targets, including those that are gone.
    pub fn targets(&self) -> impl Iterator<Item = &Observed<TargetRecord>> {
        self.targets.values()
    }

    /// Returns the target with the given identity.
    pub fn target(&self, id: &TargetId) -> Option<&Observed<TargetRecord>> {
        self.targets.get(id)
    }

    /// Returns the number of targets, including those that are gone.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns all daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Observed<DaemonRecord>> {
        self.daemons.values()
    }

    /// Returns the daemon of the given instance.
    pub fn daemon(&self, instance: &InstanceId) -> Option<&Observed<DaemonRecord>> {
        self.daemons.get(instance)
    }

    /// Returns the agent of the engine at `address`.
    pub fn agent_for_engine(&self, address: SocketAddr) -> Option<&Observed<DaemonRecord>> {
        self.daemons
            .values()
            .find(|daemon| daemon.record.engine == Some(address))
    }

    /// Returns the agents, keyed by the addresses of their engines.
    pub fn agents_by_engine(&self) -> HashMap<SocketAddr, &Observed<DaemonRecord>> {
        let with_engine = |daemon| {
            let daemon: &Observed<DaemonRecord> = daemon;
            daemon.record.engine.map(|engine| (engine, daemon))
        };
        self.daemons.values().filter_map(with_engine).collect()
    }

    /// Returns the entries that are ready and were heard from within
    /// [`DAEMON_SUSPECT_MS`].
    pub fn ready_entries(&self, now: Millis) -> impl Iterator<Item = &DaemonRecord> {
        let ready = move |daemon: &&Observed<DaemonRecord>| {
            daemon.record.role == DaemonRole::Entry
                && daemon.record.state == DaemonState::Ready
                && now.since(daemon.last_seen) < DAEMON_SUSPECT_MS
        };
        self.daemons
            .values()
            .filter(ready)
            .map(|observed| &observed.record)
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
