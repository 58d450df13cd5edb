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

/// The number of the `places` at `target` that belong to `own`.
///
/// All entries that reckon with the same demands come to numbers that add up
/// to `places`.
pub fn share(own: &str, entries: &[EntryDemand<'_>], target: &str, places: u32) -> u32 {
    if entries.len() < 2 {
        return places;
    }
    let total: f64 = entries.iter().map(|entry| entry.requests_per_s).sum();
    let least = (total / entries.len() as f64 * LEAST_PART).max(0.001);
    let demand = |entry: &EntryDemand<'_>| entry.requests_per_s.max(least);
    let total: f64 = entries.iter().map(demand).sum();
    // Each target begins at another place of the row, so that what is rounded
    // down at one is rounded up at another.
    let mut hasher = DefaultHasher::new();
    target.hash(&mut hasher);
    let start = (hasher.finish() % 10_000) as f64 / 10_000.0;
    let mut reached = start;
    for entry in entries {
        let next = reached + f64::from(places) * demand(entry) / total;
        if entry.entry == own {
            return (next.floor() - reached.floor()) as u32;
        }
        reached = next;
    }
    0
}
