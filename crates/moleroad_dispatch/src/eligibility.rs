//! Which targets a request may go to at all.
//!
//! Every way that leads a request to a target passes [`barrier`]: the first
//! send, a repeat, a stream that is resumed, a request that waited for a place
//! and a target whose agent was asked.

use crate::choice::{Candidate, Needs};

/// Why a target may not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Barrier {
    /// It stands in a region where the request may not be served.
    Region,
    /// Its data hall is evacuated.
    Evacuated,
    /// Its weights are too old.
    OldWeights,
    /// The request was sent to it before.
    Tried,
}

/// What keeps `candidate` from getting a request with these needs; `None` when
/// it may be sent there.
pub fn barrier(candidate: &Candidate, needs: Needs<'_>) -> Option<Barrier> {
    let is_allowed =
        |regions: &moleroad_types::prelude::AllowedRegions| regions.contains(&candidate.region);
    if !needs.regions.is_none_or(is_allowed) {
        return Some(Barrier::Region);
    }
    if candidate.evacuated {
        return Some(Barrier::Evacuated);
    }
    let is_older = |least| candidate.version.is_some_and(|version| version < least);
    if needs.least.is_some_and(is_older) {
        return Some(Barrier::OldWeights);
    }
    needs
        .tried
        .contains(&candidate.id)
        .then_some(Barrier::Tried)
}
