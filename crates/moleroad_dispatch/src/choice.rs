//! Choosing among the targets of a service.

use crate::cold::{Admission, ColdTarget};
use crate::division::SendTimes;
use crate::eligibility::{Barrier, barrier};
use crate::health::Outcome;
use crate::load::TargetLoad;
use crate::reading::ReadingSpeed;
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::{AllowedRegions, Millis, Region};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How far a target is from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data hall.
    SameHall,
    /// In another data hall of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// What the way costs, as a time in milliseconds: its delay, and for
    /// another region the bytes that cross, which operators pay for.
    fn cost_ms(self) -> f64 {
        match self {
            Distance::SameHall => 0.0,
            Distance::SameRegion => 4.0,
            Distance::OtherRegion => 15.0,
        }
    }
}

/// A target that may get requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Identity.
    pub id: TargetId,
    /// Address.
    pub address: SocketAddr,
    /// Requests it works on at once.
    pub slots: u32,
    /// Most requests this entry may have there at once.
    pub most_own: u32,
    /// Places there that belong to this entry when it is nearly full.
    pub share: u32,
    /// How far it is.
    pub distance: Distance,
    /// Region that it stands in.
    pub region: Region,
    /// Whether its data hall is evacuated, so that it gets no requests.
    pub evacuated: bool,
    /// Version of the weights that it holds whole; `None` for plain targets.
    pub version: Option<u64>,
    /// Whether it is about to change its weights.
    pub switching: bool,
    /// How much slower than usual it is; 1 is as usual.
    pub slowness: f64,
    /// Where the agent beside it answers; `None` without one.
    pub agent: Option<SocketAddr>,
    /// The bound on it while it is cold; `None` where its service has none.
    pub cold: Option<Arc<ColdTarget>>,
    /// Until when the grant holds on which the request is sent; `None` without.
    pub granted_until: Option<Millis>,
}

/// Which targets are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Those of the own region; where it has none, some of other regions.
    Near,
    /// Those of other regions; some more where the own region has none.
    Far,
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

/// Time that a full target takes to run one request, shared by its slots, as
/// the cost of each request beyond the slots, in milliseconds.
const FULL_COST_MS: f64 = 1_000.0;
/// What a full set of slots adds to a first event, in milliseconds, where no
/// model of the target's speed is known.
const BUSY_COST_MS: f64 = 100.0;
/// What a full set of slots adds beside the prompts that wait, in milliseconds:
/// each step takes a little longer, and a place may be missing soon.
const BUSY_ENGINE_COST_MS: f64 = 30.0;
/// What a failed send costs, in milliseconds: the time until it is noticed.
const FAILURE_COST_MS: f64 = 500.0;
/// What a slow target adds for each time that it is slower than usual.
const SLOW_COST_MS: f64 = 150.0;

/// What a request asks of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs<'a> {
    /// Targets that it was sent to before.
    pub tried: &'a [TargetId],
    /// The least version of weights.
    pub least: Option<u64>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Time that is left for a first event, in milliseconds; `None` when late
    /// is better than never.
    pub within_ms: Option<u64>,
    /// Places that must stay free at the target for others.
    pub spare: u32,
    /// Regions in which it may be served; `None` allows all.
    pub regions: Option<&'a AllowedRegions>,
}

/// Part of its slots up to which any entry sends to a target; beyond it each
/// entry keeps to its own places.
const LIGHT_PART: f64 = 0.7;
/// Targets of either kind, in the own region and in others, that are compared
/// by what is known: the more choose by the same reports, the more the best of
/// many is everybody's best.
const COMPARED: usize = 2;
/// Targets of the own region whose agents are asked for one request: the best
/// of a few that are drawn anew each time evens out load, and asking more costs
/// calls for each request. Measured with three only.
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

/// The targets of one service, and what is in flight at each.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// How fast they read prompts; `None` for plain targets.
    pub reading: Option<ReadingSpeed>,
    /// Whether targets that fail are not avoided.
    pub ignores_failures: bool,
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) loads: HashMap<TargetId, TargetLoad>,
    /// Sends to targets that have a bound while they are cold.
    pub(crate) sends: HashMap<TargetId, SendTimes>,
}

impl Targets {
    /// Replaces the list of targets; loads of those that stay are kept.
    pub fn set(&mut self, candidates: Vec<Candidate>) {
        self.loads.retain(|id, load| {
            load.own() > 0 || candidates.iter().any(|candidate| candidate.id == *id)
        });
        let loads = &self.loads;
        self.sends.retain(|id, _| loads.contains_key(id));
        self.candidates = candidates;
    }

    /// The targets that may get requests.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Targets outside evacuated halls.
    pub fn count_open(&self) -> usize {
        let open = self.candidates.iter().filter(|c| !c.evacuated);
        open.count()
    }

    /// Places over all targets of these regions outside evacuated halls.
    pub fn places(&self, regions: &AllowedRegions) -> u32 {
        let open = self
            .candidates
            .iter()
            .filter(|candidate| !candidate.evacuated && regions.contains(&candidate.region));
        open.map(|candidate| candidate.slots).sum()
    }

    /// Whether some target may take a request with these needs, now or once it
    /// has a place.
    pub fn any_serves(&self, needs: Needs<'_>) -> bool {
        let serves = |candidate: &Candidate| barrier(candidate, needs).is_none();
        self.candidates.iter().any(serves)
    }

    /// Whether some target may take a request with these needs and is reachable.
    pub fn any_reachable(&self, now: Millis, needs: Needs<'_>) -> bool {
        let serves = |candidate: &Candidate| {
            let is_open = barrier(candidate, needs).is_none();
            is_open && !self.load(&candidate.id).health.is_unreachable(now)
        };
        self.candidates.iter().any(serves)
    }

    /// Whether a request with these needs may go to this target.
    pub fn is_open(&self, id: &TargetId, needs: Needs<'_>) -> bool {
        let candidate = self.candidate(id);
        candidate.is_some_and(|candidate| barrier(candidate, needs).is_none())
    }

    /// Whether all targets that stand where the request may be served are in
    /// evacuated halls, so that waiting for a place is in vain.
    pub fn is_evacuated(&self, needs: Needs<'_>) -> bool {
        let barriers = self.candidates.iter().map(|c| barrier(c, needs));
        let mut in_region = barriers.filter(|b| *b != Some(Barrier::Region)).peekable();
        in_region.peek().is_some() && in_region.all(|b| b == Some(Barrier::Evacuated))
    }

    /// The target as it is known now.
    pub fn candidate(&self, id: &TargetId) -> Option<&Candidate> {
        self.candidates.iter().find(|candidate| candidate.id == *id)
    }

    /// What is known of the load of a target.
    pub fn load(&self, id: &TargetId) -> TargetLoad {
        self.loads.get(id).copied().unwrap_or_default()
    }

    /// Counts a send whose prompt has `tokens`.
    pub fn started(&mut self, now: Millis, id: &TargetId, tokens: u64) {
        let load = self.loads.entry(id.clone()).or_default();
        load.started(now, tokens);
        if self.candidate(id).is_some_and(|c| c.cold.is_some()) {
            self.sends.entry(id.clone()).or_default().note(now);
        }
    }

    /// Counts a prompt as read: the answer to it began, or never will.
    pub fn was_read(&mut self, id: &TargetId, tokens: u64) {
        if let Some(load) = self.loads.get_mut(id) {
            load.was_read(tokens);
        }
    }

    /// Counts the end of a send.
    pub fn finished(&mut self, now: Millis, id: &TargetId, outcome: Outcome) {
        if let Some(load) = self.loads.get_mut(id) {
            load.finished();
            load.health.note(now, outcome);
        }
    }

    /// Takes what an agent read of a target.
    pub fn reported(&mut self, now: Millis, id: &TargetId, running: u32, unread: u32) {
        let load = self.loads.entry(id.clone()).or_default();
        load.reported(now, running, unread);
    }

    /// Chooses a target that meets `needs`. `draw` breaks ties.
    pub fn choose(&self, now: Millis, needs: Needs<'_>, draw: u64) -> Choice {
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
            Some(best) => Choice::Send((*best).clone()),
            None => Choice::Full,
        }
    }

    /// The sound targets that meet `needs`; when none is sound, all of them.
    /// One that is out of reach comes back when its agent may be asked again.
    fn pool(&self, now: Millis, needs: Needs<'_>) -> Vec<&Candidate> {
        let fits = |candidate: &&Candidate| barrier(candidate, needs).is_none();
        let fitting: Vec<&Candidate> = self.candidates.iter().filter(fits).collect();
        let sound = |candidate: &&&Candidate| {
            let load = self.load(&candidate.id);
            let is_avoided = load.health.is_avoided(now);
            let is_silent = load.is_out_of_reach() && load.agent_rests(now);
            !candidate.switching && !is_silent && (self.ignores_failures || !is_avoided)
        };
        let pool: Vec<&Candidate> = fitting.iter().filter(sound).copied().collect();
        if pool.is_empty() {
            // An avoided one is better than none.
            return fitting;
        }
        pool
    }

    /// Whether the targets are engines whose agents can be asked.
    pub fn have_agents(&self) -> bool {
        self.reading.is_some() && self.candidates.iter().any(|c| c.agent.is_some())
    }

    /// Some targets to look at for a request, drawn by chance.
    pub fn shortlist(
        &self,
        now: Millis,
        needs: Needs<'_>,
        reach: Reach,
        draw: u64,
    ) -> Vec<Candidate> {
        let is_far = |candidate: &&Candidate| candidate.distance == Distance::OtherRegion;
        let (far, near): (Vec<_>, Vec<_>) = self.pool(now, needs).into_iter().partition(is_far);
        // Where the own region has none, those of others are asked in its place:
        // such a request gets the best of as many as any other.
        let (pool, passed_over, count) = match (reach, near.is_empty()) {
            (Reach::Near, false) => (near, 0, NEAR_ASKED),
            (Reach::Far, false) => (far, 0, FAR_ASKED),
            (Reach::Near, true) => (far, 0, NEAR_ASKED),
            (Reach::Far, true) => (far, NEAR_ASKED, FAR_ASKED),
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
        needs: Needs<'_>,
        looked_at: &[Candidate],
    ) -> Option<Candidate> {
        // What was learned while agents were asked counts.
        let known: Vec<&Candidate> = looked_at
            .iter()
            .filter_map(|looked_at| self.candidate(&looked_at.id))
            .filter(|candidate| barrier(candidate, needs).is_none())
            .collect();
        let is_heard = |candidate: &&Candidate| !self.load(&candidate.id).is_out_of_reach();
        let any_heard = known.iter().any(is_heard);
        let free = known
            .into_iter()
            .filter(|candidate| !any_heard || is_heard(candidate))
            .filter(|candidate| self.admission(now, candidate) != Admission::Closed)
            .filter(|candidate| self.has_place(now, candidate, needs.spare))
            .filter(|candidate| self.is_in_time(now, candidate, needs));
        let best = free.min_by(|a, b| self.cost_ms(now, a).total_cmp(&self.cost_ms(now, b)));
        best.cloned()
    }

    /// Whether looking at other regions is not worth its time: at most one
    /// usual prompt waits at the target.
    pub fn is_good_enough(&self, now: Millis, candidate: &Candidate) -> bool {
        let Some(reading) = self.reading else {
            return true;
        };
        let one_waits = reading.first_event_ms(0.0, reading.usual_prompt, 1.0);
        self.cost_ms(now, candidate) <= one_waits + BUSY_ENGINE_COST_MS
    }

    /// Notes that no agent listens beside the target.
    pub fn agent_refused(&mut self, now: Millis, id: &TargetId) {
        self.loads.entry(id.clone()).or_default().agent_refused(now);
    }

    /// Notes that the agent beside the target did not answer.
    pub fn agent_was_silent(&mut self, now: Millis, id: &TargetId) {
        self.loads
            .entry(id.clone())
            .or_default()
            .agent_was_silent(now);
    }

    fn has_place(&self, now: Millis, candidate: &Candidate, spare: u32) -> bool {
        let load = self.load(&candidate.id);
        let requests = load.requests(now);
        let slots = f64::from(candidate.slots.saturating_sub(spare));
        if self.reading.is_some() && load.is_current(now) {
            return load.own() < candidate.most_own && requests + 1.0 <= slots;
        }
        // All entries see a target that has just become free: each sends only
        // its part until a report tells what the others sent.
        let is_crowd = self.reading.is_some() && load.unreported(now) >= candidate.share.max(1);
        let is_light = requests + 1.0 <= slots * LIGHT_PART && !is_crowd;
        let has_own = load.own() < candidate.share && requests < slots;
        load.own() < candidate.most_own && (is_light || has_own)
    }

    fn is_in_time(&self, now: Millis, candidate: &Candidate, needs: Needs<'_>) -> bool {
        let (Some(within_ms), Some(reading)) = (needs.within_ms, self.reading) else {
            return true;
        };
        let load = self.load(&candidate.id);
        let unread = load.unread_tokens(now, reading.usual_prompt);
        let own = needs.prompt_tokens as f64;
        let first_event_ms = reading.first_event_ms(own, unread, load.requests(now));
        first_event_ms * self.slowness(now, candidate) <= within_ms as f64
    }

    /// What sending to the candidate costs, as a time in milliseconds.
    pub fn cost_ms(&self, now: Millis, candidate: &Candidate) -> f64 {
        let load = self.load(&candidate.id);
        let slots = f64::from(candidate.slots.max(1));
        let requests = load.requests(now);
        let busy = match self.reading {
            None => BUSY_COST_MS * requests / slots,
            Some(reading) => {
                let unread = load.unread_tokens(now, reading.usual_prompt);
                let first_ms = reading.first_event_ms(0.0, unread, requests);
                first_ms * self.slowness(now, candidate) + BUSY_ENGINE_COST_MS * requests / slots
            }
        };
        let beyond = (requests + 1.0 - slots).max(0.0) * FULL_COST_MS / slots;
        let failing = load.health.failure_rate(now) * FAILURE_COST_MS;
        let slow = (self.slowness(now, candidate) - 1.0).max(0.0) * SLOW_COST_MS;
        let silent = load.silence_cost_ms();
        candidate.distance.cost_ms() + busy + beyond + failing + slow + silent
    }

    /// Places that are free, over all targets of these regions.
    pub fn free_places(&self, now: Millis, regions: &AllowedRegions) -> f64 {
        let free = |candidate: &Candidate| {
            let load = self.load(&candidate.id);
            (f64::from(candidate.slots) - load.requests(now)).max(0.0)
        };
        let usable = self
            .candidates
            .iter()
            .filter(|candidate| !candidate.switching && !candidate.evacuated)
            .filter(|candidate| regions.contains(&candidate.region));
        usable.map(free).sum()
    }
}
