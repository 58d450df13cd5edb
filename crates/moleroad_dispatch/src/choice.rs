//! Choosing among the targets of a service.

use crate::candidate::{Candidate, Distance, Requirements};
use crate::cold::Admission;
use crate::division::PART_LIFE_MS;
use crate::eligibility::barrier;
use crate::targets::Targets;
use moleroad_types::prelude::Millis;

/// Which targets are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchScope {
    /// Those of the own region; where it has none, some of other regions.
    OwnRegion,
    /// Those of other regions; some more where the own region has none.
    OtherRegions,
}

/// What a choice came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it there.
    Send(Candidate),
    /// All targets are full; wait for a place.
    Full,
    /// No target can take it.
    Nobody,
}

/// Targets compared in the own region, and as many in others: entries that all
/// took the best of the same reports would all send to one target.
const COMPARED: usize = 2;
/// Targets of the own region whose agents, or owners, are asked for one request: the
/// best of a few that are drawn anew each time evens out load, and asking more costs
/// calls for each request.
const NEAR_ASKED: usize = 3;
/// Targets of other regions whose agents are asked when the near ones are busy.
const FAR_ASKED: usize = 2;

/// Some of the free targets, drawn anew for each choice.
fn sample<'a>(free: &[&'a Candidate], draw: u64) -> Vec<&'a Candidate> {
    let (far, near): (Vec<&Candidate>, Vec<&Candidate>) = free
        .iter()
        .copied()
        .partition(|candidate| candidate.distance == Distance::OtherRegion);
    let mut drawn = draw_some(near, COMPARED, draw);
    drawn.extend(draw_some(far, COMPARED, draw));
    drawn
}

fn draw_some(mut left: Vec<&Candidate>, count: usize, draw: u64) -> Vec<&Candidate> {
    let mut state = draw;
    let mut drawn = Vec::with_capacity(count);
    while drawn.len() < count && !left.is_empty() {
        // Constants of a linear congruential generator (Knuth, MMIX).
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let at = (state >> 33) as usize % left.len();
        drawn.push(left.swap_remove(at));
    }
    drawn
}

impl Targets {
    /// Chooses a target that meets `needs`. `draw` breaks ties.
    pub fn choose(&self, now: Millis, needs: Requirements<'_>, draw: u64) -> Choice {
        let pool = self.pool(now, needs);
        if pool.is_empty() {
            return Choice::Nobody;
        }
        let free = pool
            .iter()
            .filter(|candidate| self.goes_unasked(now, candidate))
            .filter(|candidate| self.has_place(now, candidate, needs.spare))
            .filter(|candidate| self.is_in_time(now, candidate, needs));
        let free: Vec<&Candidate> = free.copied().collect();
        let sample = sample(&free, draw);
        let best = sample
            .iter()
            .min_by(|left, right| self.cost_ms(now, left).total_cmp(&self.cost_ms(now, right)));
        match best {
            Some(best) => Choice::Send(self.with_part_life(now, best)),
            None => Choice::Full,
        }
    }

    /// Some of the targets that meet `needs`, have a place and may get the request on a
    /// grant, drawn by chance.
    pub fn on_grant(&self, now: Millis, needs: Requirements<'_>, draw: u64) -> Vec<Candidate> {
        let mut pool = self.pool(now, needs);
        pool.retain(|candidate| self.admission(now, candidate) == Admission::Grant);
        pool.retain(|candidate| self.has_place(now, candidate, needs.spare));
        let drawn = draw_some(pool, NEAR_ASKED, draw);
        drawn.into_iter().cloned().collect()
    }

    /// The sound targets that meet `needs`; when none is sound, all of them.
    /// One that is out of reach comes back when its agent may be asked again.
    fn pool(&self, now: Millis, needs: Requirements<'_>) -> Vec<&Candidate> {
        let fits = |candidate: &&Candidate| barrier(candidate, needs).is_none();
        let fitting: Vec<&Candidate> = self.candidates.iter().filter(fits).collect();
        let sound = |candidate: &&&Candidate| {
            let load = self.load(&candidate.id);
            let is_avoided = load.health.is_avoided(now);
            let is_silent = load.is_out_of_reach(now) && load.agent_is_backed_off(now);
            !candidate.switching && !is_silent && (self.ignores_failures || !is_avoided)
        };
        let pool: Vec<&Candidate> = fitting.iter().filter(sound).copied().collect();
        if pool.is_empty() {
            // An avoided one is better than none.
            return fitting;
        }
        pool
    }

    /// Some targets to look at for a request, drawn by chance.
    pub fn shortlist(
        &self,
        now: Millis,
        needs: Requirements<'_>,
        reach: SearchScope,
        draw: u64,
    ) -> Vec<Candidate> {
        let is_far = |candidate: &&Candidate| candidate.distance == Distance::OtherRegion;
        let (far, near): (Vec<_>, Vec<_>) = self.pool(now, needs).into_iter().partition(is_far);
        // Where the own region has none, those of others are asked in its place:
        // such a request gets the best of as many as any other.
        let (pool, passed_over, count) = match (reach, near.is_empty()) {
            (SearchScope::OwnRegion, false) => (near, 0, NEAR_ASKED),
            (SearchScope::OtherRegions, false) => (far, 0, FAR_ASKED),
            (SearchScope::OwnRegion, true) => (far, 0, NEAR_ASKED),
            (SearchScope::OtherRegions, true) => (far, NEAR_ASKED, FAR_ASKED),
        };
        let drawn = draw_some(pool, passed_over + count, draw);
        drawn.into_iter().skip(passed_over).cloned().collect()
    }

    /// The cheapest of these targets that may still take the request, has a
    /// place and can be in time. Those out of reach are passed over, also when
    /// the others are full, unless all are.
    pub fn best_of(
        &self,
        now: Millis,
        needs: Requirements<'_>,
        looked_at: &[Candidate],
    ) -> Option<Candidate> {
        // What was learned while agents were asked counts.
        let known: Vec<&Candidate> = looked_at
            .iter()
            .filter_map(|looked_at| self.candidate(&looked_at.id))
            .filter(|candidate| barrier(candidate, needs).is_none())
            .collect();
        let is_heard = |candidate: &&Candidate| !self.load(&candidate.id).is_out_of_reach(now);
        let any_heard = known.iter().any(is_heard);
        let free = known
            .into_iter()
            .filter(|candidate| !any_heard || is_heard(candidate))
            .filter(|candidate| self.admission(now, candidate) != Admission::Denied)
            .filter(|candidate| self.has_place(now, candidate, needs.spare))
            .filter(|candidate| self.is_in_time(now, candidate, needs));
        let best = free.min_by(|a, b| self.cost_ms(now, a).total_cmp(&self.cost_ms(now, b)));
        best.map(|best| self.with_part_life(now, best))
    }

    /// The target as it is chosen: a part of it must be used soon.
    fn with_part_life(&self, now: Millis, chosen: &Candidate) -> Candidate {
        let is_part = self.admission(now, chosen) == Admission::Quota;
        Candidate {
            granted_until: is_part.then(|| now + PART_LIFE_MS),
            ..chosen.clone()
        }
    }
}
