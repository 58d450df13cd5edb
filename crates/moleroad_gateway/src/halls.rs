//! What one daemon knows of evacuated halls: their states, when they changed,
//! and how many requests were kept away from them.

use crate::evacuations::{Evacuations, HallState};
use crate::view::View;
use moleroad_dispatch::prelude::{Exclusion, Requirements, barrier};
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a hall and how long ago it changed, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallUpdate {
    /// Its state.
    pub state: HallState,
    /// How long ago it changed, as far as known, in milliseconds.
    pub age_ms: u64,
}

/// News of halls by their names.
pub type HallUpdates = BTreeMap<String, HallUpdate>;

/// What is in force, as news of this moment.
pub fn news_of(evacuations: &Evacuations) -> HallUpdates {
    let fresh =
        |(hall, state): (&str, HallState)| (hall.to_string(), HallUpdate { state, age_ms: 0 });
    evacuations.iter().map(fresh).collect()
}

/// Which way news of a hall came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The member of this process.
    Log,
    /// The leader's answer to an operator's call or read.
    Answer,
    /// The leader's message to relays.
    Push,
    /// A greeting or its answer.
    Greeting,
    /// A whole state that was asked for.
    Pull,
}

/// That a hall changed, as this daemon learned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallChange {
    /// The hall.
    pub hall: String,
    /// Its new state and its age.
    pub news: HallUpdate,
    /// Requests that were kept away from it until now.
    pub kept_away: u64,
}

/// When halls changed, and the requests that were kept away from each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownHalls {
    changed_at: BTreeMap<String, Millis>,
    kept_away: BTreeMap<String, u64>,
}

impl KnownHalls {
    /// Notes that the newest change of `hall` was at `at`; an earlier time for
    /// the same change is believed, since news has lost its age on some ways.
    fn note(&mut self, hall: &str, at: Millis, is_new: bool) {
        let known = self.changed_at.entry(hall.to_string()).or_insert(at);
        *known = if is_new { at } else { (*known).min(at) };
    }
}

impl View {
    /// Whether the targets of `hall` are to get no requests.
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.state.evacuations.of(hall).evacuated
    }

    /// When `hall` was taken back, as far as this daemon learned; `None` if it
    /// never was, or is evacuated.
    pub fn restored_at(&self, hall: &str) -> Option<Millis> {
        let changed_at = self.halls.changed_at.get(hall).copied();
        changed_at.filter(|_| !self.is_evacuated(hall))
    }

    /// Learns the states of halls; returns those that are news.
    pub fn learn_halls(&mut self, now: Millis, news: &HallUpdates) -> Vec<HallChange> {
        let mut changes = Vec::new();
        for (hall, news) in news {
            let is_new = self.state.evacuations.take(hall, news.state);
            let held = self.state.evacuations.of(hall);
            if held.revision != news.state.revision {
                continue;
            }
            let at = Millis(now.0.saturating_sub(news.age_ms));
            self.halls.note(hall, at, is_new);
            if is_new {
                changes.push(HallChange {
                    hall: hall.clone(),
                    news: *news,
                    kept_away: self.halls.kept_away.remove(hall).unwrap_or(0),
                });
            }
        }
        changes
    }

    /// The states of halls and their ages, for another daemon.
    pub fn hall_updates(&self, now: Millis) -> HallUpdates {
        let aged = |(hall, state): (&str, HallState)| {
            let at = self.halls.changed_at.get(hall).copied();
            let age_ms = at.map_or(0, |at| now.since(at));
            (hall.to_string(), HallUpdate { state, age_ms })
        };
        self.state.evacuations.iter().map(aged).collect()
    }

    /// Whether `news` tells all that is known here of halls.
    pub fn has_no_newer_halls_than(&self, news: &HallUpdates) -> bool {
        let is_known = |(hall, state): (&str, HallState)| {
            news.get(hall)
                .is_some_and(|news| news.state.revision >= state.revision)
        };
        self.state.evacuations.iter().all(is_known)
    }

    /// Counts a request of `service` for the evacuated halls that it is kept
    /// away from.
    pub fn count_diversions(&mut self, service: &str, needs: Requirements<'_>) -> KeptAway {
        let mut kept_away = KeptAway::default();
        let any = self
            .state
            .evacuations
            .iter()
            .any(|(_, state)| state.evacuated);
        let Some(places) = self.services.get(service).filter(|_| any) else {
            return kept_away;
        };
        let barred = places.targets.candidates().iter();
        let barred = barred.filter(|c| barrier(c, needs) == Some(Exclusion::Evacuated));
        for candidate in barred {
            if let Some(heard) = self.directory.target(&candidate.id) {
                kept_away.halls.insert(heard.record.hall.clone());
            }
        }
        for hall in &kept_away.halls {
            let count = self.halls.kept_away.entry(hall.clone()).or_default();
            *count += 1;
            if *count == 1 {
                kept_away.first.insert(hall.clone());
            }
        }
        kept_away
    }
}

/// Halls that a request was kept away from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeptAway {
    /// All of them.
    pub halls: BTreeSet<String>,
    /// Those that no request was kept away from before, since their change.
    pub first: BTreeSet<String>,
}
