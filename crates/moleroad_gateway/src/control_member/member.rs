//! The member's thread: passes events to the consensus replica and executes its
//! actions.

use super::{MemberInput, MemberOutput, MemberSettings, ProposalOutcome, TIMING};
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

/// Longest time between two ticks of the replica, in milliseconds.
const TICK_INTERVAL_MS: u64 = 25;
/// Number of log entries after which they are compacted into a snapshot.
const COMPACT_AFTER_ENTRIES: usize = 48;
/// Time between attempts to reopen a failed disk, in milliseconds.
const DISK_RETRY_INTERVAL_MS: u64 = 300;

/// Opens the storage and reads the state that it holds.
pub fn open(settings: &MemberSettings) -> Result<(Storage<FolderDisk>, Restored), StorageError> {
    let disk = FolderDisk::open(&settings.folder)?;
    Storage::open(disk, settings.initial_id, &settings.instance)
}

/// State of the member's thread.
pub struct MemberThread {
    settings: MemberSettings,
    own: MemberInfo,
    clock: Clock,
    pub(super) output: mpsc::UnboundedSender<MemberOutput>,
    storage: Option<Storage<FolderDisk>>,
    pub(super) replica: Replica,
    state: Arc<ControlState>,
    next_ticket: u64,
    replies: BTreeMap<ProposalTicket, oneshot::Sender<ProposalOutcome>>,
    proposals_by_index: BTreeMap<LogIndex, (Term, ProposalTicket)>,
    published_leader: Option<(Term, Option<MemberId>)>,
    pub(super) logged_members: Option<Configuration>,
    pub(super) last_dropped: Option<(MemberId, Rejection)>,
    /// Whether a new voter has joined the group since this process started.
    pub(super) replaced: bool,
    reopen_at: Millis,
    retired: bool,
}

impl MemberThread {
    /// Creates a member that continues from the state on its disk.
    pub fn new(
        settings: MemberSettings,
        own: MemberInfo,
        clock: Clock,
        output: mpsc::UnboundedSender<MemberOutput>,
        storage: Storage<FolderDisk>,
        restored: Restored,
    ) -> Self {
        let state = snapshot_state(&restored);
        let tentative = tentative_state(&state, &restored);
        let _ = output.send(MemberOutput::Tentative(Arc::new(tentative)));
        let replica = Replica::new(own.id, TIMING, rand::random(), restored, clock.now());
        let replica = replica.with_desired_voters(settings.tolerated_losses * 2 + 1);
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
            proposals_by_index: BTreeMap::new(),
            published_leader: None,
            logged_members: None,
            last_dropped: None,
            replaced: false,
            reopen_at: Millis(0),
            retired: false,
        }
    }

    /// Publishes the state from the disk, and founds the group if `founding` is
    /// set.
    pub fn begin(&mut self, founding: Option<Configuration>) {
        self.publish_state();
        if let Some(configuration) = founding {
            self.handle_event(Event::Bootstrap(configuration));
        }
    }

    /// Processes inputs until the sending side is dropped.
    pub fn run(&mut self, inputs: &Receiver<MemberInput>) {
        loop {
            let first = match inputs.recv_timeout(Duration::from_millis(TICK_INTERVAL_MS)) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut proposals = Vec::new();
            for input in first.into_iter().chain(inputs.try_iter()) {
                self.handle_input(input, &mut proposals);
            }
            if !proposals.is_empty() {
                self.handle_event(Event::Propose(proposals));
            }
            if self.storage.is_none() {
                self.try_reopen_disk();
            } else if !self.retired {
                self.handle_event(Event::Tick);
            }
            self.publish_leader();
            self.log_members();
            self.compact();
        }
    }

    fn handle_input(&mut self, input: MemberInput, proposals: &mut Vec<Proposal>) {
        match input {
            MemberInput::Receive { from, to, message } => {
                self.handle_event(Event::Receive { from, to, message })
            }
            MemberInput::Spare(info) => self.handle_event(Event::SpareSeen(info)),
            MemberInput::Propose(command, reply) => {
                if let Some(proposal) = self.prepare_proposal(&command, reply) {
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

    /// Serializes a command for the log. Replies immediately and returns `None`
    /// if the command cannot be proposed or is already applied.
    fn prepare_proposal(
        &mut self,
        command: &ControlCommand,
        reply: oneshot::Sender<ProposalOutcome>,
    ) -> Option<Proposal> {
        if self.storage.is_none() || self.retired {
            let _ = reply.send(ProposalOutcome::NotLeader(None));
            return None;
        }
        if self.state.includes(command) {
            let _ = reply.send(ProposalOutcome::Applied(self.state.document_id()));
            return None;
        }
        let Ok(data) = rmp_serde::to_vec(command) else {
            let _ = reply.send(ProposalOutcome::Unknown);
            return None;
        };
        let ticket = ProposalTicket(self.next_ticket);
        self.next_ticket += 1;
        self.replies.insert(ticket, reply);
        Some(Proposal { ticket, data })
    }

    /// Returns the committed state if this member holds the leader's lease, so
    /// that no other member can have changed it. Otherwise returns the leader,
    /// if it is another member and known.
    fn read(&self) -> Result<Arc<ControlState>, Option<MemberInfo>> {
        let leads = self.storage.is_some() && self.replica.holds_lease(self.clock.now());
        if leads && !self.retired {
            Ok(self.state.clone())
        } else {
            let leader = self.replica.leader_info().cloned();
            Err(leader.filter(|leader| leader.id != self.own.id))
        }
    }

    fn handle_event(&mut self, event: Event) {
        if self.storage.is_none() {
            return;
        }
        let actions = self.replica.on_event(self.clock.now(), event);
        for action in actions {
            if let Err(error) = self.execute(action) {
                return self.disk_failed(&error);
            }
        }
    }

    fn execute(&mut self, action: Action) -> Result<(), StorageError> {
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
            Action::Dropped { from, rejection } => self.report_dropped(&from, rejection),
            Action::Restore(snapshot) => {
                self.state = Arc::new(decode_state(&snapshot));
                self.publish_state();
            }
            Action::Apply(entries) => self.apply(entries),
            Action::Proposed {
                ticket,
                index,
                term,
            } => {
                self.proposals_by_index.insert(index, (term, ticket));
            }
            Action::Refused { ticket, leader } => {
                self.reply(ticket, ProposalOutcome::NotLeader(leader));
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
            let mut outcome = ProposalOutcome::Unknown;
            if let Payload::Command(data) = &entry.payload {
                match rmp_serde::from_slice::<ControlCommand>(data) {
                    Ok(command) => {
                        let (is_change, applied) = self.apply_command(&command);
                        changed |= is_change;
                        outcome = applied;
                    }
                    Err(error) => log::error!(event = "command_unreadable"; "{error}"),
                }
            }
            if let Some((term, ticket)) = self.proposals_by_index.remove(&entry.index) {
                if term != entry.term {
                    outcome = ProposalOutcome::Unknown;
                }
                done.push((ticket, outcome));
            }
        }
        if changed {
            self.publish_state();
        }
        for (ticket, outcome) in done {
            self.reply(ticket, outcome);
        }
    }

    /// Applies a committed command. Returns whether the state changed, and the
    /// outcome for the proposer.
    fn apply_command(&mut self, command: &ControlCommand) -> (bool, ProposalOutcome) {
        let state = Arc::make_mut(&mut self.state);
        let ControlCommand::OrderHall(order) = command else {
            let is_change = state.apply(command);
            return (is_change, ProposalOutcome::Applied(state.document_id()));
        };
        let result = state.evacuations.apply(order);
        let is_change = result.outcome == HallOrderOutcome::Changed;
        (is_change, ProposalOutcome::Hall(result))
    }

    fn reply(&mut self, ticket: ProposalTicket, outcome: ProposalOutcome) {
        if let Some(reply) = self.replies.remove(&ticket) {
            let _ = reply.send(outcome);
        }
    }

    /// Reports the outcome of all pending proposals as unknown.
    fn abandon_proposals(&mut self) {
        self.proposals_by_index.clear();
        for (_, reply) in std::mem::take(&mut self.replies) {
            let _ = reply.send(ProposalOutcome::Unknown);
        }
    }

    /// Replaces the log by a snapshot once it has grown enough.
    fn compact(&mut self) {
        if self.storage.is_none() || self.replica.entries_since_snapshot() < COMPACT_AFTER_ENTRIES {
            return;
        }
        let index = self.replica.applied_index();
        if let Ok(state) = rmp_serde::to_vec(&*self.state) {
            self.handle_event(Event::Compact { index, state });
        }
    }

    /// Stops using the disk. After a failed write the content of the disk is
    /// unknown, so the member stays silent until the disk can be reopened and
    /// then restarts from the state found there.
    fn disk_failed(&mut self, error: &StorageError) {
        log::warn!(event = "disk_failed"; "{error}");
        self.storage = None;
        self.reopen_at = self.clock.now() + DISK_RETRY_INTERVAL_MS;
        self.abandon_proposals();
        let _ = self.output.send(MemberOutput::Disk(Err(error.to_string())));
    }

    fn try_reopen_disk(&mut self) {
        if self.clock.now() < self.reopen_at {
            return;
        }
        self.reopen_at = self.clock.now() + DISK_RETRY_INTERVAL_MS;
        match open(&self.settings) {
            Ok((storage, restored)) if storage.identity().member == self.own.id => {
                let restored_state = snapshot_state(&restored);
                let now = self.clock.now();
                let replica = Replica::new(self.own.id, TIMING, rand::random(), restored, now);
                let wanted = self.settings.tolerated_losses * 2 + 1;
                self.replica = replica.with_desired_voters(wanted);
                self.state = Arc::new(restored_state);
                self.storage = Some(storage);
                log::info!(event = "disk_works_again"; "");
                let _ = self.output.send(MemberOutput::Disk(Ok(())));
            }
            Ok(_) => log::error!(event = "disk_exchanged"; "the folder belongs to another member"),
            Err(error) => log::warn!(event = "disk_failed"; "{error}"),
        }
    }

    fn publish_state(&self) {
        let _ = self.output.send(MemberOutput::State(self.state.clone()));
    }

    fn publish_leader(&mut self) {
        let leader = self.replica.leader_info().cloned();
        let now = (self.replica.term(), leader.as_ref().map(|info| info.id));
        if self.published_leader.as_ref() != Some(&now) {
            self.published_leader = Some(now);
            let _ = self.output.send(MemberOutput::Leader(now.0, leader));
        }
    }
}

fn snapshot_state(restored: &Restored) -> ControlState {
    restored
        .snapshot
        .as_ref()
        .map(decode_state)
        .unwrap_or_default()
}

/// Returns the state with all log entries applied, whether committed or not.
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
