//! The thread of the member: feeds the replica, carries out its actions.

use super::{Committed, MemberInput, MemberOutput, MemberSettings, TIMING};
use crate::clock::Clock;
use crate::control_state::{ControlCommand, ControlState};
use crate::evacuations::HallOrderOutcome;
use moleroad_consensus::prelude::*;
use moleroad_types::prelude::{Millis, Term};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Time between looks at the clock, in milliseconds.
const TICK_MS: u64 = 25;
/// Entries after which the log is replaced by a snapshot.
const COMPACT_AFTER: usize = 48;
/// Time between tries to use a disk that failed, in milliseconds.
const REOPEN_MS: u64 = 300;

/// Opens the log and what was kept of it.
pub fn open(settings: &MemberSettings) -> Result<(Storage<FolderDisk>, Restored), StorageError> {
    let disk = FolderDisk::open(&settings.folder)?;
    Storage::open(disk, settings.fresh, &settings.instance)
}

/// What the thread works on.
pub struct Member {
    settings: MemberSettings,
    own: MemberInfo,
    clock: Clock,
    output: mpsc::UnboundedSender<MemberOutput>,
    storage: Option<Storage<FolderDisk>>,
    replica: Replica,
    state: Arc<ControlState>,
    next_ticket: u64,
    replies: BTreeMap<ProposalTicket, oneshot::Sender<Committed>>,
    placed: BTreeMap<LogIndex, (Term, ProposalTicket)>,
    told_leader: Option<(Term, Option<MemberId>)>,
    told_members: Option<Configuration>,
    /// Whether the members changed since this process began.
    replaced: bool,
    reopen_at: Millis,
    retired: bool,
}

impl Member {
    /// A member that stands where its disk left it.
    pub fn new(
        settings: MemberSettings,
        own: MemberInfo,
        clock: Clock,
        output: mpsc::UnboundedSender<MemberOutput>,
        storage: Storage<FolderDisk>,
        restored: Restored,
    ) -> Self {
        let state = state_of(&restored);
        let tentative = tentative_state(&state, &restored);
        let _ = output.send(MemberOutput::Tentative(Arc::new(tentative)));
        let replica = Replica::new(own.id, TIMING, rand::random(), restored, clock.now());
        let replica = replica.with_wanted_voters(settings.tolerated_losses * 2 + 1);
        Self {
            settings,
            own,
            clock,
            output,
            storage: Some(storage),
            replica,
            state: Arc::new(state),
            next_ticket: 1,
            replies: BTreeMap::new(),
            placed: BTreeMap::new(),
            told_leader: None,
            told_members: None,
            replaced: false,
            reopen_at: Millis(0),
            retired: false,
        }
    }

    /// Tells what the disk held, and founds the group if this is a first start.
    pub fn begin(&mut self, founding: Option<Configuration>) {
        self.tell_state();
        if let Some(configuration) = founding {
            self.feed(Event::Found(configuration));
        }
    }

    /// Works until the process stops.
    pub fn run(&mut self, inputs: &Receiver<MemberInput>) {
        loop {
            let first = match inputs.recv_timeout(Duration::from_millis(TICK_MS)) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut proposals = Vec::new();
            for input in first.into_iter().chain(inputs.try_iter()) {
                self.take(input, &mut proposals);
            }
            if !proposals.is_empty() {
                self.feed(Event::Propose(proposals));
            }
            if self.storage.is_none() {
                self.try_reopen();
            } else if !self.retired {
                self.feed(Event::Tick);
            }
            self.tell_leader();
            self.note_members();
            self.compact();
        }
    }

    fn take(&mut self, input: MemberInput, proposals: &mut Vec<Proposal>) {
        match input {
            MemberInput::Receive(from, message) => self.feed(Event::Receive { from, message }),
            MemberInput::Spare(info) => self.feed(Event::SpareSeen(info)),
            MemberInput::Propose(command, reply) => {
                if let Some(proposal) = self.proposal(&command, reply) {
                    proposals.push(proposal);
                }
            }
            MemberInput::Read(reply) => {
                let answer = self.read();
                let _ = reply.send(answer);
            }
            MemberInput::Retire => self.retired = true,
        }
    }

    fn proposal(
        &mut self,
        command: &ControlCommand,
        reply: oneshot::Sender<Committed>,
    ) -> Option<Proposal> {
        if self.storage.is_none() || self.retired {
            let _ = reply.send(Committed::NotLeader(None));
            return None;
        }
        if self.state.includes(command) {
            let _ = reply.send(Committed::Yes(self.state.document_id()));
            return None;
        }
        let Ok(data) = rmp_serde::to_vec(command) else {
            let _ = reply.send(Committed::Unknown);
            return None;
        };
        let ticket = ProposalTicket(self.next_ticket);
        self.next_ticket += 1;
        self.replies.insert(ticket, reply);
        Some(Proposal { ticket, data })
    }

    /// What is in force, if no other member can have changed it.
    fn read(&self) -> Result<Arc<ControlState>, Option<MemberInfo>> {
        let leads = self.storage.is_some() && self.replica.holds_lease(self.clock.now());
        if leads && !self.retired {
            Ok(self.state.clone())
        } else {
            let leader = self.replica.leader_info().cloned();
            Err(leader.filter(|leader| leader.id != self.own.id))
        }
    }

    fn feed(&mut self, event: Event) {
        if self.storage.is_none() {
            return;
        }
        let actions = self.replica.on_event(self.clock.now(), event);
        for action in actions {
            if let Err(error) = self.carry_out(action) {
                return self.disk_failed(&error);
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Result<(), StorageError> {
        let Some(storage) = self.storage.as_mut() else {
            return Ok(());
        };
        match action {
            Action::SaveHardState(hard_state) => storage.save_hard_state(hard_state)?,
            Action::Truncate(first) => storage.truncate(first)?,
            Action::Append(entries) => storage.append(&entries)?,
            Action::SaveSnapshot { snapshot, keep } => storage.save_snapshot(&snapshot, &keep)?,
            Action::Send { to, message } => {
                let _ = self.output.send(MemberOutput::Send(to, message));
            }
            Action::Restore(snapshot) => {
                self.state = Arc::new(decode_state(&snapshot));
                self.tell_state();
            }
            Action::Apply(entries) => self.apply(entries),
            Action::Proposed {
                ticket,
                index,
                term,
            } => {
                self.placed.insert(index, (term, ticket));
            }
            Action::Refused { ticket, leader } => {
                self.reply(ticket, Committed::NotLeader(leader));
            }
            Action::BecameLeader(term) => log::info!(event = "control_leads", term = term.0; ""),
            Action::LostLeadership => {
                log::info!(event = "control_leads_no_more"; "");
                self.abandon_proposals();
            }
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        let mut changed = false;
        let mut done = Vec::new();
        for entry in entries {
            let mut committed = Committed::Unknown;
            if let Payload::Command(data) = &entry.payload {
                match rmp_serde::from_slice::<ControlCommand>(data) {
                    Ok(command) => {
                        let (is_change, applied) = self.apply_command(&command);
                        changed |= is_change;
                        committed = applied;
                    }
                    Err(error) => log::error!(event = "command_unreadable"; "{error}"),
                }
            }
            if let Some((term, ticket)) = self.placed.remove(&entry.index) {
                if term != entry.term {
                    committed = Committed::Unknown;
                }
                done.push((ticket, committed));
            }
        }
        if changed {
            self.tell_state();
        }
        for (ticket, committed) in done {
            self.reply(ticket, committed);
        }
    }

    /// Applies a change; whether it changed anything, and what its proposer is
    /// told.
    fn apply_command(&mut self, command: &ControlCommand) -> (bool, Committed) {
        let state = Arc::make_mut(&mut self.state);
        let ControlCommand::OrderHall(order) = command else {
            let is_change = state.apply(command);
            return (is_change, Committed::Yes(state.document_id()));
        };
        let verdict = state.evacuations.carry_out(order);
        let is_change = verdict.outcome == HallOrderOutcome::Changed;
        (is_change, Committed::Hall(verdict))
    }

    fn reply(&mut self, ticket: ProposalTicket, committed: Committed) {
        if let Some(reply) = self.replies.remove(&ticket) {
            let _ = reply.send(committed);
        }
    }

    fn abandon_proposals(&mut self) {
        self.placed.clear();
        for (_, reply) in std::mem::take(&mut self.replies) {
            let _ = reply.send(Committed::Unknown);
        }
    }

    fn compact(&mut self) {
        if self.storage.is_none() || self.replica.entries_since_snapshot() < COMPACT_AFTER {
            return;
        }
        let index = self.replica.applied_index();
        if let Ok(state) = rmp_serde::to_vec(&*self.state) {
            self.feed(Event::Compact { index, state });
        }
    }

    /// After a failed write nothing is certain of the disk: the member goes
    /// silent and begins anew from what the disk then holds.
    fn disk_failed(&mut self, error: &StorageError) {
        log::warn!(event = "disk_failed"; "{error}");
        self.storage = None;
        self.reopen_at = self.clock.now() + REOPEN_MS;
        self.abandon_proposals();
        let _ = self.output.send(MemberOutput::Disk(Err(error.to_string())));
    }

    fn try_reopen(&mut self) {
        if self.clock.now() < self.reopen_at {
            return;
        }
        self.reopen_at = self.clock.now() + REOPEN_MS;
        match open(&self.settings) {
            Ok((storage, restored)) if storage.identity().member == self.own.id => {
                let restored_state = state_of(&restored);
                let now = self.clock.now();
                let replica = Replica::new(self.own.id, TIMING, rand::random(), restored, now);
                let wanted = self.settings.tolerated_losses * 2 + 1;
                self.replica = replica.with_wanted_voters(wanted);
                self.state = Arc::new(restored_state);
                self.storage = Some(storage);
                log::info!(event = "disk_works_again"; "");
                let _ = self.output.send(MemberOutput::Disk(Ok(())));
            }
            Ok(_) => log::error!(event = "disk_exchanged"; "the folder belongs to another member"),
            Err(error) => log::warn!(event = "disk_failed"; "{error}"),
        }
    }

    fn tell_state(&self) {
        let _ = self.output.send(MemberOutput::State(self.state.clone()));
    }

    /// Logs a change of the members, and whether it brought a member that was
    /// not there before.
    fn note_members(&mut self) {
        let members = self.replica.configuration();
        if self.told_members.as_ref() == Some(members) {
            return;
        }
        let earlier = self.told_members.as_ref();
        let is_new = |id: &MemberId| earlier.is_some_and(|e| !e.voters.contains(id));
        log::info!(
            event = "control_members",
            voters = members.voters.len() as u64,
            learners = members.learners.len() as u64,
            changing = members.is_joint(),
            replaced = self.replaced || members.voters.iter().any(is_new);
            ""
        );
        self.replaced |= members.voters.iter().any(is_new);
        self.told_members = Some(members.clone());
    }

    fn tell_leader(&mut self) {
        let leader = self.replica.leader_info().cloned();
        let now = (self.replica.term(), leader.as_ref().map(|info| info.id));
        if self.told_leader.as_ref() != Some(&now) {
            self.told_leader = Some(now);
            let _ = self.output.send(MemberOutput::Leader(now.0, leader));
        }
    }
}

fn state_of(restored: &Restored) -> ControlState {
    restored
        .snapshot
        .as_ref()
        .map(decode_state)
        .unwrap_or_default()
}

/// The state with all entries of the log applied, committed or not.
fn tentative_state(state: &ControlState, restored: &Restored) -> ControlState {
    let mut tentative = state.clone();
    for entry in &restored.entries {
        if let Payload::Command(data) = &entry.payload
            && let Ok(command) = rmp_serde::from_slice::<ControlCommand>(data)
        {
            tentative.apply(&command);
        }
    }
    tentative
}

fn decode_state(snapshot: &Snapshot) -> ControlState {
    if snapshot.state.is_empty() {
        return ControlState::default();
    }
    rmp_serde::from_slice(&snapshot.state).unwrap_or_else(|error| {
        log::error!(event = "snapshot_unreadable"; "{error}");
        ControlState::default()
    })
}
