//! The tables of targets and daemons, and how they are merged.

use crate::changes::{Changes, Difference};
use crate::daemon::{DaemonRecord, DaemonRole, DaemonState};
use crate::limit::WordsHeard;
use crate::slots::Slots;
use crate::target::{TargetId, TargetLifecycle, TargetRecord};
use moleroad_types::prelude::{InstanceId, Millis};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Silence after which a daemon is not named to callers, in milliseconds.
pub const DAEMON_SUSPECT_MS: u64 = 2_500;
/// Silence after which a daemon is forgotten, in milliseconds.
pub const DAEMON_FORGOTTEN_MS: u64 = 60_000;
/// How long a target that is gone is remembered, in milliseconds: longer than
/// any call of it can be late.
pub const GONE_REMEMBERED_MS: u64 = 60_000;
/// Time after which a target that has nothing new to say is passed on again, in
/// milliseconds: well below the time after which it is forgotten.
const TARGET_RENEWED_MS: u64 = 10_000;
/// By how much longer a target must say it is cold than was known for others to
/// be told, in milliseconds: calls take different times on their way.
const COLD_NEWS_MS: u64 = 300;
/// Silence after which a target is forgotten, in milliseconds.
pub const TARGET_FORGOTTEN_MS: u64 = 45_000;
/// Most targets that are kept; further ones are not taken.
pub const MAX_TARGETS: usize = 8_192;
/// Most daemons that are kept; further ones are not taken.
pub const MAX_DAEMONS: usize = 4_096;
/// A record and when its subject last spoke, by this process's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Observed<T> {
    /// What was said.
    pub record: T,
    /// When it was last said.
    pub at: Millis,
    /// When it last changed, in the order of this directory.
    pub changes: Changes,
}

/// What hearing of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// Nothing: it was older than what is known.
    Stale,
    /// Only the time at which it was last heard.
    Renewed,
    /// What is known of it.
    Changed,
}

/// All that one daemon knows of targets and daemons.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    pub(crate) daemons: BTreeMap<InstanceId, Observed<DaemonRecord>>,
    pub(crate) targets: BTreeMap<TargetId, Observed<TargetRecord>>,
    /// Number of the last change; each change gets the next one.
    pub(crate) position: u64,
    pub(crate) slots: Slots,
    pub(crate) limits_heard: WordsHeard,
}

impl Directory {
    /// Knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of the last change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Takes what a target said `age_ms` ago.
    pub fn merge_target(&mut self, now: Millis, record: TargetRecord, age_ms: u64) -> TargetChange {
        let at = Millis(now.0.saturating_sub(age_ms));
        let Some(known) = self.targets.get(&record.id) else {
            return self.add_target(at, record);
        };
        match begins(&known.record, record.born_ms) {
            Begins::Later => {
                self.targets.remove(&record.id);
                self.limits_heard.remove(&record.id);
                return self.add_target(at, record);
            }
            Begins::Earlier => return TargetChange::Stale,
            Begins::Same => {}
        }
        let has_limit_changed = self.take_limit(now, &record);
        let change = self.hear_same_life(at, record);
        if has_limit_changed {
            TargetChange::Changed
        } else {
            change
        }
    }

    /// Takes what the known life of a target said, apart from its limit.
    fn hear_same_life(&mut self, at: Millis, record: TargetRecord) -> TargetChange {
        let position = self.position + 1;
        let Some(known) = self.targets.get_mut(&record.id) else {
            return TargetChange::Stale;
        };
        let life = known.record.life.max(record.life);
        if record.sequence < known.record.sequence {
            // A late call can still tell that the target leaves.
            let changed = life > known.record.life;
            known.record.life = life;
            if !changed {
                return TargetChange::Stale;
            }
            known.changes.note_record(position, at);
            self.position = position;
            return TargetChange::Changed;
        }
        let has_turned_cold = turned_cold(known, &record, at);
        known.at = known.at.max(at);
        // A word without a birth is not of another life, and the birth stays known.
        let born_ms = record.born_ms.max(known.record.born_ms);
        let next = TargetRecord {
            life,
            born_ms,
            limit: known.record.limit,
            ..record
        };
        let mut renewed = next.clone();
        renewed.sequence = known.record.sequence;
        renewed.cold_left_ms = known.record.cold_left_ms;
        let change = if renewed == known.record && !has_turned_cold {
            TargetChange::Renewed
        } else {
            TargetChange::Changed
        };
        known.record = next;
        let passed_on_at = known.changes.record_at;
        if change == TargetChange::Changed || known.at.since(passed_on_at) >= TARGET_RENEWED_MS {
            known.changes.note_record(position, known.at);
            self.position = position;
        }
        change
    }

    fn add_target(&mut self, at: Millis, record: TargetRecord) -> TargetChange {
        if self.targets.len() >= MAX_TARGETS {
            return TargetChange::Stale;
        }
        // An address has one life at a time: the one that was heard last.
        let others = self.targets.values_mut().filter(|other| {
            other.record.address == record.address && other.record.life != TargetLifecycle::Gone
        });
        let mut life = record.life;
        for other in others {
            if other.at <= at {
                other.record.life = TargetLifecycle::Gone;
                self.position += 1;
                other.changes.note_record(self.position, at);
            } else {
                life = TargetLifecycle::Gone;
            }
        }
        let record = TargetRecord { life, ..record };
        self.position += 1;
        let changes = Changes::new(self.position, at);
        let heard = Observed {
            record,
            at,
            changes,
        };
        self.targets.insert(heard.record.id.clone(), heard);
        TargetChange::Changed
    }

    /// Marks a target as gone; true if that is news.
    pub fn target_gone(&mut self, now: Millis, id: &TargetId) -> bool {
        match self.targets.get_mut(id) {
            Some(known) => {
                let news = known.record.life != TargetLifecycle::Gone;
                known.record.life = TargetLifecycle::Gone;
                known.at = known.at.max(now);
                if news {
                    self.position += 1;
                    known.changes.note_record(self.position, now);
                }
                news
            }
            None => false,
        }
    }

    /// Takes that the life of a target that began at `born_ms` said in an answer
    /// that it leaves; true if that is news. Its heartbeat may not say so, or may
    /// not be acknowledged anywhere.
    pub fn target_leaves(&mut self, now: Millis, id: &TargetId, born_ms: u64) -> bool {
        let Some(known) = self.targets.get_mut(id) else {
            return false;
        };
        if !begins_same(&known.record, born_ms) || known.record.life != TargetLifecycle::Ready {
            return false;
        }
        known.record.life = TargetLifecycle::Draining;
        self.position += 1;
        known.changes.note_record(self.position, now);
        true
    }

    /// The target that was heard last at `address`, if it is not gone.
    pub fn target_at(&self, address: SocketAddr) -> Option<&Observed<TargetRecord>> {
        let is_there = |heard: &&Observed<TargetRecord>| {
            heard.record.address == address && heard.record.life != TargetLifecycle::Gone
        };
        self.targets.values().find(is_there)
    }

    /// Takes what a daemon said `age_ms` ago; true if that is more than a
    /// sign of life.
    pub fn merge_daemon(&mut self, now: Millis, record: DaemonRecord, age_ms: u64) -> bool {
        let at = Millis(now.0.saturating_sub(age_ms));
        let position = self.position + 1;
        let Some(known) = self.daemons.get_mut(&record.instance) else {
            if self.daemons.len() < MAX_DAEMONS {
                self.position = position;
                let heard = Observed {
                    at,
                    changes: Changes {
                        slot: self.slots.take(),
                        ..Changes::new(position, at)
                    },
                    record,
                };
                self.daemons.insert(heard.record.instance.clone(), heard);
            }
            return true;
        };
        let same_life = known.record.incarnation == record.incarnation;
        let older = if same_life {
            record.sequence < known.record.sequence
        } else {
            at < known.at
        };
        if older {
            return false;
        }
        known.at = known.at.max(at);
        if same_life && record.sequence == known.record.sequence {
            // Entries leave out the pieces of agents.
            if !known.record.pieces.is_empty() || record.pieces.is_empty() {
                return false;
            }
        }
        let difference = Difference::between(&known.record, &record);
        known.record = record;
        if difference.is_none() {
            return false;
        }
        known.changes.note(difference, position, at);
        self.position = position;
        true
    }

    /// Drops what was not renewed for long.
    pub fn expire(&mut self, now: Millis) {
        let slots = &mut self.slots;
        self.daemons.retain(|_, daemon| {
            let is_kept = now.since(daemon.at) < DAEMON_FORGOTTEN_MS;
            if !is_kept {
                slots.give_back(daemon.changes.slot);
            }
            is_kept
        });
        self.targets.retain(|_, target| {
            let limit = match target.record.life {
                TargetLifecycle::Gone => GONE_REMEMBERED_MS,
                _ => TARGET_FORGOTTEN_MS,
            };
            now.since(target.at) < limit
        });
        self.expire_limits();
    }

    /// All targets, also those that are gone.
    pub fn targets(&self) -> impl Iterator<Item = &Observed<TargetRecord>> {
        self.targets.values()
    }

    /// The target of that identity.
    pub fn target(&self, id: &TargetId) -> Option<&Observed<TargetRecord>> {
        self.targets.get(id)
    }

    /// Number of targets, also those that are gone.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Number of daemons.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// All daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Observed<DaemonRecord>> {
        self.daemons.values()
    }

    /// The daemon of that instance.
    pub fn daemon(&self, instance: &InstanceId) -> Option<&Observed<DaemonRecord>> {
        self.daemons.get(instance)
    }

    /// The agent beside the engine at `address`.
    pub fn agent_for_engine(&self, address: SocketAddr) -> Option<&Observed<DaemonRecord>> {
        self.daemons
            .values()
            .find(|daemon| daemon.record.engine == Some(address))
    }

    /// The agents by the addresses of their engines.
    pub fn agents(&self) -> HashMap<SocketAddr, &Observed<DaemonRecord>> {
        let with_engine = |daemon| {
            let daemon: &Observed<DaemonRecord> = daemon;
            daemon.record.engine.map(|engine| (engine, daemon))
        };
        self.daemons.values().filter_map(with_engine).collect()
    }

    /// Entries that were heard lately and are not leaving.
    pub fn ready_entries(&self, now: Millis) -> impl Iterator<Item = &DaemonRecord> {
        let ready = move |daemon: &&Observed<DaemonRecord>| {
            daemon.record.role == DaemonRole::Entry
                && daemon.record.state == DaemonState::Ready
                && now.since(daemon.at) < DAEMON_SUSPECT_MS
        };
        self.daemons
            .values()
            .filter(ready)
            .map(|heard| &heard.record)
    }
}

/// Which life of a target a birth is of, seen from a record of it.
enum Begins {
    Earlier,
    Same,
    Later,
}

/// Of two records under one identity the one that was born later is of a new life,
/// which knows and holds nothing of the former. Without both births they are of
/// the same.
fn begins(known: &TargetRecord, born_ms: u64) -> Begins {
    if known.born_ms == 0 || born_ms == 0 || known.born_ms == born_ms {
        Begins::Same
    } else if born_ms > known.born_ms {
        Begins::Later
    } else {
        Begins::Earlier
    }
}

/// Whether a word of the life that began at `born_ms` is of the known one.
pub(crate) fn begins_same(known: &TargetRecord, born_ms: u64) -> bool {
    matches!(begins(known, born_ms), Begins::Same)
}

/// Whether a target says that it is cold for longer than was known. That the
/// time passes is no news.
fn turned_cold(known: &Observed<TargetRecord>, next: &TargetRecord, at: Millis) -> bool {
    let known_until = known.at + known.record.cold_left_ms;
    next.cold_left_ms > 0 && at + next.cold_left_ms > known_until + COLD_NEWS_MS
}
