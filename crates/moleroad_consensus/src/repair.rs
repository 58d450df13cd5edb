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
        if self.configuration.members.contains_key(&info.id) {
            return;
        }
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
        let lost = self.lost_voters(state, now);
        if lost.is_empty() {
            return self.growth_configuration(state, now);
        }
        let mut lost = lost.into_iter();
        lost.find_map(|lost| self.configuration_without(state, now, lost))
    }

    /// Returns the next configuration towards the replacement of the voter `lost`, if
    /// there is a step to take.
    fn configuration_without(
        &self,
        state: &LeaderState,
        now: Millis,
        lost: MemberId,
    ) -> Option<Configuration> {
        let lost_info = self.configuration.members.get(&lost)?;
        if self
            .configuration
            .voter_of_instance(lost_info, None)
            .is_some()
        {
            // Groups of earlier versions may have given an instance two votes.
            return Some(self.configuration.without_voter(lost));
        }
        if let Some(replacement) = self.caught_up_learner(state, now, Some(lost_info)) {
            return self.configuration.replacing(lost, replacement);
        }
        if let Some(stale) = self.unresponsive_learner(state, now) {
            return Some(self.configuration.without_learner(stale));
        }
        let spare = self.best_spare(state, now, Some(lost_info))?;
        Some(self.configuration.with_learner(spare.clone()))
    }

    /// Returns the next configuration towards the desired number of voters, if
    /// there are fewer.
    fn growth_configuration(&self, state: &LeaderState, now: Millis) -> Option<Configuration> {
        if self.configuration.voters.len() >= self.desired_voters {
            return None;
        }
        if let Some(learner) = self.caught_up_learner(state, now, None) {
            return self.configuration.adding(learner);
        }
        if let Some(stale) = self.unresponsive_learner(state, now) {
            return Some(self.configuration.without_learner(stale));
        }
        if !self.configuration.learners.is_empty() {
            return None;
        }
        let spare = self.best_spare(state, now, None)?;
        Some(self.configuration.with_learner(spare.clone()))
    }

    /// Returns the lost voters: first those whose instance came back with another disk,
    /// which never return, then those without contact for too long.
    fn lost_voters(&self, state: &LeaderState, now: Millis) -> Vec<MemberId> {
        let voters = self.configuration.voters.iter().copied();
        let others = voters.filter(|id| *id != self.id);
        let mut lost: Vec<_> = others.filter(|id| self.is_lost(state, now, *id)).collect();
        lost.sort_by_key(|id| !self.is_replaced(state, now, *id));
        lost
    }

    fn is_lost(&self, state: &LeaderState, now: Millis, id: MemberId) -> bool {
        silent_ms(state, now, id) >= self.timing.repair_after_ms || self.is_replaced(state, now, id)
    }

    /// Returns whether the instance of the silent member `id` came back with another disk.
    fn is_replaced(&self, state: &LeaderState, now: Millis, id: MemberId) -> bool {
        silent_ms(state, now, id) > self.timing.lease_ms && self.has_other_disk(state, now, id)
    }

    /// Returns whether the instance of the member `id` was heard from under another id.
    fn has_other_disk(&self, state: &LeaderState, now: Millis, id: MemberId) -> bool {
        let members = &self.configuration.members;
        let Some(info) = members.get(&id) else {
            return false;
        };
        let is_other = |other: &&MemberInfo| other.id != id && other.is_same_instance(info);
        let spares = state
            .spares
            .values()
            .filter(|(_, seen)| now.since(*seen) < SPARE_EXPIRY_MS)
            .map(|(spare, _)| spare);
        let is_heard = |member: &&MemberInfo| {
            member.id == self.id || silent_ms(state, now, member.id) <= self.timing.lease_ms
        };
        let members = members.values().filter(is_heard);
        spares.chain(members).any(|other| is_other(&other))
    }

    /// Returns a reachable learner that holds all committed entries and may replace the
    /// voter `lost`, or be one more voter if there is none to replace.
    fn caught_up_learner(
        &self,
        state: &LeaderState,
        now: Millis,
        lost: Option<&MemberInfo>,
    ) -> Option<MemberId> {
        let members = &self.configuration.members;
        let learners = self.configuration.learners.iter();
        let ready = learners.filter_map(|id| members.get(id)).filter(|info| {
            state.progress.get(&info.id).is_some_and(|progress| {
                progress.matched >= self.commit
                    && now.since(progress.last_contact) <= self.timing.election_min_ms
            })
        });
        self.best_successor(lost, ready).map(|info| info.id)
    }

    fn unresponsive_learner(&self, state: &LeaderState, now: Millis) -> Option<MemberId> {
        let mut learners = self.configuration.learners.iter().copied();
        learners.find(|id| self.is_lost(state, now, *id))
    }

    fn best_spare<'a>(
        &'a self,
        state: &'a LeaderState,
        now: Millis,
        lost: Option<&MemberInfo>,
    ) -> Option<&'a MemberInfo> {
        let recent = state.spares.values().filter(|(info, seen)| {
            now.since(*seen) < SPARE_EXPIRY_MS && !self.configuration.members.contains_key(&info.id)
        });
        self.best_successor(lost, recent.map(|(info, _)| info))
    }

    /// Returns the candidate that may have the vote of `lost`, if possible one of the
    /// same instance. A candidate whose instance has another vote may not: it could
    /// only succeed its own former identity.
    fn best_successor<'a>(
        &self,
        lost: Option<&MemberInfo>,
        candidates: impl Iterator<Item = &'a MemberInfo>,
    ) -> Option<&'a MemberInfo> {
        let lost_id = lost.map(|lost| lost.id);
        let has_vote = |info: &MemberInfo| self.configuration.voter_of_instance(info, lost_id);
        let eligible = candidates.filter(|info| has_vote(info).is_none());
        let is_elsewhere = |info: &MemberInfo| lost.is_none_or(|lost| !info.is_same_instance(lost));
        eligible.min_by_key(|info| (is_elsewhere(info), info.id))
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

/// Returns the time since the last contact with the member `id`, in milliseconds.
fn silent_ms(state: &LeaderState, now: Millis, id: MemberId) -> u64 {
    let progress = state.progress.get(&id);
    progress.map_or(0, |progress| now.since(progress.last_contact))
}
