//! Which targets a request may go to at all.
//!
//! Every way that leads a request to a target passes [`barrier`]: the first
//! send, a repeat, a stream that is resumed, a request that waited for a place
//! and a target whose agent was asked.

use crate::candidate::{Candidate, Requirements};
use moleroad_types::prelude::AllowedRegions;

/// Why a target may not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// It stands in a region where the request may not be served.
    Region,
    /// Its data hall is evacuated.
    Evacuated,
    /// Its weights are too old.
    OldWeights,
    /// It asked this daemon for rest.
    Rests,
    /// The request was sent to it before.
    Tried,
}

/// What keeps `candidate` from getting a request with these needs; `None` when
/// it may be sent there.
pub fn barrier(candidate: &Candidate, needs: Requirements<'_>) -> Option<Exclusion> {
    let is_allowed = |regions: &AllowedRegions| regions.contains(&candidate.region);
    if !needs.regions.is_none_or(is_allowed) {
        return Some(Exclusion::Region);
    }
    if candidate.evacuated {
        return Some(Exclusion::Evacuated);
    }
    let is_older = |least| candidate.version.is_some_and(|version| version < least);
    if needs.least.is_some_and(is_older) {
        return Some(Exclusion::OldWeights);
    }
    // A bar and not a cost: where all others are full or fail, a cost would send to
    // a resting target all the same (69 requests of 144 that pressed, where one may).
    if candidate.rests_until.is_some_and(|until| needs.now < until) {
        return Some(Exclusion::Rests);
    }
    needs
        .tried
        .contains(&candidate.id)
        .then_some(Exclusion::Tried)
}

/// How many targets each barrier keeps from getting a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExclusionCounts {
    /// Stand in a region where it may not be served.
    pub region: usize,
    /// Stand in an evacuated data hall.
    pub evacuated: usize,
    /// Have weights that are too old.
    pub old_weights: usize,
    /// Asked this daemon for rest.
    pub rests: usize,
    /// Had it before.
    pub tried: usize,
    /// May get it.
    pub open: usize,
}

/// Counts what keeps `candidates` from getting a request with these needs.
pub fn tally(candidates: &[Candidate], needs: Requirements<'_>) -> ExclusionCounts {
    let mut tally = ExclusionCounts::default();
    for candidate in candidates {
        match barrier(candidate, needs) {
            Some(Exclusion::Region) => tally.region += 1,
            Some(Exclusion::Evacuated) => tally.evacuated += 1,
            Some(Exclusion::OldWeights) => tally.old_weights += 1,
            Some(Exclusion::Rests) => tally.rests += 1,
            Some(Exclusion::Tried) => tally.tried += 1,
            None => tally.open += 1,
        }
    }
    tally
}
