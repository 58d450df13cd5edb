//! Which target holds an address.
//!
//! A target that crashes is followed by another one at the same address, and neither says
//! so. The target that was heard from last holds the address. That is an inference and no
//! message makes it final: a call may arrive late, after the target that sent it has
//! ended; the one that lives calls again and holds the address from then on. That a target
//! has ended is final only where it says so itself.

use crate::directory::{Directory, Observed};
use crate::target::{TargetId, TargetLifecycle, TargetRecord};
use moleroad_types::prelude::Millis;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Maximum number of changes of holders that wait to be taken.
const MAX_HOLDER_CHANGES: usize = 256;

/// An address passed from one target to another, as far as this daemon knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderChange {
    /// The address.
    pub address: SocketAddr,
    /// Target that held it.
    pub from: TargetId,
    /// Target that holds it now.
    pub to: TargetId,
}

/// The targets known at an address, including those that ended.
#[derive(Clone, Debug, Default)]
struct Address {
    targets: Vec<TargetId>,
    /// Latest time at which a target that does not hold the address was heard from
    /// according to any record, also according to one that was ignored here: the daemon
    /// that sent it may take that target for the holder.
    contested_at: Millis,
}

/// All known addresses of targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addresses {
    known: HashMap<SocketAddr, Address>,
    changes: Vec<HolderChange>,
}

impl Addresses {
    pub(crate) fn add(&mut self, address: SocketAddr, id: &TargetId) {
        let targets = &mut self.known.entry(address).or_default().targets;
        if !targets.contains(id) {
            targets.push(id.clone());
        }
    }

    pub(crate) fn remove(&mut self, address: SocketAddr, id: &TargetId) {
        let Some(known) = self.known.get_mut(&address) else {
            return;
        };
        known.targets.retain(|other| other != id);
        if known.targets.is_empty() {
            self.known.remove(&address);
        }
    }

    fn targets_at(&self, address: SocketAddr) -> &[TargetId] {
        let known = self.known.get(&address);
        known.map_or(&[], |known| known.targets.as_slice())
    }

    fn record_change(&mut self, address: SocketAddr, from: TargetId, to: TargetId) {
        if self.changes.len() < MAX_HOLDER_CHANGES {
            self.changes.push(HolderChange { address, from, to });
        }
    }
}

impl Directory {
    /// Returns the target that holds `address`, unless it has ended.
    pub fn target_at(&self, address: SocketAddr) -> Option<&Observed<TargetRecord>> {
        let holder = self.holder(address);
        holder.filter(|holder| holder.record.life != TargetLifecycle::Gone)
    }

    /// Returns the lifecycle state of a target, which is `Gone` also while another one
    /// holds its address.
    pub fn lifecycle(&self, target: &Observed<TargetRecord>) -> TargetLifecycle {
        let holder = self.holder(target.record.address);
        let is_holder = holder.is_none_or(|holder| holder.record.id == target.record.id);
        if is_holder {
            target.record.life
        } else {
            TargetLifecycle::Gone
        }
    }

    /// Takes the changes of holders since the last call.
    pub fn take_holder_changes(&mut self) -> Vec<HolderChange> {
        std::mem::take(&mut self.addresses.changes)
    }

    /// Returns the target heard from last at `address`. It may have ended; the others did
    /// so before.
    pub(crate) fn holder(&self, address: SocketAddr) -> Option<&Observed<TargetRecord>> {
        let ids = self.addresses.targets_at(address).iter();
        let known = ids.filter_map(|id| self.targets.get(id));
        known.max_by_key(|target| (target.last_seen, &target.record.id))
    }

    /// Updates who holds `address` after a record said that `heard` was heard from at
    /// `heard_at`. Returns whether the address passed on from `before`.
    ///
    /// The holder is forwarded if it was last forwarded before another target was heard
    /// from, so that all daemons come to the same holder.
    pub(crate) fn update_holder(
        &mut self,
        address: SocketAddr,
        before: Option<TargetId>,
        heard: &TargetId,
        heard_at: Millis,
    ) -> bool {
        let Some(holder) = self.holder(address) else {
            return false;
        };
        let id = holder.record.id.clone();
        let forwarded_at = holder.changes.record_at;
        let others = self.addresses.targets_at(address).iter();
        let others = others.filter(|other| **other != id);
        let last_seen = others.filter_map(|other| Some(self.targets.get(other)?.last_seen));
        let last_seen = last_seen.max();
        if let Some(known) = self.addresses.known.get_mut(&address) {
            if *heard != id {
                known.contested_at = known.contested_at.max(heard_at);
            }
            if last_seen.is_some_and(|seen| forwarded_at <= seen.max(known.contested_at)) {
                self.forward_target(&id);
            }
        }
        match before.filter(|before| *before != id) {
            Some(before) => {
                self.addresses.record_change(address, before, id);
                true
            }
            None => false,
        }
    }

    /// Marks the record of a target as changed, so that it is forwarded.
    pub(crate) fn forward_target(&mut self, id: &TargetId) {
        if let Some(known) = self.targets.get_mut(id) {
            self.position += 1;
            known.changes.mark_record(self.position, known.last_seen);
        }
    }
}

/// Targets that ended before anything else was known of them, and when that was learned.
pub(crate) type EndedUnknown = BTreeMap<TargetId, Millis>;
