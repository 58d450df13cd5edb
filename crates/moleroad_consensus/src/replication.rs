//! Copying the log from the leader to the other members.

use crate::entry::{Entry, LogIndex, Payload, Snapshot};
use crate::member::MemberId;
use crate::message::Message;
use crate::replica::{Action, MAX_ENTRIES_PER_APPEND, Replica, Role};
use moleroad_types::prelude::{Millis, Term};

impl Replica {
    /// The leader's periodic work.
    pub(crate) fn lead(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.lost_majority(now) {
            return self.step_down(now, actions);
        }
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if now >= state.heartbeat_due {
            state.heartbeat_due = now + self.timing.heartbeat_ms;
            self.send_to_all(now, actions);
        }
        self.tend_members(now, actions);
    }

    fn lost_majority(&self, now: Millis) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let heard = |id: MemberId| {
            id == self.id
                || state
                    .progress
                    .get(&id)
                    .is_some_and(|p| now.since(p.heard_at) <= self.timing.election_max_ms)
        };
        now.since(state.led_since) > self.timing.election_max_ms
            && !self.configuration.has_quorum(heard)
    }

    /// Puts `payloads` at the end of the log, stores and sends them.
    pub(crate) fn append_as_leader(
        &mut self,
        now: Millis,
        payloads: Vec<Payload>,
        actions: &mut Vec<Action>,
    ) {
        let mut index = self.log.last_index();
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            index = index.next();
            entries.push(Entry {
                index,
                term: self.hard.term,
                payload,
            });
        }
        self.log.append(&entries);
        let changes_members = entries
            .iter()
            .any(|e| matches!(e.payload, Payload::Configuration(_)));
        actions.push(Action::Append(entries));
        if changes_members {
            self.reload_configuration();
            self.track_members(now);
        }
        self.send_to_all(now, actions);
        self.advance_commit(now, actions);
    }

    fn send_to_all(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for id in self.configuration.everyone() {
            if id != self.id {
                self.send_entries(now, id, actions);
            }
        }
    }

    /// Sends `to` what it lacks, or a heartbeat when it lacks nothing.
    fn send_entries(&mut self, now: Millis, to: MemberId, actions: &mut Vec<Action>) {
        let term = self.hard.term;
        let commit = self.commit;
        let retry_ms = self.timing.election_max_ms;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next.previous();
        let message = match self.log.term_at(prev_index) {
            Some(prev_term) if progress.next > self.log.snapshot_index() => {
                progress.snapshot_sent_at = None;
                let entries = self
                    .log
                    .from(progress.next, MAX_ENTRIES_PER_APPEND)
                    .to_vec();
                progress.next = LogIndex(progress.next.0 + entries.len() as u64);
                Message::Append {
                    term,
                    prev_index,
                    prev_term,
                    entries,
                    commit,
                    sent_at: now,
                }
            }
            _ if progress
                .snapshot_sent_at
                .is_some_and(|at| now.since(at) < retry_ms) =>
            {
                Message::Append {
                    term,
                    prev_index: LogIndex(0),
                    prev_term: Term(0),
                    entries: Vec::new(),
                    commit: LogIndex(0),
                    sent_at: now,
                }
            }
            _ => {
                progress.snapshot_sent_at = Some(now);
                let Some(snapshot) = self.log.snapshot().cloned() else {
                    return;
                };
                Message::Install {
                    term,
                    snapshot,
                    sent_at: now,
                }
            }
        };
        self.send(to, message, actions);
    }

    /// Follows the leader `from` of `term`; false when the term is over.
    pub(crate) fn follow(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        actions: &mut Vec<Action>,
    ) -> bool {
        if term < self.hard.term {
            return false;
        }
        if term > self.hard.term {
            self.enter_term(now, term, actions);
        } else if !matches!(self.role, Role::Follower) {
            assert!(!self.is_leader(), "two leaders in one term");
            self.step_down(now, actions);
        }
        self.leader = Some(from);
        self.leader_heard_at = now;
        self.reset_election(now);
        true
    }

    pub(crate) fn take_entries(
        &mut self,
        from: MemberId,
        previous: (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        sent_at: Millis,
        actions: &mut Vec<Action>,
    ) {
        let (prev_index, prev_term) = previous;
        let covered = prev_index < self.log.snapshot_index();
        if !covered && self.log.term_at(prev_index) != Some(prev_term) {
            let hint = prev_index
                .previous()
                .min(self.log.last_index())
                .max(self.commit);
            return self.reply_append(from, false, hint, sent_at, actions);
        }
        let matched = LogIndex(prev_index.0 + entries.len() as u64);
        self.store_new(entries, actions);
        self.reply_append(from, true, matched, sent_at, actions);
        self.commit_to(commit.min(matched), actions);
    }

    /// Stores those of `entries` that the log does not hold yet.
    fn store_new(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        let first_new = entries.iter().position(|entry| {
            entry.index > self.log.snapshot_index()
                && self.log.term_at(entry.index) != Some(entry.term)
        });
        let Some(first_new) = first_new else { return };
        let fresh = entries[first_new..].to_vec();
        let start = fresh[0].index;
        if start <= self.log.last_index() {
            assert!(start > self.commit, "a committed entry is never replaced");
            self.log.truncate_from(start);
            actions.push(Action::Truncate(start));
        }
        self.log.append(&fresh);
        actions.push(Action::Append(fresh));
        self.reload_configuration();
    }

    pub(crate) fn take_snapshot(
        &mut self,
        from: MemberId,
        snapshot: Snapshot,
        sent_at: Millis,
        actions: &mut Vec<Action>,
    ) {
        let position = snapshot.index;
        if position > self.commit {
            self.adopt_snapshot(snapshot, actions);
        }
        self.reply_append(from, true, position, sent_at, actions);
    }

    pub(crate) fn reply_append(
        &self,
        to: MemberId,
        accepted: bool,
        position: LogIndex,
        sent_at: Millis,
        actions: &mut Vec<Action>,
    ) {
        let reply = Message::AppendReply {
            term: self.hard.term,
            accepted,
            position,
            sent_at,
        };
        self.send(to, reply, actions);
    }

    pub(crate) fn count_append(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        accepted: bool,
        position: LogIndex,
        sent_at: Millis,
        actions: &mut Vec<Action>,
    ) {
        if term > self.hard.term {
            return self.enter_term(now, term, actions);
        }
        let last_index = self.log.last_index();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        if term < self.hard.term {
            return;
        }
        progress.heard_at = now;
        progress.echoed = progress.echoed.max(Some(sent_at));
        if accepted {
            progress.matched = progress.matched.max(position.min(last_index));
            progress.next = progress.next.max(progress.matched.next());
        } else {
            progress.next = position.next().max(progress.matched.next());
            progress.snapshot_sent_at = None;
        }
        let lags = !accepted || progress.next <= last_index;
        self.advance_commit(now, actions);
        if lags {
            self.send_entries(now, from, actions);
        }
    }

    /// Commits what a majority holds, if it is of this term.
    fn advance_commit(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let matched = |id: MemberId| {
            if id == self.id {
                return self.log.last_index();
            }
            state
                .progress
                .get(&id)
                .map_or(LogIndex(0), |progress| progress.matched)
        };
        let Some(held) = self.configuration.quorum_value(matched) else {
            return;
        };
        if held > self.commit && self.log.term_at(held) == Some(self.hard.term) {
            self.commit_to(held, actions);
            self.after_commit(now, actions);
        }
    }

    fn commit_to(&mut self, commit: LogIndex, actions: &mut Vec<Action>) {
        if commit <= self.commit {
            return;
        }
        self.commit = commit;
        let first = self.applied.next();
        let count = (commit.0 - self.applied.0) as usize;
        let entries = self.log.from(first, count).to_vec();
        assert_eq!(entries.len(), count, "committed entries are in the log");
        self.applied = commit;
        actions.push(Action::Apply(entries));
    }
}
