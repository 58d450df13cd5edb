//! Limit on the slots used by overdue requests, which can no longer meet their latency
//! target.
//!
//! Each overdue request that runs may delay another request. The spare capacity differs
//! between deployments and over time, and an entry can observe it: requests that are on
//! time either find slots, or find none while overdue requests run. Requests that are
//! restricted to some regions are measured against the slots of those regions.

use moleroad_types::prelude::{AllowedRegions, Region};
use std::collections::BTreeMap;

/// Maximum share of the slots.
const MAX_SHARE: f64 = 0.3;
/// Minimum share of the slots, so that some overdue requests are always served.
const MIN_SHARE: f64 = 0.03;
/// Factor applied for each request that found no slot in time while overdue ones ran.
const DECREASE_FACTOR: f64 = 0.85;
/// Increase for each request that found a slot in time.
const INCREASE_STEP: f64 = 0.004;

/// Share of this entry's slots that overdue requests may use, adjusted by additive
/// increase and multiplicative decrease.
#[derive(Clone, Debug, PartialEq)]
pub struct OverdueShare {
    share: f64,
    running: BTreeMap<Region, u32>,
}

impl Default for OverdueShare {
    fn default() -> Self {
        Self {
            share: MAX_SHARE,
            running: BTreeMap::new(),
        }
    }
}

impl OverdueShare {
    /// Records that a request found a slot in time.
    pub fn record_hit(&mut self) {
        self.share = (self.share + INCREASE_STEP).min(MAX_SHARE);
    }

    /// Records that a request found no slot in time.
    pub fn record_miss(&mut self) {
        if self.running_in(&AllowedRegions::all()) > 0 {
            self.share = (self.share * DECREASE_FACTOR).max(MIN_SHARE);
        }
    }

    /// Records that an overdue request is sent to a target in `region`.
    pub fn started(&mut self, region: &Region) {
        *self.running.entry(region.clone()).or_default() += 1;
    }

    /// Records the end of an overdue request at a target in `region`.
    pub fn ended(&mut self, region: &Region) {
        if let Some(running) = self.running.get_mut(region) {
            *running = running.saturating_sub(1);
        }
    }

    /// Returns whether another overdue request restricted to `regions` may be sent,
    /// where `slots` is this entry's share of all slots there.
    pub fn admits(&self, slots: f64, regions: &AllowedRegions) -> bool {
        f64::from(self.running_in(regions)) < (slots * self.share).max(1.0)
    }

    fn running_in(&self, regions: &AllowedRegions) -> u32 {
        let allowed = |(region, _): &(&Region, &u32)| regions.contains(region);
        let running = self.running.iter().filter(allowed);
        running.map(|(_, running)| running).sum()
    }
}
