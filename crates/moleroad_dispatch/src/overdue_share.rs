//! How many places requests without hope of their wanted latency may take.
//!
//! Each of them that runs may make another late. How many places are to spare
//! differs between deployments and moments, and an entry sees it: requests that
//! come in time find places, or they do not while overdue ones run. Those that
//! some regions alone may serve are measured by the places there.

use moleroad_types::prelude::{AllowedRegions, Region};
use std::collections::BTreeMap;

/// Largest share of the places.
const MOST: f64 = 0.3;
/// Smallest share of the places: some of those that wait are served always.
const LEAST: f64 = 0.03;
/// Factor for each request that missed its time while overdue ones ran.
const SHRINK: f64 = 0.85;
/// What each request that found a place in time adds.
const GROWTH: f64 = 0.004;

/// The share of an entry's part of all places that overdue requests may take.
#[derive(Clone, Debug, PartialEq)]
pub struct OverdueShare {
    share: f64,
    running: BTreeMap<Region, u32>,
}

impl Default for OverdueShare {
    fn default() -> Self {
        Self {
            share: MOST,
            running: BTreeMap::new(),
        }
    }
}

impl OverdueShare {
    /// Notes that a request found a place in time.
    pub fn in_time_placed(&mut self) {
        self.share = (self.share + GROWTH).min(MOST);
    }

    /// Notes that a request found no place in time.
    pub fn in_time_missed(&mut self) {
        if self.running_in(&AllowedRegions::all()) > 0 {
            self.share = (self.share * SHRINK).max(LEAST);
        }
    }

    /// Notes that an overdue request is sent to a target of `region`.
    pub fn started(&mut self, region: &Region) {
        *self.running.entry(region.clone()).or_default() += 1;
    }

    /// Notes that an overdue request ended at a target of `region`.
    pub fn ended(&mut self, region: &Region) {
        if let Some(running) = self.running.get_mut(region) {
            *running = running.saturating_sub(1);
        }
    }

    /// Whether another overdue request may be sent that these regions may serve,
    /// where this entry's part of all places there is `places`.
    pub fn admits(&self, places: f64, regions: &AllowedRegions) -> bool {
        f64::from(self.running_in(regions)) < (places * self.share).max(1.0)
    }

    fn running_in(&self, regions: &AllowedRegions) -> u32 {
        let allowed = |(region, _): &(&Region, &u32)| regions.contains(region);
        let running = self.running.iter().filter(allowed);
        running.map(|(_, running)| running).sum()
    }
}
