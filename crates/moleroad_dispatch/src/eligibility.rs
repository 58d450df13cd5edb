//! Eligibility of targets for a request.
//!
//! Every path that sends a request to a target makes this check: first sends, retries,
//! resumed streams, requests that waited for a slot, and targets whose agents were
//! queried.

use crate::candidate::{Candidate, Requirements};
use moleroad_types::prelude::AllowedRegions;

/// Why a target is not eligible for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// It is in a region where the request may not be served.
    Region,
    /// Its data hall is evacuated.
    Evacuated,
    /// Its weights are too old.
    OldWeights,
    /// It asked this daemon to back off.
    BackingOff,
    /// The request was sent to it before.
    Tried,
}

/// Returns why `candidate` is not eligible for a request with these requirements;
/// `None` if it is.
pub fn exclusion(candidate: &Candidate, needs: Requirements<'_>) -> Option<Exclusion> {
    let is_allowed = |regions: &AllowedRegions| regions.contains(&candidate.region);
    if !needs.regions.is_none_or(is_allowed) {
        return Some(Exclusion::Region);
    }
    if candidate.evacuated {
        return Some(Exclusion::Evacuated);
    }
    let is_older = |min_version| {
        candidate
            .version
            .is_some_and(|version| version < min_version)
    };
    if needs.min_version.is_some_and(is_older) {
        return Some(Exclusion::OldWeights);
    }
    // A target that asked for a backoff is excluded rather than made expensive: with a
    // cost, it still got requests whenever all others were full or failing (69 of 144
    // requests under pressure, where one is permitted).
    if candidate
        .backoff_until
        .is_some_and(|until| needs.now < until)
    {
        return Some(Exclusion::BackingOff);
    }
    needs
        .tried
        .contains(&candidate.id)
        .then_some(Exclusion::Tried)
}

/// Number of targets by the reason for their exclusion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExclusionCounts {
    /// In a region where the request may not be served.
    pub region: usize,
    /// In an evacuated data hall.
    pub evacuated: usize,
    /// With weights that are too old.
    pub old_weights: usize,
    /// Asked this daemon to back off.
    pub backing_off: usize,
    /// Got the request before.
    pub tried: usize,
    /// Eligible.
    pub eligible: usize,
}

/// Counts `candidates` by the reason why they are excluded from a request with these
/// requirements.
pub fn count_exclusions(candidates: &[Candidate], needs: Requirements<'_>) -> ExclusionCounts {
    let mut counts = ExclusionCounts::default();
    for candidate in candidates {
        match exclusion(candidate, needs) {
            Some(Exclusion::Region) => counts.region += 1,
            Some(Exclusion::Evacuated) => counts.evacuated += 1,
            Some(Exclusion::OldWeights) => counts.old_weights += 1,
            Some(Exclusion::BackingOff) => counts.backing_off += 1,
            Some(Exclusion::Tried) => counts.tried += 1,
            None => counts.eligible += 1,
        }
    }
    counts
}
