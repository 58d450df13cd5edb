//! Standing for election and voting.

use crate::entry::{LogIndex, Payload};
use crate::member::MemberId;
use crate::message::Message;
use crate::replica::{Action, LeaderState, Progress, Replica, Role};
use moleroad_types::prelude::{Millis, Term};
use std::collections::{BTreeMap, BTreeSet};

impl Replica {
    /// Sounds out whether an election could succeed.
    pub(crate) fn stand(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.reset_election(now);
        if !self.configuration.is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        self.ask_votes(Term(self.hard.term.0 + 1), true, actions);
        self.proceed_if_elected(now, actions);
    }

    fn ask_votes(&self, term: Term, pre: bool, actions: &mut Vec<Action>) {
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        for voter in self.configuration.everyone() {
            if voter != self.id && self.configuration.is_voter(voter) {
                self.send(
                    voter,
                    Message::VoteRequest {
                        term,
                        pre,
                        last_index,
                        last_term,
                    },
                    actions,
                );
            }
        }
    }

    pub(crate) fn answer_vote(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        pre: bool,
        candidate_log: (Term, LogIndex),
        actions: &mut Vec<Action>,
    ) {
        // A member that hears a leader neither votes nor takes the new term:
        // the lease rests on this.
        if self.hears_leader(now) {
            return self.reply_vote(from, self.hard.term, pre, false, actions);
        }
        if !pre && term > self.hard.term {
            self.enter_term(now, term, actions);
        }
        let log_is_current = candidate_log >= (self.log.last_term(), self.log.last_index());
        let vote_is_free = pre || self.hard.voted_for.is_none_or(|voted| voted == from);
        let term_is_current = if pre {
            term > self.hard.term
        } else {
            term == self.hard.term
        };
        let granted = log_is_current && vote_is_free && term_is_current;
        if granted && !pre {
            self.hard.voted_for = Some(from);
            actions.push(Action::SaveHardState(self.hard));
            self.reset_election(now);
        }
        let answered = if granted { term } else { self.hard.term };
        self.reply_vote(from, answered, pre, granted, actions);
    }

    fn hears_leader(&self, now: Millis) -> bool {
        if self.is_leader() {
            return true;
        }
        now.since(self.leader_heard_at) < self.timing.election_min_ms
    }

    fn reply_vote(
        &self,
        to: MemberId,
        term: Term,
        pre: bool,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        self.send(to, Message::VoteReply { term, pre, granted }, actions);
    }

    pub(crate) fn count_vote(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        pre: bool,
        granted: bool,
        actions: &mut Vec<Action>,
    ) {
        if !granted {
            if term > self.hard.term {
                self.enter_term(now, term, actions);
            }
            return;
        }
        match &mut self.role {
            Role::PreCandidate(grants) if pre && term.0 == self.hard.term.0 + 1 => {
                grants.insert(from)
            }
            Role::Candidate(grants) if !pre && term == self.hard.term => grants.insert(from),
            _ => return,
        };
        self.proceed_if_elected(now, actions);
    }

    fn proceed_if_elected(&mut self, now: Millis, actions: &mut Vec<Action>) {
        match &self.role {
            Role::PreCandidate(grants)
                if self.configuration.has_quorum(|id| grants.contains(&id)) =>
            {
                self.become_candidate(now, actions);
            }
            Role::Candidate(grants) if self.configuration.has_quorum(|id| grants.contains(&id)) => {
                self.become_leader(now, actions);
            }
            _ => {}
        }
    }

    fn become_candidate(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.hard.term = Term(self.hard.term.0 + 1);
        self.hard.voted_for = Some(self.id);
        actions.push(Action::SaveHardState(self.hard));
        self.role = Role::Candidate(BTreeSet::from([self.id]));
        self.ask_votes(self.hard.term, false, actions);
        self.proceed_if_elected(now, actions);
    }

    fn become_leader(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.leader = Some(self.id);
        self.role = Role::Leader(Box::new(LeaderState {
            progress: BTreeMap::new(),
            heartbeat_due: now,
            opened_at: self.log.last_index().next(),
            led_since: now,
            spares: BTreeMap::new(),
        }));
        self.track_members(now);
        actions.push(Action::BecameLeader(self.hard.term));
        self.append_as_leader(now, vec![Payload::Noop], actions);
    }

    /// Starts tracking members that joined the configuration, and drops those
    /// that left it.
    pub(crate) fn track_members(&mut self, now: Millis) {
        let everyone = self.configuration.everyone();
        let next = self.log.last_index().next();
        let own_id = self.id;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        state.progress.retain(|id, _| everyone.contains(id));
        for id in everyone.into_iter().filter(|id| *id != own_id) {
            state.progress.entry(id).or_insert(Progress {
                next,
                matched: LogIndex(0),
                echoed: None,
                heard_at: now,
                snapshot_sent_at: None,
            });
        }
    }

    /// Becomes a follower in a later `term`.
    pub(crate) fn enter_term(&mut self, now: Millis, term: Term, actions: &mut Vec<Action>) {
        self.hard = crate::entry::HardState {
            term,
            voted_for: None,
        };
        actions.push(Action::SaveHardState(self.hard));
        self.step_down(now, actions);
    }

    /// Becomes a follower in the same term.
    pub(crate) fn step_down(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.is_leader() {
            actions.push(Action::LostLeadership);
        }
        self.role = Role::Follower;
        self.leader = None;
        self.reset_election(now);
    }
}
