//! Raft state machine of one member.

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

/// Maximum number of entries in one [`Message::Append`].
pub const MAX_ENTRIES_PER_APPEND: usize = 256;

/// Replication progress of another member, tracked by the leader.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) next: LogIndex,
    pub(crate) matched: LogIndex,
    /// Latest `sent_at` that the member echoed.
    pub(crate) acked_sent_at: Option<Millis>,
    pub(crate) last_contact: Millis,
    pub(crate) snapshot_sent_at: Option<Millis>,
}

/// State that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) next_heartbeat_at: Millis,
    /// Position of the no-op entry that started the leader's term.
    pub(crate) term_start_index: LogIndex,
    pub(crate) leader_since: Millis,
    pub(crate) spares: BTreeMap<MemberId, (MemberInfo, Millis)>,
}

/// Role of a member in its current term.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate(BTreeSet<MemberId>),
    Candidate(BTreeSet<MemberId>),
    Leader(Box<LeaderState>),
}

/// State machine of one member. It uses no clock, disk or socket: the caller
/// passes the time in and executes the returned actions.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    pub(crate) random: SmallRng,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) configuration: Configuration,
    pub(crate) configuration_index: LogIndex,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) last_leader_contact: Millis,
    pub(crate) election_deadline: Millis,
    /// Sender of the latest message. A member that is not in any configuration
    /// yet can reply only to it.
    pub(crate) last_sender: Option<MemberInfo>,
    /// Number of voters to grow to while spare members are available; 0
    /// disables growth.
    pub(crate) desired_voters: usize,
}

impl Replica {
    /// Creates a replica that continues from the state restored from its disk.
    ///
    /// The replica counts `now` as its last contact with a leader, so that it
    /// cannot vote during a lease to which it contributed before a restart.
    /// `seed` randomizes election timeouts.
    pub fn new(id: MemberId, timing: Timing, seed: u64, restored: Restored, now: Millis) -> Self {
        assert!(
            timing.is_safe(),
            "the lease must expire before an election can succeed"
        );
        let log = Log::new(restored.snapshot, restored.entries);
        let (configuration_index, configuration) = log.configuration_at(LogIndex(u64::MAX));
        let snapshot_index = log.snapshot_index();
        let mut replica = Self {
            id,
            timing,
            random: SmallRng::seed_from_u64(seed),
            hard_state: restored.hard_state,
            log,
            configuration,
            configuration_index,
            commit: snapshot_index,
            applied: snapshot_index,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now,
            election_deadline: now,
            last_sender: None,
            desired_voters: 0,
        };
        replica.reset_election_timer(now);
        replica
    }

    /// Sets the number of voters up to which a leader promotes spare members.
    pub fn with_desired_voters(mut self, desired: usize) -> Self {
        self.desired_voters = desired;
        self
    }

    /// Processes an event and returns the actions to execute, in order.
    pub fn on_event(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Receive { from, to, message } => {
                if let Some(rejection) = self.rejection(now, &from, to, &message) {
                    actions.push(Action::Dropped { from, rejection });
                    return actions;
                }
                let id = from.id;
                self.last_sender = Some(from);
                self.receive(now, id, message, &mut actions);
            }
            Event::Propose(proposals) => self.propose(now, proposals, &mut actions),
            Event::Compact { index, state } => self.compact(index, state, &mut actions),
            Event::SpareSeen(info) => self.record_spare(now, info),
            Event::Bootstrap(configuration) => self.bootstrap(now, configuration, &mut actions),
        }
        actions
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.is_leader() {
            self.leader_tick(now, actions);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now, actions);
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
                self.handle_vote_request(now, from, term, pre, (last_term, last_index), actions);
            }
            Message::VoteReply { term, pre, granted } => {
                self.handle_vote_reply(now, from, term, pre, granted, actions);
            }
            Message::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                sent_at,
            } => {
                if self.accept_leader(now, from, term, actions) {
                    self.handle_append(
                        from,
                        (prev_index, prev_term),
                        entries,
                        commit,
                        sent_at,
                        actions,
                    );
                } else {
                    self.send_append_reply(from, false, LogIndex(0), sent_at, actions);
                }
            }
            Message::AppendReply {
                term,
                accepted,
                position,
                sent_at,
            } => {
                self.handle_append_reply(now, from, term, accepted, position, sent_at, actions);
            }
            Message::Install {
                term,
                snapshot,
                sent_at,
            } => {
                if self.accept_leader(now, from, term, actions) {
                    self.handle_install(from, snapshot, sent_at, actions);
                } else {
                    self.send_append_reply(from, false, LogIndex(0), sent_at, actions);
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
                term: self.hard_state.term,
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
        let keep = self.log.entries_from(index.next(), usize::MAX).to_vec();
        actions.push(Action::SaveSnapshot { snapshot, keep });
    }

    fn bootstrap(&mut self, now: Millis, configuration: Configuration, actions: &mut Vec<Action>) {
        let is_uninitialized =
            self.configuration.is_empty() && self.log.last_index() == LogIndex(0);
        if !is_uninitialized || !configuration.is_voter(self.id) {
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
        self.reset_election_timer(now);
    }

    /// Replaces the log prefix and the applied state with `snapshot`.
    pub(crate) fn adopt_snapshot(&mut self, snapshot: Snapshot, actions: &mut Vec<Action>) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.compact(snapshot.clone());
        self.reload_configuration();
        let keep = self
            .log
            .entries_from(snapshot.index.next(), usize::MAX)
            .to_vec();
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

    pub(crate) fn reset_election_timer(&mut self, now: Millis) {
        let span = self.timing.election_min_ms..=self.timing.election_max_ms;
        self.election_deadline = now + self.random.random_range(span);
    }

    pub(crate) fn send(&self, to: MemberId, message: Message, actions: &mut Vec<Action>) {
        let last_sender = self.last_sender.as_ref().filter(|info| info.id == to);
        let members = &self.configuration.members;
        // A former identity of this instance has this member's address.
        let own_address = members.get(&self.id).map(|own| own.address);
        if let Some(info) = members.get(&to).or(last_sender)
            && own_address != Some(info.address)
        {
            actions.push(Action::Send {
                to: info.clone(),
                message,
            });
        }
    }
}
