//! Which data halls are evacuated, as the control group agrees on it.
//!
//! Evacuating and taking back alternate, so neither can be merged by itself:
//! each hall has a revision that the log raises with every change, and the
//! higher revision holds.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of changes of a hall so far.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HallRevision(pub u64);

/// Whether a hall is evacuated, since which of its changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HallState {
    /// Changes so far; the highest number is the newest.
    pub revision: HallRevision,
    /// Whether its targets are to get no requests.
    pub evacuated: bool,
}

/// That an operator wants a hall evacuated or taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// The hall.
    pub hall: String,
    /// Whether it is to be evacuated.
    pub evacuated: bool,
    /// Revision that the daemon knew when the operator called it: an order that
    /// was held up while the hall was changed must not undo that change.
    pub based_on: HallRevision,
}

/// What an order came to in the order of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HallOrderOutcome {
    /// The hall changed.
    Changed,
    /// It was in that state before.
    AlreadySo,
    /// It is in the other state by a change that the order did not know of.
    Overtaken,
}

impl HallOrderOutcome {
    /// Whether the hall now is as the operator wants.
    pub fn is_as_wanted(self) -> bool {
        self != HallOrderOutcome::Overtaken
    }
}

/// What an order came to, and the state of the hall right after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrderResult {
    /// What the order came to.
    pub outcome: HallOrderOutcome,
    /// The state of its hall.
    pub state: HallState,
}

/// The state of every hall that was ever evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evacuations(BTreeMap<String, HallState>);

impl Evacuations {
    /// The state of a hall.
    pub fn of(&self, hall: &str) -> HallState {
        self.0.get(hall).copied().unwrap_or_default()
    }

    /// All halls that were ever evacuated.
    pub fn iter(&self) -> impl Iterator<Item = (&str, HallState)> {
        self.0.iter().map(|(hall, state)| (hall.as_str(), *state))
    }

    /// Carries out an order.
    pub fn carry_out(&mut self, order: &HallOrder) -> HallOrderResult {
        let held = self.of(&order.hall);
        // Daemons may know more than a group that lost more disks than it bears.
        let is_forgotten = order.based_on > held.revision;
        let outcome = if held.evacuated == order.evacuated && !is_forgotten {
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
            state: self.of(&order.hall),
        }
    }

    /// Takes the state of a hall if it is newer; true if it was.
    pub fn take(&mut self, hall: &str, state: HallState) -> bool {
        let is_newer = state.revision > self.of(hall).revision;
        if is_newer {
            self.0.insert(hall.to_string(), state);
        }
        is_newer
    }

    /// Takes what is newer in `other`; true if anything was.
    pub fn merge(&mut self, other: &Evacuations) -> bool {
        let mut changed = false;
        for (hall, state) in other.iter() {
            changed |= self.take(hall, state);
        }
        changed
    }
}
