//! The targets of one service and the load of each.

use crate::candidate::{Candidate, Requirements};
use crate::division::SendTimes;
use crate::eligibility::{Exclusion, exclusion};
use crate::health::Outcome;
use crate::load::TargetLoad;
use crate::prefill::PrefillSpeed;
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::{AllowedRegions, Millis};
use std::collections::HashMap;

/// The earliest ends of backoffs among the targets that are otherwise eligible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffEnds {
    /// Of all of them: when the request can be sent again if its caller retries it.
    pub any: Millis,
    /// Of those that it was not sent to before: when it can continue; `None` if there
    /// are none.
    pub untried: Option<Millis>,
}

/// The targets of one service and the load of each.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// Prefill speed of the engines; `None` for targets that are not engines.
    pub prefill: Option<PrefillSpeed>,
    /// Whether failing targets are used as if they were healthy.
    pub ignores_failures: bool,
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) loads: HashMap<TargetId, TargetLoad>,
    /// Times of sends to targets that have a rate bound while cold. They are kept even
    /// if a target temporarily leaves the list, since it received those requests all
    /// the same.
    pub(crate) sends: HashMap<TargetId, SendTimes>,
}

impl Targets {
    /// Replaces the list of targets; keeps the load of those that remain.
    pub fn set(&mut self, candidates: Vec<Candidate>) {
        self.loads.retain(|id, load| {
            load.own_in_flight() > 0 || candidates.iter().any(|candidate| candidate.id == *id)
        });
        self.candidates = candidates;
    }

    /// Returns whether requests of this daemon are in flight at any target, also at one
    /// that left the list.
    pub fn any_in_flight(&self) -> bool {
        self.loads.values().any(|load| load.own_in_flight() > 0)
    }

    /// Returns the targets that may get requests.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the number of targets outside evacuated halls.
    pub fn count_not_evacuated(&self) -> usize {
        let open = self.candidates.iter().filter(|c| !c.evacuated);
        open.count()
    }

    /// Returns the number of slots of all targets in these regions that are outside
    /// evacuated halls.
    pub fn total_slots(&self, regions: &AllowedRegions) -> u32 {
        let open = self
            .candidates
            .iter()
            .filter(|candidate| !candidate.evacuated && regions.contains(&candidate.region));
        open.map(|candidate| candidate.slots).sum()
    }

    /// Returns whether any target is eligible for a request with these requirements,
    /// now or once it has a free slot.
    pub fn any_eligible(&self, needs: Requirements<'_>) -> bool {
        let is_reachable = |candidate: &Candidate| exclusion(candidate, needs).is_none();
        self.candidates.iter().any(is_reachable)
    }

    /// Returns when the first backoff ends if nothing but backoffs keeps a request with
    /// these requirements waiting; `None` if a target is eligible now, or none is
    /// backing off.
    pub fn backoff_ends(&self, needs: Requirements<'_>) -> Option<BackoffEnds> {
        if self.any_eligible(needs) {
            return None;
        }
        let is_backing_off =
            |candidate: &&Candidate| exclusion(candidate, needs) == Some(Exclusion::BackingOff);
        let backing_off = || self.candidates.iter().filter(is_backing_off);
        let is_untried = |candidate: &&Candidate| !needs.tried.contains(&candidate.id);
        let untried = backing_off().filter(is_untried);
        Some(BackoffEnds {
            any: backing_off()
                .filter_map(|candidate| candidate.backoff_until)
                .min()?,
            untried: untried
                .filter_map(|candidate| candidate.backoff_until)
                .min(),
        })
    }

    /// Sets until when this daemon backs off from a target.
    pub fn set_backoff(&mut self, id: &TargetId, until: Option<Millis>) {
        let candidates = self.candidates.iter_mut();
        for candidate in candidates.filter(|candidate| candidate.id == *id) {
            candidate.backoff_until = until;
        }
    }

    /// Returns whether any eligible target is reachable.
    pub fn any_reachable(&self, now: Millis, needs: Requirements<'_>) -> bool {
        let is_reachable = |candidate: &Candidate| {
            let is_eligible = exclusion(candidate, needs).is_none();
            is_eligible && !self.load(&candidate.id).health.is_unreachable(now)
        };
        self.candidates.iter().any(is_reachable)
    }

    /// Returns whether this target is eligible for a request with these requirements.
    pub fn is_eligible(&self, id: &TargetId, needs: Requirements<'_>) -> bool {
        let candidate = self.candidate(id);
        candidate.is_some_and(|candidate| exclusion(candidate, needs).is_none())
    }

    /// Returns whether all targets in the allowed regions are in evacuated halls, so
    /// that waiting for a slot is pointless.
    pub fn all_evacuated(&self, needs: Requirements<'_>) -> bool {
        let exclusions = self.candidates.iter().map(|c| exclusion(c, needs));
        let mut in_region = exclusions
            .filter(|exclusion| *exclusion != Some(Exclusion::Region))
            .peekable();
        in_region.peek().is_some()
            && in_region.all(|exclusion| exclusion == Some(Exclusion::Evacuated))
    }

    /// Returns the current state of a target.
    pub fn candidate(&self, id: &TargetId) -> Option<&Candidate> {
        self.candidates.iter().find(|candidate| candidate.id == *id)
    }

    /// Returns the estimated load of a target.
    pub fn load(&self, id: &TargetId) -> TargetLoad {
        self.loads.get(id).copied().unwrap_or_default()
    }

    /// Counts a send whose prompt has `tokens` tokens.
    pub fn started(&mut self, now: Millis, id: &TargetId, tokens: u64) {
        let load = self.loads.entry(id.clone()).or_default();
        load.started(now, tokens);
        if self.candidate(id).is_some_and(|c| c.cold.is_some()) {
            self.sends.retain(|_, sends| sends.is_recent(now));
            self.sends.entry(id.clone()).or_default().record(now);
        }
    }

    /// Counts a prompt as prefilled: its answer has begun, or never will.
    pub fn prompt_read(&mut self, id: &TargetId, tokens: u64) {
        if let Some(load) = self.loads.get_mut(id) {
            load.prompt_read(tokens);
        }
    }

    /// Counts the end of a send.
    pub fn finished(&mut self, now: Millis, id: &TargetId, outcome: Outcome) {
        if let Some(load) = self.loads.get_mut(id) {
            load.finished();
            load.health.record(now, outcome);
        }
    }

    /// Records an agent's report of a target's load.
    pub fn record_report(&mut self, now: Millis, id: &TargetId, running: u32, unread: u32) {
        let load = self.loads.entry(id.clone()).or_default();
        load.record_report(now, running, unread);
    }

    /// Returns whether the targets are engines whose agents can be queried.
    pub fn have_agents(&self) -> bool {
        self.prefill.is_some() && self.candidates.iter().any(|c| c.agent.is_some())
    }

    /// Returns whether a target can only be used after querying other daemons: the
    /// agents of engines, or the owners of rate limits.
    pub fn require_queries(&self) -> bool {
        self.have_agents() || self.candidates.iter().any(|c| c.limit.is_some())
    }

    /// Records that the target's agent refused the connection.
    pub fn agent_refused(&mut self, now: Millis, id: &TargetId) {
        self.loads.entry(id.clone()).or_default().agent_refused(now);
    }

    /// Records that the target's agent did not answer.
    pub fn agent_timed_out(&mut self, now: Millis, id: &TargetId) {
        self.loads
            .entry(id.clone())
            .or_default()
            .agent_timed_out(now);
    }

    /// Returns the number of free slots over all usable targets of these regions.
    pub fn free_slots(&self, now: Millis, regions: &AllowedRegions) -> f64 {
        let free = |candidate: &Candidate| {
            let load = self.load(&candidate.id);
            (f64::from(candidate.slots) - load.requests(now)).max(0.0)
        };
        let usable = self
            .candidates
            .iter()
            .filter(|candidate| !candidate.switching && !candidate.evacuated)
            .filter(|candidate| candidate.backoff_until.is_none_or(|until| until <= now))
            .filter(|candidate| regions.contains(&candidate.region));
        usable.map(free).sum()
    }
}
