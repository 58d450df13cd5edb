//! Which data halls are evacuated, as agreed by the control group.
//!
//! Evacuation and restoration alternate, so a state alone cannot be merged: each hall
//! has a revision that the log increments with every change, and the higher revision
//! wins.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of changes of a hall.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HallRevision(pub u64);

/// Whether a hall is evacuated, and the revision of that state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HallState {
    /// Number of changes; the highest revision is the newest.
    pub revision: HallRevision,
    /// Whether its targets receive no requests.
    pub evacuated: bool,
}

/// An operator's order to evacuate or restore a hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// The hall.
    pub hall: String,
    /// Whether to evacuate or restore it.
    pub evacuated: bool,
    /// Revision that the daemon knew when it received the order: an order that was
    /// delayed while the hall changed must not undo that change.
    pub based_on: HallRevision,
}

/// Outcome of an order at its position in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HallOrderOutcome {
    /// The hall changed.
    Changed,
    /// The hall was already in the requested state.
    AlreadySo,
    /// The hall is in the other state because of a change after the revision on which the order is
    /// based.
    Overtaken,
}

impl HallOrderOutcome {
    /// Returns whether the hall is in the requested state.
    pub fn is_satisfied(self) -> bool {
        self != HallOrderOutcome::Overtaken
    }
}

/// Outcome of an order, and the state of the hall right after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrderResult {
    /// Outcome of the order.
    pub outcome: HallOrderOutcome,
    /// The state of its hall.
    pub state: HallState,
}

/// The states of all halls that were ever evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evacuations(BTreeMap<String, HallState>);

impl Evacuations {
    /// Returns the state of a hall.
    pub fn state_of(&self, hall: &str) -> HallState {
        self.0.get(hall).copied().unwrap_or_default()
    }

    /// Iterates over all halls that were ever evacuated.
    pub fn iter(&self) -> impl Iterator<Item = (&str, HallState)> {
        self.0.iter().map(|(hall, state)| (hall.as_str(), *state))
    }

    /// Applies an order.
    pub fn apply(&mut self, order: &HallOrder) -> HallOrderResult {
        let held = self.state_of(&order.hall);
        // Daemons may know newer state than a group that lost more disks than it
        // tolerates.
        let group_lost_state = order.based_on > held.revision;
        let outcome = if held.evacuated == order.evacuated && !group_lost_state {
            HallOrderOutcome::AlreadySo
        } else if held.revision > order.based_on {
            HallOrderOutcome::Overtaken
        } else {
            let state = HallState {
                revision: HallRevision(order.based_on.0 + 1),
                evacuated: order.evacuated,
            };
            self.0.insert(order.hall.clone(), state);
            HallOrderOutcome::Changed
        };
        HallOrderResult {
            outcome,
            state: self.state_of(&order.hall),
        }
    }

    /// Merges the state of a hall; returns true if it was newer.
    pub fn merge_hall(&mut self, hall: &str, state: HallState) -> bool {
        let is_newer = state.revision > self.state_of(hall).revision;
        if is_newer {
            self.0.insert(hall.to_string(), state);
        }
        is_newer
    }

    /// Merges newer states of `other`; returns true if anything changed.
    pub fn merge(&mut self, other: &Evacuations) -> bool {
        let mut changed = false;
        for (hall, state) in other.iter() {
            changed |= self.merge_hall(hall, state);
        }
        changed
    }
}
