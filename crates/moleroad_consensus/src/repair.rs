//! Replacing lost voters, so that the group can stand the next loss.

use crate::entry::{LogIndex, Payload};
use crate::event::Action;
use crate::member::{Configuration, MemberId, MemberInfo};
use crate::replica::{LeaderState, Replica, Role};
use moleroad_types::prelude::Millis;

/// How long a spare member counts after it was last seen, in milliseconds.
const SPARE_FRESH_MS: u64 = 5_000;

impl Replica {
    /// Remembers a member that could take a lost voter's place.
    pub(crate) fn note_spare(&mut self, now: Millis, info: MemberInfo) {
        if let Role::Leader(state) = &mut self.role {
            state.spares.insert(info.id, (info, now));
        }
    }

    /// Finishes a change of members, or steps down when it left this one out.
    pub(crate) fn after_commit(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.commit < self.configuration_index {
            return;
        }
        if self.configuration.is_joint() {
            let next = self.configuration.leaving_joint();
            return self.append_as_leader(now, vec![Payload::Configuration(next)], actions);
        }
        if !self.configuration.is_voter(self.id) {
            self.step_down(now, actions);
        }
    }

    /// Starts at most one change of members when a voter is lost.
    pub(crate) fn tend_members(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(next) = self.next_configuration(now) {
            self.append_as_leader(now, vec![Payload::Configuration(next)], actions);
        }
    }

    fn next_configuration(&self, now: Millis) -> Option<Configuration> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let settled = self.commit >= self.configuration_index && self.commit >= state.opened_at;
        if !settled || self.configuration.is_joint() {
            return None;
        }
        let Some(lost) = self.lost_voter(state, now) else {
            return self.grown_configuration(state, now);
        };
        let lost_info = self.configuration.members.get(&lost)?;
        if let Some(replacement) = self.ready_learner(state, now, lost_info) {
            return Some(self.configuration.replacing(lost, replacement));
        }
        if let Some(stale) = self.silent_learner(state, now) {
            return Some(self.configuration.without_learner(stale));
        }
        let spare = self.best_spare(state, now, lost_info)?;
        Some(self.configuration.with_learner(spare.clone()))
    }

    /// The next step towards the wanted number of voters, if there are fewer.
    fn grown_configuration(&self, state: &LeaderState, now: Millis) -> Option<Configuration> {
        if self.configuration.voters.len() >= self.wanted_voters {
            return None;
        }
        let own = self.configuration.members.get(&self.id)?;
        if let Some(learner) = self.ready_learner(state, now, own) {
            return Some(self.configuration.adding(learner));
        }
        if let Some(stale) = self.silent_learner(state, now) {
            return Some(self.configuration.without_learner(stale));
        }
        if !self.configuration.learners.is_empty() {
            return None;
        }
        let spare = self.best_spare(state, now, own)?;
        Some(self.configuration.with_learner(spare.clone()))
    }

    /// A voter that is silent for too long, or whose instance came back with
    /// another disk.
    fn lost_voter(&self, state: &LeaderState, now: Millis) -> Option<MemberId> {
        let others = self
            .configuration
            .voters
            .iter()
            .filter(|id| **id != self.id);
        others.copied().find(|id| {
            let Some(progress) = state.progress.get(id) else {
                return false;
            };
            let silent_ms = now.since(progress.heard_at);
            let replaced = self.instance_has_other_disk(state, now, *id);
            silent_ms >= self.timing.repair_after_ms
                || (replaced && silent_ms > self.timing.lease_ms)
        })
    }

    fn instance_has_other_disk(&self, state: &LeaderState, now: Millis, id: MemberId) -> bool {
        let Some(info) = self.configuration.members.get(&id) else {
            return false;
        };
        let spare = |(spare, seen): &(MemberInfo, Millis)| {
            spare.instance == info.instance && now.since(*seen) < SPARE_FRESH_MS
        };
        let learner = |learner: &MemberId| {
            self.configuration
                .members
                .get(learner)
                .is_some_and(|l| l.instance == info.instance)
        };
        state.spares.values().any(spare) || self.configuration.learners.iter().any(learner)
    }

    /// A learner that is heard and holds all that is committed.
    fn ready_learner(
        &self,
        state: &LeaderState,
        now: Millis,
        lost: &MemberInfo,
    ) -> Option<MemberId> {
        let ready = self.configuration.learners.iter().copied().filter(|id| {
            state.progress.get(id).is_some_and(|progress| {
                progress.matched >= self.commit
                    && now.since(progress.heard_at) <= self.timing.election_min_ms
            })
        });
        self.prefer_instance_of(lost, ready)
    }

    fn silent_learner(&self, state: &LeaderState, now: Millis) -> Option<MemberId> {
        self.configuration.learners.iter().copied().find(|id| {
            state
                .progress
                .get(id)
                .is_some_and(|progress| now.since(progress.heard_at) >= self.timing.repair_after_ms)
        })
    }

    fn prefer_instance_of(
        &self,
        lost: &MemberInfo,
        candidates: impl Iterator<Item = MemberId>,
    ) -> Option<MemberId> {
        candidates.min_by_key(|id| {
            let info = self.configuration.members.get(id);
            (info.is_none_or(|info| info.instance != lost.instance), *id)
        })
    }

    fn best_spare<'a>(
        &self,
        state: &'a LeaderState,
        now: Millis,
        lost: &MemberInfo,
    ) -> Option<&'a MemberInfo> {
        let fresh = state.spares.values().filter(|(info, seen)| {
            now.since(*seen) < SPARE_FRESH_MS && !self.configuration.members.contains_key(&info.id)
        });
        let spares = fresh.map(|(info, _)| info);
        spares.min_by_key(|info| (info.instance != lost.instance, info.id))
    }

    /// Voters that may be lost at once: those beyond a majority that are heard
    /// and hold all that is committed. `None` when this member does not lead.
    pub(crate) fn losses_tolerated(&self, now: Millis) -> Option<usize> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if self.configuration.is_joint() {
            return Some(0);
        }
        let sound = |id: &&MemberId| {
            **id == self.id
                || state.progress.get(*id).is_some_and(|p| {
                    p.matched >= self.commit.min(self.safe_mark())
                        && now.since(p.heard_at) <= self.timing.election_max_ms
                })
        };
        let voters = &self.configuration.voters;
        let sound = voters.iter().filter(sound).count();
        Some(sound.saturating_sub(voters.len() / 2 + 1))
    }

    /// Position from which a voter counts as holding the whole log: the
    /// configuration that made the present set of voters, so that a voter that
    /// joined holds everything from before it joined.
    fn safe_mark(&self) -> LogIndex {
        self.configuration_index
    }
}
