//! One member's part in the agreement: the pure core.

use crate::entry::{HardState, LogIndex, Payload, Snapshot};
use crate::event::{Action, Event, Proposal};
use crate::log::Log;
use crate::member::{Configuration, MemberId, MemberInfo};
use crate::message::Message;
use crate::storage::Restored;
use crate::timing::Timing;
use moleroad_types::prelude::{Millis, Term};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Most entries in one [`Message::Append`].
pub const MAX_ENTRIES_PER_APPEND: usize = 256;

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) next: LogIndex,
    pub(crate) matched: LogIndex,
    /// Latest `sent_at` that the member echoed.
    pub(crate) echoed: Option<Millis>,
    pub(crate) heard_at: Millis,
    pub(crate) snapshot_sent_at: Option<Millis>,
}

/// What only a leader keeps.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) heartbeat_due: Millis,
    /// Position of the entry that opened the term.
    pub(crate) opened_at: LogIndex,
    pub(crate) led_since: Millis,
    pub(crate) spares: BTreeMap<MemberId, (MemberInfo, Millis)>,
}

/// Which part a member plays in its term.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate(BTreeSet<MemberId>),
    Candidate(BTreeSet<MemberId>),
    Leader(Box<LeaderState>),
}

/// One member's state and decisions. No clock, disk or socket inside.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    pub(crate) random: SmallRng,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) configuration: Configuration,
    pub(crate) configuration_index: LogIndex,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) leader_heard_at: Millis,
    pub(crate) election_due: Millis,
    /// Sender of the message in hand: a member that is in no configuration
    /// yet can answer only there.
    pub(crate) correspondent: Option<MemberInfo>,
    /// Voters to grow to when spare members are seen; 0 never grows.
    pub(crate) wanted_voters: usize,
}

impl Replica {
    /// A replica that goes on from what its disk held.
    ///
    /// It counts as having heard a leader at `now`, so that a restart cannot
    /// break the promise behind a lease. `seed` spreads election times.
    pub fn new(id: MemberId, timing: Timing, seed: u64, restored: Restored, now: Millis) -> Self {
        assert!(
            timing.is_safe(),
            "the lease must end before an election can succeed"
        );
        let log = Log::new(restored.snapshot, restored.entries);
        let (configuration_index, configuration) = log.configuration_at(LogIndex(u64::MAX));
        let covered = log.snapshot_index();
        let mut replica = Self {
            id,
            timing,
            random: SmallRng::seed_from_u64(seed),
            hard: restored.hard_state,
            log,
            configuration,
            configuration_index,
            commit: covered,
            applied: covered,
            role: Role::Follower,
            leader: None,
            leader_heard_at: now,
            election_due: now,
            correspondent: None,
            wanted_voters: 0,
        };
        replica.reset_election(now);
        replica
    }

    /// The same replica, which as leader makes spare members voters until
    /// there are `wanted` of them.
    pub fn with_wanted_voters(mut self, wanted: usize) -> Self {
        self.wanted_voters = wanted;
        self
    }

    /// Takes one event and returns what must be done, in order.
    pub fn on_event(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Receive { from, message } => {
                let id = from.id;
                self.correspondent = Some(from);
                self.receive(now, id, message, &mut actions);
            }
            Event::Propose(proposals) => self.propose(now, proposals, &mut actions),
            Event::Compact { index, state } => self.compact(index, state, &mut actions),
            Event::SpareSeen(info) => self.note_spare(now, info),
            Event::Found(configuration) => self.found(now, configuration, &mut actions),
        }
        actions
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.is_leader() {
            self.lead(now, actions);
        } else if now >= self.election_due {
            self.stand(now, actions);
        }
    }

    fn receive(
        &mut self,
        now: Millis,
        from: MemberId,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::VoteRequest {
                term,
                pre,
                last_index,
                last_term,
            } => {
                self.answer_vote(now, from, term, pre, (last_term, last_index), actions);
            }
            Message::VoteReply { term, pre, granted } => {
                self.count_vote(now, from, term, pre, granted, actions);
            }
            Message::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                sent_at,
            } => {
                if self.follow(now, from, term, actions) {
                    self.take_entries(
                        from,
                        (prev_index, prev_term),
                        entries,
                        commit,
                        sent_at,
                        actions,
                    );
                } else {
                    self.reply_append(from, false, LogIndex(0), sent_at, actions);
                }
            }
            Message::AppendReply {
                term,
                accepted,
                position,
                sent_at,
            } => {
                self.count_append(now, from, term, accepted, position, sent_at, actions);
            }
            Message::Install {
                term,
                snapshot,
                sent_at,
            } => {
                if self.follow(now, from, term, actions) {
                    self.take_snapshot(from, snapshot, sent_at, actions);
                } else {
                    self.reply_append(from, false, LogIndex(0), sent_at, actions);
                }
            }
        }
    }

    fn propose(&mut self, now: Millis, proposals: Vec<Proposal>, actions: &mut Vec<Action>) {
        if !self.is_leader() {
            let leader = self.leader_info().cloned();
            for proposal in proposals {
                actions.push(Action::Refused {
                    ticket: proposal.ticket,
                    leader: leader.clone(),
                });
            }
            return;
        }
        let mut payloads = Vec::with_capacity(proposals.len());
        let mut index = self.log.last_index();
        for proposal in proposals {
            index = index.next();
            actions.push(Action::Proposed {
                ticket: proposal.ticket,
                index,
                term: self.hard.term,
            });
            payloads.push(Payload::Command(proposal.data));
        }
        self.append_as_leader(now, payloads, actions);
    }

    fn compact(&mut self, index: LogIndex, state: Vec<u8>, actions: &mut Vec<Action>) {
        if index <= self.log.snapshot_index() || index > self.applied {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let (_, configuration) = self.log.configuration_at(index);
        let state = std::sync::Arc::new(state.into());
        let snapshot = Snapshot {
            index,
            term,
            configuration,
            state,
        };
        self.log.compact(snapshot.clone());
        let keep = self.log.from(index.next(), usize::MAX).to_vec();
        actions.push(Action::SaveSnapshot { snapshot, keep });
    }

    fn found(&mut self, now: Millis, configuration: Configuration, actions: &mut Vec<Action>) {
        let untouched = self.configuration.is_empty() && self.log.last_index() == LogIndex(0);
        if !untouched || !configuration.is_voter(self.id) {
            return;
        }
        let state = std::sync::Arc::default();
        let snapshot = Snapshot {
            index: LogIndex(1),
            term: Term(0),
            configuration,
            state,
        };
        self.adopt_snapshot(snapshot, actions);
        self.reset_election(now);
    }

    /// Makes `snapshot` the whole of the log and of the applied state.
    pub(crate) fn adopt_snapshot(&mut self, snapshot: Snapshot, actions: &mut Vec<Action>) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.compact(snapshot.clone());
        self.reload_configuration();
        let keep = self.log.from(snapshot.index.next(), usize::MAX).to_vec();
        actions.push(Action::SaveSnapshot {
            snapshot: snapshot.clone(),
            keep,
        });
        actions.push(Action::Restore(snapshot));
    }

    pub(crate) fn reload_configuration(&mut self) {
        let (index, configuration) = self.log.configuration_at(LogIndex(u64::MAX));
        self.configuration_index = index;
        self.configuration = configuration;
    }

    pub(crate) fn reset_election(&mut self, now: Millis) {
        let span = self.timing.election_min_ms..=self.timing.election_max_ms;
        self.election_due = now + self.random.random_range(span);
    }

    pub(crate) fn send(&self, to: MemberId, message: Message, actions: &mut Vec<Action>) {
        let correspondent = self.correspondent.as_ref().filter(|info| info.id == to);
        if let Some(info) = self.configuration.members.get(&to).or(correspondent) {
            actions.push(Action::Send {
                to: info.clone(),
                message,
            });
        }
    }
}
