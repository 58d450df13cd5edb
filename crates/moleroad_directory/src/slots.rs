//! Compact numbers that replace the names of daemons in a directory's answers.
//!
//! Load and liveness are sent many times a second. A name and an incarnation take
//! some 30 bytes, a slot number takes 1 to 3, and ages indexed by slot take one byte
//! per daemon. A slot is first sent with the daemon's whole record and reused for
//! another daemon only after the first one has expired from this directory.

use crate::changes::RecordVersion;
use crate::daemon::DaemonRecord;
use crate::directory::Observed;
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Number of a daemon in one directory's answers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slot(pub u32);

/// Allocator for the slots of a directory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    next: u32,
    free: BTreeSet<Slot>,
}

impl Slots {
    /// Allocates the lowest free slot.
    pub fn allocate(&mut self) -> Slot {
        self.free.pop_first().unwrap_or_else(|| {
            let slot = Slot(self.next);
            self.next += 1;
            slot
        })
    }

    /// Releases a slot.
    pub fn release(&mut self, slot: Slot) {
        self.free.insert(slot);
    }
}

/// Resolution of [`SlotAges`], in milliseconds.
const AGE_UNIT_MS: u64 = 50;
/// Marks a daemon that is not included, or was not heard from for 255 units
/// (12.75 s).
const AGE_UNKNOWN: u8 = u8::MAX;

/// Time since each daemon was last heard from, indexed by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlotAges(#[serde(with = "serde_bytes")] Vec<u8>);

impl SlotAges {
    /// Collects the ages of daemons of one directory.
    pub(crate) fn of<'a>(
        now: Millis,
        daemons: impl Iterator<Item = &'a Observed<DaemonRecord>>,
    ) -> Self {
        let mut ages = Vec::new();
        for observed in daemons {
            let index = observed.changes.slot.0 as usize;
            if index >= ages.len() {
                ages.resize(index + 1, AGE_UNKNOWN);
            }
            // Rounded up, so that no daemon appears to have been heard from more recently
            // than it was.
            let units = now.since(observed.last_seen).div_ceil(AGE_UNIT_MS);
            ages[index] = u8::try_from(units).unwrap_or(AGE_UNKNOWN);
        }
        Self(ages)
    }

    /// Returns the slots and ages, in milliseconds, of the daemons that were heard from
    /// recently.
    pub fn known_ages(&self) -> impl Iterator<Item = (Slot, u64)> {
        let known_ages = self.0.iter().enumerate();
        let known_ages = known_ages.filter(|(_, units)| **units != AGE_UNKNOWN);
        known_ages.map(|(index, units)| (Slot(index as u32), u64::from(*units) * AGE_UNIT_MS))
    }
}

/// Maps the slots in another daemon's answers to the records they refer to.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    incarnation: u64,
    versions: Vec<Option<RecordVersion>>,
}

impl SlotTable {
    /// Clears the table if `incarnation` shows that the callee restarted.
    pub fn clear_if_restarted(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.versions.clear();
        }
    }

    /// Assigns a slot to a daemon's record.
    pub fn assign(&mut self, slot: Slot, version: RecordVersion) {
        let index = slot.0 as usize;
        // Slots are bounded by the maximum number of daemons in a directory.
        if index >= crate::directory::MAX_DAEMONS {
            return;
        }
        if index >= self.versions.len() {
            self.versions.resize(index + 1, None);
        }
        self.versions[index] = Some(version);
    }

    /// Returns the record version that a slot refers to.
    pub fn get(&self, slot: Slot) -> Option<&RecordVersion> {
        self.versions.get(slot.0 as usize)?.as_ref()
    }
}
