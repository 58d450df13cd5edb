//! Membership repair: replaces lost voters so that the group can tolerate the
//! next failure.

use crate::entry::{LogIndex, Payload};
use crate::event::Action;
use crate::member::{Configuration, MemberId, MemberInfo};
use crate::replica::{LeaderState, Replica, Role};
use moleroad_types::prelude::Millis;

/// Time after its last announcement for which a spare member is eligible, in
/// milliseconds.
const SPARE_EXPIRY_MS: u64 = 5_000;

impl Replica {
    /// Records a spare member that could replace a lost voter.
    pub(crate) fn record_spare(&mut self, now: Millis, info: MemberInfo) {
        if let Role::Leader(state) = &mut self.role {
            state.spares.insert(info.id, (info, now));
        }
    }

    /// Completes a committed membership change, and steps down if it removed
    /// this member.
    pub(crate) fn complete_membership_change(&mut self, now: Millis, actions: &mut Vec<Action>) {
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

    /// Starts at most one membership change if a voter is lost or the group is
    /// below its desired size.
    pub(crate) fn repair_membership(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(next) = self.next_configuration(now) {
            self.append_as_leader(now, vec![Payload::Configuration(next)], actions);
        }
    }

    fn next_configuration(&self, now: Millis) -> Option<Configuration> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let is_committed =
            self.commit >= self.configuration_index && self.commit >= state.term_start_index;
        if !is_committed || self.configuration.is_joint() {
            return None;
        }
        let Some(lost) = self.lost_voter(state, now) else {
            return self.growth_configuration(state, now);
        };
        let lost_info = self.configuration.members.get(&lost)?;
        if let Some(replacement) = self.caught_up_learner(state, now, lost_info) {
            return Some(self.configuration.replacing(lost, replacement));
        }
        if let Some(stale) = self.unresponsive_learner(state, now) {
            return Some(self.configuration.without_learner(stale));
        }
        let spare = self.best_spare(state, now, lost_info)?;
        Some(self.configuration.with_learner(spare.clone()))
    }

    /// Returns the next configuration towards the desired number of voters, if
    /// there are fewer.
    fn growth_configuration(&self, state: &LeaderState, now: Millis) -> Option<Configuration> {
        if self.configuration.voters.len() >= self.desired_voters {
            return None;
        }
        let own = self.configuration.members.get(&self.id)?;
        if let Some(learner) = self.caught_up_learner(state, now, own) {
            return Some(self.configuration.adding(learner));
        }
        if let Some(stale) = self.unresponsive_learner(state, now) {
            return Some(self.configuration.without_learner(stale));
        }
        if !self.configuration.learners.is_empty() {
            return None;
        }
        let spare = self.best_spare(state, now, own)?;
        Some(self.configuration.with_learner(spare.clone()))
    }

    /// Returns a lost voter: one without contact for too long, or one whose
    /// instance came back with another disk.
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
            let silent_ms = now.since(progress.last_contact);
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
            spare.instance == info.instance && now.since(*seen) < SPARE_EXPIRY_MS
        };
        let learner = |learner: &MemberId| {
            self.configuration
                .members
                .get(learner)
                .is_some_and(|l| l.instance == info.instance)
        };
        state.spares.values().any(spare) || self.configuration.learners.iter().any(learner)
    }

    /// Returns a reachable learner that holds all committed entries.
    fn caught_up_learner(
        &self,
        state: &LeaderState,
        now: Millis,
        lost: &MemberInfo,
    ) -> Option<MemberId> {
        let ready = self.configuration.learners.iter().copied().filter(|id| {
            state.progress.get(id).is_some_and(|progress| {
                progress.matched >= self.commit
                    && now.since(progress.last_contact) <= self.timing.election_min_ms
            })
        });
        self.prefer_instance_of(lost, ready)
    }

    fn unresponsive_learner(&self, state: &LeaderState, now: Millis) -> Option<MemberId> {
        self.configuration.learners.iter().copied().find(|id| {
            state.progress.get(id).is_some_and(|progress| {
                now.since(progress.last_contact) >= self.timing.repair_after_ms
            })
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
        let recent = state.spares.values().filter(|(info, seen)| {
            now.since(*seen) < SPARE_EXPIRY_MS && !self.configuration.members.contains_key(&info.id)
        });
        let spares = recent.map(|(info, _)| info);
        spares.min_by_key(|info| (info.instance != lost.instance, info.id))
    }

    /// Returns the number of voters that can fail at once: those beyond a
    /// majority that are reachable and hold the log up to
    /// `required_match_index`. `None` unless this member is the leader.
    pub(crate) fn losses_tolerated(&self, now: Millis) -> Option<usize> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if self.configuration.is_joint() {
            return Some(0);
        }
        let healthy = |id: &&MemberId| {
            **id == self.id
                || state.progress.get(*id).is_some_and(|p| {
                    p.matched >= self.commit.min(self.required_match_index())
                        && now.since(p.last_contact) <= self.timing.election_max_ms
                })
        };
        let voters = &self.configuration.voters;
        let healthy = voters.iter().filter(healthy).count();
        Some(healthy.saturating_sub(voters.len() / 2 + 1))
    }

    /// Returns the position up to which a voter must hold the log to count as a
    /// copy of it: that of the configuration with the current voters, so that a
    /// new voter holds everything from before it joined.
    fn required_match_index(&self) -> LogIndex {
        self.configuration_index
    }
}
