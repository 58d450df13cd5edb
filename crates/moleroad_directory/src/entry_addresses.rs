//! Selection of the entry addresses that are returned to a caller.

use crate::daemon::DaemonRecord;
use crate::directory::Directory;
use moleroad_types::prelude::{AllowedRegions, InstanceId, Millis, Region};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Minimum number of addresses to return, if there are that many.
const MIN_ADDRESSES: usize = 2;
/// Maximum number of addresses to return.
const MAX_ADDRESSES: usize = 64;
/// Ratio of entries to relays of a data hall from which on its relays are excluded.
/// The other entries then receive at most an eighth more callers, and no caller waits
/// at an entry that forwards the records of its hall.
const ENTRIES_PER_EXCLUDED_RELAY: usize = 8;

impl Directory {
    /// Returns entry addresses for a caller in `hall` and `region` whose requests may be
    /// served in the `allowed` regions. Entries of the caller's data hall come first; if
    /// there are too few, those of its region and then those of allowed regions are
    /// added. Other entries are returned only if there are none of these, because a
    /// request body must not be held in a region that is not allowed.
    ///
    /// If there are more candidates than an answer contains, `random` selects among them,
    /// so that over many answers each is returned equally often.
    pub fn entry_addresses_for(
        &self,
        now: Millis,
        hall: &str,
        region: &str,
        allowed: &AllowedRegions,
        random: u64,
    ) -> Vec<SocketAddr> {
        let excluded = self.excluded_relays(now, hall);
        let mut ranked: Vec<(Proximity, u64, SocketAddr)> = self
            .ready_entries(now)
            .filter(|entry| !excluded.contains(&&entry.instance))
            .filter_map(|entry| {
                let proximity = proximity(entry, hall, region, allowed);
                Some((proximity, random_rank(random, entry), entry.frontend?))
            })
            .collect();
        ranked.sort();
        let count = |least: Proximity| ranked.iter().filter(|(near, ..)| *near <= least).count();
        let limit = if count(Proximity::Hall) >= MIN_ADDRESSES {
            Proximity::Hall
        } else if count(Proximity::Region) >= MIN_ADDRESSES {
            Proximity::Region
        } else if count(Proximity::AllowedRegion) > 0 {
            Proximity::AllowedRegion
        } else {
            Proximity::Elsewhere
        };
        let named = ranked.iter().filter(|(near, ..)| *near <= limit);
        named
            .map(|(_, _, address)| *address)
            .take(MAX_ADDRESSES)
            .collect()
    }

    /// Returns the relays of a data hall if the hall has enough other entries for its
    /// callers, otherwise nothing.
    fn excluded_relays(&self, now: Millis, hall: &str) -> Vec<&InstanceId> {
        let ready = self.ready_entries(now).filter(|entry| entry.hall == hall);
        let relays = self.relays(now, hall);
        if ready.count() < relays.len() * ENTRIES_PER_EXCLUDED_RELAY {
            return Vec::new();
        }
        relays.into_iter().map(|relay| &relay.instance).collect()
    }
}

fn random_rank(random: u64, entry: &DaemonRecord) -> u64 {
    let mut hasher = DefaultHasher::new();
    random.hash(&mut hasher);
    entry.instance.hash(&mut hasher);
    hasher.finish()
}

/// Proximity of an entry to a caller, nearest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    Hall,
    Region,
    AllowedRegion,
    Elsewhere,
}

fn proximity(
    entry: &DaemonRecord,
    hall: &str,
    region: &str,
    allowed: &AllowedRegions,
) -> Proximity {
    if entry.hall == hall {
        Proximity::Hall
    } else if entry.region == region {
        Proximity::Region
    } else if allowed.contains(&Region::new(entry.region.as_str())) {
        Proximity::AllowedRegion
    } else {
        Proximity::Elsewhere
    }
}
