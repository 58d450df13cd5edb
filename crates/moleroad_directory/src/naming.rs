//! Which entries are named to a caller that asks where to go.

use crate::daemon::DaemonRecord;
use crate::directory::Directory;
use moleroad_types::prelude::{AllowedRegions, Millis, Region};
use std::net::SocketAddr;

/// Fewest entries named to a caller, if there are that many.
const FEWEST_NAMED: usize = 2;
/// Most entries named to a caller.
const MOST_NAMED: usize = 64;

impl Directory {
    /// Addresses for a caller in `hall` and `region` whose requests `allowed`
    /// regions may serve: those of its own data hall, with its region's and then
    /// those of allowed regions where there are too few. Others are named only
    /// when there is none of these: an entry there would hold a body where it
    /// may not be.
    pub fn addresses_for(
        &self,
        now: Millis,
        hall: &str,
        region: &str,
        allowed: &AllowedRegions,
    ) -> Vec<SocketAddr> {
        let mut ranked: Vec<(Nearness, SocketAddr)> = self
            .ready_entries(now)
            .filter_map(|entry| Some((nearness(entry, hall, region, allowed), entry.frontend?)))
            .collect();
        ranked.sort();
        let count = |least: Nearness| ranked.iter().filter(|(near, _)| *near <= least).count();
        let limit = if count(Nearness::Hall) >= FEWEST_NAMED {
            Nearness::Hall
        } else if count(Nearness::Region) >= FEWEST_NAMED {
            Nearness::Region
        } else if count(Nearness::AllowedRegion) > 0 {
            Nearness::AllowedRegion
        } else {
            Nearness::Elsewhere
        };
        let named = ranked.iter().filter(|(near, _)| *near <= limit);
        named
            .map(|(_, address)| *address)
            .take(MOST_NAMED)
            .collect()
    }
}

/// Where an entry stands for a caller, the best first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Nearness {
    Hall,
    Region,
    AllowedRegion,
    Elsewhere,
}

fn nearness(entry: &DaemonRecord, hall: &str, region: &str, allowed: &AllowedRegions) -> Nearness {
    if entry.hall == hall {
        Nearness::Hall
    } else if entry.region == region {
        Nearness::Region
    } else if allowed.contains(&Region::new(entry.region.as_str())) {
        Nearness::AllowedRegion
    } else {
        Nearness::Elsewhere
    }
}
