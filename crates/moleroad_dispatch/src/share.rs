//! Division of each target's slots among the entries.
//!
//! Entries that see the same report of a nearly full target would all send to its last
//! free slot. To avoid that without coordination, each computes from shared data which
//! of the target's slots are its own.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// An entry and the number of requests it has to place.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryDemand<'a> {
    /// Name, the same in the computation of every entry.
    pub entry: &'a str,
    /// Requests per second.
    pub requests_per_s: f64,
}

/// Minimum demand of an entry, as a fraction of the mean: one that has just started
/// needs slots too.
const MIN_DEMAND_FRACTION: f64 = 0.25;

/// One entry's share of the slots at every target.
///
/// The shares of all entries that compute with the same demands add up to the slots of
/// a target. The demands are read once, so that the cost per target does not depend on
/// the number of entries.
#[derive(Clone, Copy, Debug)]
pub struct SlotShares {
    /// Range of the total demand, as fractions, that belongs to this entry.
    own_range: Option<(f64, f64)>,
    /// Whether there are other entries.
    is_shared: bool,
}

impl SlotShares {
    /// Computes the share of the entry `own` among `entries`.
    pub fn new<'a>(own: &str, entries: impl IntoIterator<Item = EntryDemand<'a>>) -> Self {
        let entries: Vec<EntryDemand<'a>> = entries.into_iter().collect();
        let total: f64 = entries.iter().map(|entry| entry.requests_per_s).sum();
        let min_demand = (total / entries.len().max(1) as f64 * MIN_DEMAND_FRACTION).max(0.001);
        let demand = |entry: &EntryDemand<'_>| entry.requests_per_s.max(min_demand);
        let total: f64 = entries.iter().map(demand).sum();
        let mut reached = 0.0;
        let mut own_range = None;
        for entry in &entries {
            let next = reached + demand(entry);
            if entry.entry == own {
                own_range = Some((reached / total, next / total));
            }
            reached = next;
        }
        Self {
            own_range,
            is_shared: entries.len() >= 2,
        }
    }

    /// Returns how many of the `slots` at `target` belong to the entry.
    pub fn of(&self, target: &str, slots: u32) -> u32 {
        if !self.is_shared {
            return slots;
        }
        let Some((begin, end)) = self.own_range else {
            return 0;
        };
        // Each target starts at a different offset, so that a share that is rounded
        // down at one target is rounded up at another.
        let mut hasher = DefaultHasher::new();
        target.hash(&mut hasher);
        let start = (hasher.finish() % 10_000) as f64 / 10_000.0;
        let reached = |fraction: f64| (start + f64::from(slots) * fraction).floor();
        (reached(end) - reached(begin)) as u32
    }
}
