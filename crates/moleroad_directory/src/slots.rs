//! Small numbers in place of the names of daemons, in one directory's answers.
//!
//! Load and signs of life are told many times a second. A name and an incarnation
//! take some 30 bytes, a number 1 to 3, and signs of life by number take one byte
//! a daemon. A number is told with its daemon's whole record first; it is given
//! to another daemon only when that one is forgotten here.

use crate::changes::RecordVersion;
use crate::daemon::DaemonRecord;
use crate::directory::Observed;
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The number of a daemon in one directory's answers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slot(pub u32);

/// The numbers that a directory gave.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    next: u32,
    free: BTreeSet<Slot>,
}

impl Slots {
    /// The lowest number that is free.
    pub fn take(&mut self) -> Slot {
        self.free.pop_first().unwrap_or_else(|| {
            let slot = Slot(self.next);
            self.next += 1;
            slot
        })
    }

    /// Frees a number.
    pub fn give_back(&mut self, slot: Slot) {
        self.free.insert(slot);
    }
}

/// Unit of ages in [`SlotAges`], in milliseconds.
const AGE_UNIT_MS: u64 = 50;
/// Of a daemon that is not spoken of, or was not heard for 255 units (12.75 s).
const NO_SIGN: u8 = u8::MAX;

/// How long ago each daemon spoke, by its number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlotAges(#[serde(with = "serde_bytes")] Vec<u8>);

impl SlotAges {
    /// Of these daemons of one directory.
    pub(crate) fn of<'a>(
        now: Millis,
        daemons: impl Iterator<Item = &'a Observed<DaemonRecord>>,
    ) -> Self {
        let mut ages = Vec::new();
        for heard in daemons {
            let at = heard.changes.slot.0 as usize;
            if at >= ages.len() {
                ages.resize(at + 1, NO_SIGN);
            }
            // Rounded up: nobody is taken to have spoken later than it did.
            let units = now.since(heard.at).div_ceil(AGE_UNIT_MS);
            ages[at] = u8::try_from(units).unwrap_or(NO_SIGN);
        }
        Self(ages)
    }

    /// The daemons that spoke lately, with how long ago in milliseconds.
    pub fn signs(&self) -> impl Iterator<Item = (Slot, u64)> {
        let signs = self.0.iter().enumerate();
        let signs = signs.filter(|(_, units)| **units != NO_SIGN);
        signs.map(|(at, units)| (Slot(at as u32), u64::from(*units) * AGE_UNIT_MS))
    }
}

/// Whom the numbers in another daemon's answers stand for.
#[derive(Clone, Debug, Default)]
pub struct KnownSlots {
    incarnation: u64,
    lives: Vec<Option<RecordVersion>>,
}

impl KnownSlots {
    /// Forgets all if the answers come from another life of the callee.
    pub fn begin(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.lives.clear();
        }
    }

    /// Takes that a number stands for a daemon.
    pub fn learn(&mut self, slot: Slot, life: RecordVersion) {
        let at = slot.0 as usize;
        // A callee's numbers are below the most daemons that a directory keeps.
        if at >= crate::directory::MAX_DAEMONS {
            return;
        }
        if at >= self.lives.len() {
            self.lives.resize(at + 1, None);
        }
        self.lives[at] = Some(life);
    }

    /// The daemon that a number stands for.
    pub fn life(&self, slot: Slot) -> Option<&RecordVersion> {
        self.lives.get(slot.0 as usize)?.as_ref()
    }
}
