//! The targets of one service, and what is in flight at each.

use crate::candidate::{Candidate, Requirements};
use crate::division::SendTimes;
use crate::eligibility::{Exclusion, barrier};
use crate::health::Outcome;
use crate::load::TargetLoad;
use crate::reading::PrefillSpeed;
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::{AllowedRegions, Millis};
use std::collections::HashMap;

/// When the first of the targets has rested that a request could go to otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffEnds {
    /// Of all of them: then the request can be sent when its caller repeats it.
    pub any: Millis,
    /// Of those that it was not sent to before: then it can go on; `None` without.
    pub untried: Option<Millis>,
}

/// The targets of one service, and what is in flight at each.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// How fast they read prompts; `None` for plain targets.
    pub reading: Option<PrefillSpeed>,
    /// Whether targets that fail are not avoided.
    pub ignores_failures: bool,
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) loads: HashMap<TargetId, TargetLoad>,
    /// Sends to targets that have a bound while they are cold. They outlast the
    /// list: a target that is not listed for a moment got them all the same.
    pub(crate) sends: HashMap<TargetId, SendTimes>,
}

impl Targets {
    /// Replaces the list of targets; loads of those that stay are kept.
    pub fn set(&mut self, candidates: Vec<Candidate>) {
        self.loads.retain(|id, load| {
            load.own() > 0 || candidates.iter().any(|candidate| candidate.id == *id)
        });
        self.candidates = candidates;
    }

    /// The targets that may get requests.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Targets outside evacuated halls.
    pub fn count_not_evacuated(&self) -> usize {
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
    pub fn any_eligible(&self, needs: Requirements<'_>) -> bool {
        let serves = |candidate: &Candidate| barrier(candidate, needs).is_none();
        self.candidates.iter().any(serves)
    }

    /// When the first target has rested that keeps a request with these needs
    /// waiting by that alone; `None` where a target may take it now, or none rests.
    pub fn rested_at(&self, needs: Requirements<'_>) -> Option<BackoffEnds> {
        if self.any_eligible(needs) {
            return None;
        }
        let rests = |candidate: &&Candidate| barrier(candidate, needs) == Some(Exclusion::Rests);
        let resting = || self.candidates.iter().filter(rests);
        let is_untried = |candidate: &&Candidate| !needs.tried.contains(&candidate.id);
        let untried = resting().filter(is_untried);
        Some(BackoffEnds {
            any: resting()
                .filter_map(|candidate| candidate.rests_until)
                .min()?,
            untried: untried.filter_map(|candidate| candidate.rests_until).min(),
        })
    }

    /// Notes until when a target rests from this daemon.
    pub fn set_backoff(&mut self, id: &TargetId, until: Option<Millis>) {
        let candidates = self.candidates.iter_mut();
        for candidate in candidates.filter(|candidate| candidate.id == *id) {
            candidate.rests_until = until;
        }
    }

    /// Whether some target may take a request with these needs and is reachable.
    pub fn any_reachable(&self, now: Millis, needs: Requirements<'_>) -> bool {
        let serves = |candidate: &Candidate| {
            let is_open = barrier(candidate, needs).is_none();
            is_open && !self.load(&candidate.id).health.is_unreachable(now)
        };
        self.candidates.iter().any(serves)
    }

    /// Whether a request with these needs may go to this target.
    pub fn is_open(&self, id: &TargetId, needs: Requirements<'_>) -> bool {
        let candidate = self.candidate(id);
        candidate.is_some_and(|candidate| barrier(candidate, needs).is_none())
    }

    /// Whether all targets that stand where the request may be served are in
    /// evacuated halls, so that waiting for a place is in vain.
    pub fn all_evacuated(&self, needs: Requirements<'_>) -> bool {
        let barriers = self.candidates.iter().map(|c| barrier(c, needs));
        let mut in_region = barriers
            .filter(|b| *b != Some(Exclusion::Region))
            .peekable();
        in_region.peek().is_some() && in_region.all(|b| b == Some(Exclusion::Evacuated))
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
            self.sends.retain(|_, sends| sends.is_recent(now));
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

    /// Whether the targets are engines whose agents can be asked.
    pub fn have_agents(&self) -> bool {
        self.reading.is_some() && self.candidates.iter().any(|c| c.agent.is_some())
    }

    /// Whether others must be asked before some target gets a request: the agents
    /// beside engines, or the owners of limits.
    pub fn require_queries(&self) -> bool {
        self.have_agents() || self.candidates.iter().any(|c| c.limit.is_some())
    }

    /// Notes that no agent listens beside the target.
    pub fn agent_refused(&mut self, now: Millis, id: &TargetId) {
        self.loads.entry(id.clone()).or_default().agent_refused(now);
    }

    /// Notes that the agent beside the target did not answer.
    pub fn agent_timed_out(&mut self, now: Millis, id: &TargetId) {
        self.loads
            .entry(id.clone())
            .or_default()
            .agent_timed_out(now);
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
            .filter(|candidate| candidate.rests_until.is_none_or(|until| until <= now))
            .filter(|candidate| regions.contains(&candidate.region));
        usable.map(free).sum()
    }
}
