//! Choice among the targets of a service.

use crate::candidate::{Candidate, Distance, Requirements};
use crate::cold::Admission;
use crate::division::QUOTA_SEND_TTL_MS;
use crate::eligibility::exclusion;
use crate::targets::Targets;
use moleroad_types::prelude::Millis;

/// Regions whose targets are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchScope {
    /// The entry's own region; if it has no target, a sample of the other regions.
    OwnRegion,
    /// The other regions; if the own region has no target, a further sample of them.
    OtherRegions,
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to this target.
    Send(Candidate),
    /// All targets are full; wait for a free slot.
    Full,
    /// No target is eligible.
    NoTarget,
}

/// Number of targets compared in the own region, and again in the other regions: if
/// every entry took the best target according to the same reports, all would send to
/// one target.
const COMPARED_PER_SCOPE: usize = 2;
/// Number of targets in the own region whose agents or grant owners are queried for a
/// request. Choosing the best of a few random targets balances the load; each further
/// query costs a call per request.
const QUERIED_IN_REGION: usize = 3;
/// Number of targets in other regions whose agents are queried when those of the own
/// region are busy.
const QUERIED_ELSEWHERE: usize = 2;

/// Returns a random sample of the free targets.
fn sample<'a>(free: &[&'a Candidate], random: u64) -> Vec<&'a Candidate> {
    let (far, near): (Vec<&Candidate>, Vec<&Candidate>) = free
        .iter()
        .copied()
        .partition(|candidate| candidate.distance == Distance::OtherRegion);
    let mut sampled = pick_random(near, COMPARED_PER_SCOPE, random);
    sampled.extend(pick_random(far, COMPARED_PER_SCOPE, random));
    sampled
}

fn pick_random(mut remaining: Vec<&Candidate>, count: usize, random: u64) -> Vec<&Candidate> {
    let mut state = random;
    let mut sampled = Vec::with_capacity(count);
    while sampled.len() < count && !remaining.is_empty() {
        // Constants of a linear congruential generator (Knuth, MMIX).
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let at = (state >> 33) as usize % remaining.len();
        sampled.push(remaining.swap_remove(at));
    }
    sampled
}

impl Targets {
    /// Chooses a target that meets `needs`, without querying agents. `random` selects
    /// the sample to compare.
    pub fn choose(&self, now: Millis, needs: Requirements<'_>, random: u64) -> Choice {
        let pool = self.pool(now, needs);
        if pool.is_empty() {
            return Choice::NoTarget;
        }
        let free = pool
            .iter()
            .filter(|candidate| self.needs_no_grant(now, candidate))
            .filter(|candidate| self.has_free_slot(now, candidate, needs.reserved_slots))
            .filter(|candidate| self.meets_deadline(now, candidate, needs));
        let free: Vec<&Candidate> = free.copied().collect();
        let sample = sample(&free, random);
        let best = sample
            .iter()
            .min_by(|left, right| self.cost_ms(now, left).total_cmp(&self.cost_ms(now, right)));
        match best {
            Some(best) => Choice::Send(self.with_quota_expiry(now, best)),
            None => Choice::Full,
        }
    }

    /// Returns a random sample of the targets that meet `needs`, have a free slot and
    /// admit the request on a grant.
    pub fn grant_candidates(
        &self,
        now: Millis,
        needs: Requirements<'_>,
        random: u64,
    ) -> Vec<Candidate> {
        let mut pool = self.pool(now, needs);
        pool.retain(|candidate| self.admission(now, candidate) == Admission::Grant);
        pool.retain(|candidate| self.has_free_slot(now, candidate, needs.reserved_slots));
        let sampled = pick_random(pool, QUERIED_IN_REGION, random);
        sampled.into_iter().cloned().collect()
    }

    /// Returns the healthy targets that meet `needs`; if none is healthy, all that meet
    /// them. A target presumed unreachable is included again once its agent may be
    /// queried.
    fn pool(&self, now: Millis, needs: Requirements<'_>) -> Vec<&Candidate> {
        let is_eligible = |candidate: &&Candidate| exclusion(candidate, needs).is_none();
        let eligible: Vec<&Candidate> = self.candidates.iter().filter(is_eligible).collect();
        let healthy = |candidate: &&&Candidate| {
            let load = self.load(&candidate.id);
            let is_avoided = load.health.is_avoided(now);
            let is_unreachable = load.is_presumed_unreachable(now) && load.agent_is_backed_off(now);
            !candidate.switching && !is_unreachable && (self.ignores_failures || !is_avoided)
        };
        let pool: Vec<&Candidate> = eligible.iter().filter(healthy).copied().collect();
        if pool.is_empty() {
            // A target to be avoided is better than none.
            return eligible;
        }
        pool
    }

    /// Returns a random sample of targets whose agents to query for a request.
    pub fn shortlist(
        &self,
        now: Millis,
        needs: Requirements<'_>,
        scope: SearchScope,
        random: u64,
    ) -> Vec<Candidate> {
        let is_far = |candidate: &&Candidate| candidate.distance == Distance::OtherRegion;
        let (far, near): (Vec<_>, Vec<_>) = self.pool(now, needs).into_iter().partition(is_far);
        // If the own region has no target, targets of other regions take their place,
        // so that such a request is also compared over as many targets as any other.
        let (pool, skipped, count) = match (scope, near.is_empty()) {
            (SearchScope::OwnRegion, false) => (near, 0, QUERIED_IN_REGION),
            (SearchScope::OtherRegions, false) => (far, 0, QUERIED_ELSEWHERE),
            (SearchScope::OwnRegion, true) => (far, 0, QUERIED_IN_REGION),
            (SearchScope::OtherRegions, true) => (far, QUERIED_IN_REGION, QUERIED_ELSEWHERE),
        };
        let sampled = pick_random(pool, skipped + count, random);
        sampled.into_iter().skip(skipped).cloned().collect()
    }

    /// Returns the cheapest of these targets that is still eligible, has a free slot
    /// and can meet the deadline. Targets presumed unreachable are skipped, even if the
    /// others are full, unless all of them are.
    pub fn best_of(
        &self,
        now: Millis,
        needs: Requirements<'_>,
        shortlisted: &[Candidate],
    ) -> Option<Candidate> {
        // Uses the current state, which includes what the agents just reported.
        let known: Vec<&Candidate> = shortlisted
            .iter()
            .filter_map(|shortlisted| self.candidate(&shortlisted.id))
            .filter(|candidate| exclusion(candidate, needs).is_none())
            .collect();
        let is_responsive =
            |candidate: &&Candidate| !self.load(&candidate.id).is_presumed_unreachable(now);
        let any_responsive = known.iter().any(is_responsive);
        let free = known
            .into_iter()
            .filter(|candidate| !any_responsive || is_responsive(candidate))
            .filter(|candidate| self.admission(now, candidate) != Admission::Denied)
            .filter(|candidate| self.has_free_slot(now, candidate, needs.reserved_slots))
            .filter(|candidate| self.meets_deadline(now, candidate, needs));
        let best = free.min_by(|a, b| self.cost_ms(now, a).total_cmp(&self.cost_ms(now, b)));
        best.map(|best| self.with_quota_expiry(now, best))
    }

    /// Returns the chosen target, with an expiry if the send uses the entry's quota.
    fn with_quota_expiry(&self, now: Millis, chosen: &Candidate) -> Candidate {
        let uses_quota = self.admission(now, chosen) == Admission::Quota;
        Candidate {
            granted_until: uses_quota.then(|| now + QUOTA_SEND_TTL_MS),
            ..chosen.clone()
        }
    }
}
