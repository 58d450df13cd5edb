//! One daemon's knowledge of evacuated halls: their states, when they changed, and how
//! many requests were diverted from them.

use crate::evacuations::{Evacuations, HallState};
use crate::view::View;
use moleroad_dispatch::prelude::{Exclusion, Requirements, exclusion};
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// State of a hall and the time since it changed, as exchanged between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallUpdate {
    /// State of the hall.
    pub state: HallState,
    /// Time since the change, as far as known, in milliseconds.
    pub age_ms: u64,
}

/// Updates by hall name.
pub type HallUpdates = BTreeMap<String, HallUpdate>;

/// Returns the states as updates with age 0.
pub fn current_updates(evacuations: &Evacuations) -> HallUpdates {
    let current =
        |(hall, state): (&str, HallState)| (hall.to_string(), HallUpdate { state, age_ms: 0 });
    evacuations.iter().map(current).collect()
}

/// Path on which an update of a hall arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// This process's member of the control group.
    Log,
    /// The leader's answer to an operator's call or read.
    Answer,
    /// The leader's push to relays.
    Push,
    /// A gossip message or its answer.
    Greeting,
    /// A fetch of the whole state.
    Pull,
}

/// A change of a hall of which this daemon learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallChange {
    /// The hall.
    pub hall: String,
    /// Its new state and age.
    pub update: HallUpdate,
    /// Number of requests diverted from it in its previous state.
    pub diverted: u64,
}

/// When halls changed, and the number of requests diverted from each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownHalls {
    changed_at: BTreeMap<String, Millis>,
    diverted: BTreeMap<String, u64>,
}

impl KnownHalls {
    /// Records that the newest change of `hall` happened at `at`. An earlier time for
    /// the same change replaces a later one, since some paths do not carry the age.
    fn record(&mut self, hall: &str, at: Millis, is_new: bool) {
        let known = self.changed_at.entry(hall.to_string()).or_insert(at);
        *known = if is_new { at } else { (*known).min(at) };
    }
}

impl View {
    /// Returns whether the targets of `hall` receive no requests.
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.state.evacuations.state_of(hall).evacuated
    }

    /// Returns when `hall` was restored, as far as known; `None` if it never was or is
    /// evacuated.
    pub fn restored_at(&self, hall: &str) -> Option<Millis> {
        let changed_at = self.halls.changed_at.get(hall).copied();
        changed_at.filter(|_| !self.is_evacuated(hall))
    }

    /// Merges the states of halls; returns the changes.
    pub fn merge_halls(&mut self, now: Millis, updates: &HallUpdates) -> Vec<HallChange> {
        let mut changes = Vec::new();
        for (hall, update) in updates {
            let is_new = self.state.evacuations.merge_hall(hall, update.state);
            let known = self.state.evacuations.state_of(hall);
            if known.revision != update.state.revision {
                continue;
            }
            let at = Millis(now.0.saturating_sub(update.age_ms));
            self.halls.record(hall, at, is_new);
            if is_new {
                changes.push(HallChange {
                    hall: hall.clone(),
                    update: *update,
                    diverted: self.halls.diverted.remove(hall).unwrap_or(0),
                });
            }
        }
        changes
    }

    /// Returns the states of halls and their ages, for another daemon.
    pub fn hall_updates(&self, now: Millis) -> HallUpdates {
        let aged = |(hall, state): (&str, HallState)| {
            let at = self.halls.changed_at.get(hall).copied();
            let age_ms = at.map_or(0, |at| now.since(at));
            (hall.to_string(), HallUpdate { state, age_ms })
        };
        self.state.evacuations.iter().map(aged).collect()
    }

    /// Returns whether `updates` includes everything that is known here about halls.
    pub fn has_no_newer_halls_than(&self, updates: &HallUpdates) -> bool {
        let is_known = |(hall, state): (&str, HallState)| {
            updates
                .get(hall)
                .is_some_and(|update| update.state.revision >= state.revision)
        };
        self.state.evacuations.iter().all(is_known)
    }

    /// Counts a request of `service` for each evacuated hall that it is diverted from.
    pub fn count_diversions(&mut self, service: &str, needs: Requirements<'_>) -> Diversions {
        let mut diverted = Diversions::default();
        let any = self
            .state
            .evacuations
            .iter()
            .any(|(_, state)| state.evacuated);
        let Some(slots) = self.services.get(service).filter(|_| any) else {
            return diverted;
        };
        let excluded = slots.targets.candidates().iter();
        let excluded = excluded.filter(|c| exclusion(c, needs) == Some(Exclusion::Evacuated));
        for candidate in excluded {
            if let Some(observed) = self.directory.target(&candidate.id) {
                diverted.halls.insert(observed.record.hall.clone());
            }
        }
        for hall in &diverted.halls {
            let count = self.halls.diverted.entry(hall.clone()).or_default();
            *count += 1;
            if *count == 1 {
                diverted.first.insert(hall.clone());
            }
        }
        diverted
    }
}

/// Halls that a request was diverted from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diversions {
    /// All of them.
    pub halls: BTreeSet<String>,
    /// Halls that no request was diverted from since their last change.
    pub first: BTreeSet<String>,
}
