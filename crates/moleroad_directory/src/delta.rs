//! Transfer of directory changes between daemons.
//!
//! A caller passes the position up to which it knows a directory ([`Cursor`]) and
//! receives the changes after that position. It merges them with
//! [`Directory::apply_delta`].

use crate::changes::{Aged, DaemonLoad};
use crate::daemon::{DaemonRecord, DaemonRole};
use crate::directory::{Directory, Observed};
use crate::slots::{Slot, SlotAges};
use crate::target::TargetRecord;
use moleroad_types::prelude::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Position up to which a daemon knows another daemon's directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Incarnation of the daemon that owns the directory.
    pub incarnation: u64,
    /// Position of the last known change.
    pub position: u64,
}

/// The daemons that a delta request covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// No daemons.
    #[default]
    Nothing,
    /// Daemons in the callee's data hall, and daemons that call the callee directly.
    CalleesHall,
    /// All daemons.
    All,
}

/// The kind of information that the caller needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Interest {
    /// The caller routes requests or forwards records: it needs load and all targets.
    #[default]
    Requests,
    /// The caller transfers weights: it needs no load, and only its own engine among the
    /// targets.
    Weights,
}

/// Request for the changes of a directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaRequest {
    /// Daemons to include.
    pub scope: Scope,
    /// Position up to which the caller knows the directory.
    pub after: Cursor,
    /// Whether the ages of daemons are requested.
    pub lives: bool,
    /// Whether changes of pieces are requested.
    pub pieces: bool,
    /// Other information that the caller needs.
    pub interest: Interest,
    /// Whether the relays alone are sufficient if the full answer exceeds the size limit.
    pub relays_suffice: bool,
}

/// A changed daemon and its slot in the callee's answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonDelta {
    /// Slot that refers to the daemon from now on.
    pub slot: Slot,
    /// Record of the daemon, with its age.
    pub aged: Aged<DaemonRecord>,
}

/// Changed load of a daemon whose record was sent before.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotLoad {
    /// Slot of the daemon.
    pub slot: Slot,
    /// Sequence number of the daemon's record.
    pub sequence: u64,
    /// Load of the daemon.
    pub load: DaemonLoad,
    /// Time since the daemon was last heard from, in milliseconds.
    pub age_ms: u64,
}

/// Changes of a directory after a [`Cursor`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectoryDelta {
    /// Position up to which the changes are included.
    pub cursor: Cursor,
    /// Whether more changes are pending, to be requested immediately.
    pub has_more: bool,
    /// Daemons with changes other than load.
    pub daemons: Vec<DaemonDelta>,
    /// Daemons whose load alone changed.
    pub loads: Vec<SlotLoad>,
    /// Ages of the daemons in scope, if requested.
    pub ages: Option<SlotAges>,
    /// Changed targets.
    pub targets: Vec<Aged<TargetRecord>>,
}

/// Maximum number of daemon and target records in an answer. This is about 40 KB, so
/// that many simultaneous callers are answered in time over a narrow link.
pub const MAX_RECORDS: usize = 192;

/// Range of positions that an answer covers.
#[derive(Clone, Copy)]
struct Span {
    /// Last position that the caller knows.
    after: u64,
    /// Last position in the answer.
    until: u64,
}

impl Span {
    fn contains(self, position: u64) -> bool {
        self.after < position && position <= self.until
    }
}

impl Directory {
    /// Returns the changes after the caller's cursor. `incarnation` and `own_hall` are
    /// those of this process; the caller's own record is excluded.
    ///
    /// An answer contains at most [`MAX_RECORDS`] records, so that its size does not grow
    /// with the number of daemons. The caller requests the remaining changes with the
    /// returned cursor.
    pub fn delta(
        &self,
        now: Millis,
        incarnation: u64,
        own_hall: &str,
        caller: &InstanceId,
        request: DeltaRequest,
    ) -> DirectoryDelta {
        if request.scope == Scope::Nothing {
            return DirectoryDelta {
                cursor: Cursor {
                    incarnation,
                    position: self.position,
                },
                ..DirectoryDelta::default()
            };
        }
        if request.relays_suffice && self.daemons.len() + self.targets.len() > MAX_RECORDS {
            return self.relays_only(now, incarnation, caller);
        }
        let is_wanted = |observed: &&Observed<DaemonRecord>| {
            let is_in_scope = request.scope == Scope::All
                || observed.record.hall == own_hall
                || observed.is_in_direct_contact(now);
            is_in_scope && observed.record.instance != *caller
        };
        let after = match request.after {
            known if known.incarnation == incarnation => known.position,
            _ => 0,
        };
        let daemons = || self.daemons.values().filter(is_wanted);
        let targets = || {
            self.targets
                .values()
                .filter(|observed| self.is_relevant(observed, caller, request))
        };
        let positions = daemons()
            .filter_map(|observed| observed.changes.first_record_after(after, request.pieces))
            .chain(targets().map(|observed| observed.changes.record));
        let until = last_position_in_page(
            positions.filter(|position| *position > after),
            self.position,
        );
        let span = Span { after, until };
        let mut delta = DirectoryDelta {
            cursor: Cursor {
                incarnation,
                position: until,
            },
            has_more: until < self.position,
            ..DirectoryDelta::default()
        };
        for observed in daemons() {
            delta.add(now, observed, span, request);
        }
        if request.lives && !delta.has_more {
            delta.ages = Some(SlotAges::of(now, daemons()));
        }
        let changed = targets().filter(|target| span.contains(target.changes.record));
        delta.targets = changed.map(|target| target.aged(now)).collect();
        delta
    }

    /// Returns whether a target is included in the answer to `caller`.
    fn is_relevant(
        &self,
        target: &Observed<TargetRecord>,
        caller: &InstanceId,
        request: DeltaRequest,
    ) -> bool {
        let caller = self.daemons.get(caller);
        let is_engine =
            |caller: &Observed<DaemonRecord>| caller.record.engine == Some(target.record.address);
        request.wants_load() || caller.is_none_or(is_engine)
    }

    /// Returns the relays of all data halls, for a daemon that is starting up. It
    /// receives the rest from the relay of its own hall, so that few answers contain the
    /// whole directory.
    fn relays_only(&self, now: Millis, incarnation: u64, caller: &InstanceId) -> DirectoryDelta {
        let halls = self.entry_halls().into_iter();
        let relays = halls.flat_map(|hall| self.relays(now, hall));
        let others = relays.filter(|relay| relay.instance != *caller);
        let observed = others.filter_map(|relay| self.daemons.get(&relay.instance));
        DirectoryDelta {
            cursor: Cursor {
                incarnation,
                position: 0,
            },
            daemons: observed
                .map(|observed| DaemonDelta::of(now, observed))
                .collect(),
            ..DirectoryDelta::default()
        }
    }
}

impl DeltaRequest {
    fn wants_load(&self) -> bool {
        self.interest == Interest::Requests
    }
}

/// Returns the last of `positions` that fits into an answer, or `newest` if all fit.
fn last_position_in_page(positions: impl Iterator<Item = u64>, newest: u64) -> u64 {
    let mut positions: Vec<u64> = positions.collect();
    if positions.len() <= MAX_RECORDS {
        return newest;
    }
    let (_, last, _) = positions.select_nth_unstable(MAX_RECORDS - 1);
    *last
}

impl DaemonDelta {
    fn of(now: Millis, observed: &Observed<DaemonRecord>) -> Self {
        Self {
            slot: observed.changes.slot,
            aged: observed.aged(now),
        }
    }
}

impl DirectoryDelta {
    /// Returns whether the caller is now up to date with the callee.
    pub fn is_complete(&self) -> bool {
        !self.has_more && self.cursor.position > 0
    }

    fn add(
        &mut self,
        now: Millis,
        observed: &Observed<DaemonRecord>,
        span: Span,
        request: DeltaRequest,
    ) {
        let (record, changes) = (&observed.record, observed.changes);
        if span.contains(changes.record) || (request.pieces && span.contains(changes.pieces)) {
            let mut delta = DaemonDelta::of(now, observed);
            if !request.pieces && record.role == DaemonRole::Agent {
                delta.aged.record.pieces.clear();
            }
            self.daemons.push(delta);
        } else if changes.record <= span.until
            && span.contains(changes.load)
            && request.wants_load()
        {
            self.loads.push(SlotLoad {
                slot: changes.slot,
                sequence: record.sequence,
                load: DaemonLoad::of(record),
                age_ms: now.since(observed.last_seen),
            });
        }
    }
}
