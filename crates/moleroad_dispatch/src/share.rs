//! Sharing out the places at a target among the entries.
//!
//! Entries that see the same report of a nearly full target would all send to
//! its last free place. So that they need not ask each other, each works out
//! from what all know which of the target's places are its own.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// One entry and how many requests it has to place.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryDemand<'a> {
    /// Name, the same for all who reckon.
    pub entry: &'a str,
    /// Requests in a second.
    pub requests_per_s: f64,
}

/// Part of the mean demand that an entry counts with at least: one that has
/// just begun needs places too.
const LEAST_PART: f64 = 0.25;

/// What belongs to one entry of the places at every target.
///
/// All entries that reckon with the same demands come to numbers that add up to
/// the places of a target. The demands are read once, so that a target costs the
/// same however many entries there are.
#[derive(Clone, Copy, Debug)]
pub struct SlotShares {
    /// Part of all demand that comes before the entry's own, and up to its end.
    own: Option<(f64, f64)>,
    /// Whether there are other entries.
    is_shared: bool,
}

impl SlotShares {
    /// Those of the entry `own` among `entries`.
    pub fn new<'a>(own: &str, entries: impl IntoIterator<Item = EntryDemand<'a>>) -> Self {
        let entries: Vec<EntryDemand<'a>> = entries.into_iter().collect();
        let total: f64 = entries.iter().map(|entry| entry.requests_per_s).sum();
        let least = (total / entries.len().max(1) as f64 * LEAST_PART).max(0.001);
        let demand = |entry: &EntryDemand<'_>| entry.requests_per_s.max(least);
        let total: f64 = entries.iter().map(demand).sum();
        let mut reached = 0.0;
        let mut found = None;
        for entry in &entries {
            let next = reached + demand(entry);
            if entry.entry == own {
                found = Some((reached / total, next / total));
            }
            reached = next;
        }
        Self {
            own: found,
            is_shared: entries.len() >= 2,
        }
    }

    /// The number of the `places` at `target` that belong to the entry.
    pub fn of(&self, target: &str, places: u32) -> u32 {
        if !self.is_shared {
            return places;
        }
        let Some((begin, end)) = self.own else {
            return 0;
        };
        // Each target begins at another place of the row, so that what is rounded
        // down at one is rounded up at another.
        let mut hasher = DefaultHasher::new();
        target.hash(&mut hasher);
        let start = (hasher.finish() % 10_000) as f64 / 10_000.0;
        let reached = |part: f64| (start + f64::from(places) * part).floor();
        (reached(end) - reached(begin)) as u32
    }
}
