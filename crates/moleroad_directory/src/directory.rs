//! The tables of targets and daemons. [`crate::target_merge`] merges records of targets.

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
    pub(crate) ended_unknown: EndedUnknown,
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
