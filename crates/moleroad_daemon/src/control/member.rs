//! The thread that owns a member's log, state and leadership.

use crate::context::Context;
use crate::control::data_folder::{self, DataFolder};
use crate::control::founding::found_group;
use crate::control::leadership::Leadership;
use crate::control::membership::{self, MembershipList};
use crate::control::outbox::Outbox;
use crate::control::pending::{Pending, Waiter};
use crossbeam::channel::{Receiver, RecvTimeoutError, unbounded};
use moleroad_consensus::prelude::*;
use moleroad_events::log::unix_ms;
use moleroad_events::prelude::EventKind;
use moleroad_rpc::prelude::*;
use moleroad_settings::prelude::ControlSettings;
use moleroad_state::prelude::*;
use moleroad_types::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for a call while weights are on their way.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Longest wait for a call otherwise.
const IDLE_TICK: Duration = Duration::from_millis(25);
/// Calls taken before the log is synced once for all of them.
const MAX_BATCH: usize = 512;
/// Time between two announcements of a member that is in no group.
const ANNOUNCE_MS: u64 = 1_000;
/// Longest time that an announcement may take.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(800);

/// One control member.
pub(super) struct Member {
    context: Arc<Context>,
    settings: ControlSettings,
    own: MemberInfo,
    folder: DataFolder,
    replica: Replica,
    state: ControlState,
    pending: Pending,
    outbox: Outbox,
    proposals: Vec<Proposal>,
    leadership: Option<Leadership>,
    lists: Receiver<MembershipList>,
    last_list: MembershipList,
    announced_at: Millis,
    leader_known_at: Millis,
    failed: Option<MoleroadError>,
}

impl Member {
    /// Opens the data folder and goes on from what it holds.
    pub(super) fn open(
        context: &Arc<Context>,
        settings: &ControlSettings,
    ) -> Result<Self, MoleroadError> {
        let mut folder = data_folder::open(&settings.data_folder, &context.settings.instance)?;
        let restored = std::mem::take(&mut folder.restored);
        let state = match &restored.snapshot {
            Some(snapshot) => decode_state(&snapshot.state)?,
            None => ControlState::default(),
        };
        let id = folder.storage.identity().member;
        let own = MemberInfo::new(
            id,
            context.settings.instance.clone(),
            context.settings.rpc_address,
        );
        let now = context.clock.now();
        let replica = Replica::new(id, timing(settings), rand::random(), restored, now);
        let (sender, lists) = unbounded();
        if let Some(address) = settings.membership_address {
            membership::watch(Arc::clone(context), address, sender);
        }
        Ok(Self {
            context: Arc::clone(context),
            settings: settings.clone(),
            outbox: Outbox::new(Arc::clone(context), own.clone()),
            own,
            folder,
            replica,
            state,
            pending: Pending::default(),
            proposals: Vec::new(),
            leadership: None,
            lists,
            last_list: MembershipList::default(),
            announced_at: now,
            leader_known_at: now,
            failed: None,
        })
    }

    /// Decides until the process ends or the disk fails.
    pub(super) fn run(mut self, calls: &Receiver<InboundCall>) {
        while self.failed.is_none() {
            if !self.take_calls(calls) {
                return;
            }
            self.propose();
            self.event(Event::Tick);
            self.take_membership();
            self.announce_if_alone();
            self.snapshot_if_due();
            self.lead();
        }
        if let Some(error) = &self.failed {
            // Nothing may be acknowledged any more; calls are refused from here.
            log::error!(code:% = error.code; "control stops: {error}");
        }
    }

    /// Waits for calls and takes those that are there; false at the end.
    fn take_calls(&mut self, calls: &Receiver<InboundCall>) -> bool {
        match calls.recv_timeout(self.tick()) {
            Ok(call) => self.take_call(call),
            Err(RecvTimeoutError::Timeout) => return true,
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        let started = Instant::now();
        for call in calls.try_iter().take(MAX_BATCH) {
            self.take_call(call);
            if started.elapsed() > BUSY_TICK {
                break;
            }
        }
        true
    }

    fn tick(&self) -> Duration {
        let transferring = self
            .leadership
            .as_ref()
            .is_some_and(Leadership::is_transferring);
        if transferring { BUSY_TICK } else { IDLE_TICK }
    }

    fn take_call(&mut self, call: InboundCall) {
        match call {
            InboundCall::Replicate(from, message) => self.event(Event::Receive { from, message }),
            InboundCall::Identify(reply) => {
                let has_group = !self.replica.configuration().is_empty();
                let _ = reply.send(Ok((self.own.clone(), has_group)));
            }
            InboundCall::Found(configuration, reply) => {
                self.event(Event::Found(configuration));
                let _ = reply.send(Ok(()));
            }
            InboundCall::AnnounceSpare(info, reply) => {
                let answer = self.leading().map(|_| ());
                self.event(Event::SpareSeen(info));
                let _ = reply.send(answer);
            }
            InboundCall::FoundGroup(key, reply) => self.found_group(&key, reply),
            InboundCall::Change(key, request, object, reply) => {
                self.change(&key, request, *object, reply)
            }
            InboundCall::Objects(key, reply) => {
                let answer = self.operator(&key).and_then(|_| self.leading());
                let objects = || {
                    self.state
                        .objects()
                        .map(|stored| stored.object.clone())
                        .collect()
                };
                let _ = reply.send(answer.map(|_| objects()));
            }
            InboundCall::History(key, reply) => {
                let answer = self.operator(&key).and_then(|_| self.leading());
                let _ = reply.send(answer.map(|_| self.state.history().cloned().collect()));
            }
            InboundCall::Status(key, reply) => {
                let answer = self.operator(&key).and_then(|_| self.status());
                let _ = reply.send(answer);
            }
            InboundCall::Directory(key, reply) => {
                let answer = self.operator(&key).and_then(|_| self.directory());
                let _ = reply.send(answer);
            }
            InboundCall::AgentSync(report, reply) => self.agent_sync(*report, reply),
            InboundCall::EntrySync(report, reply) => self.entry_sync(*report, reply),
            InboundCall::Manifest(root, reply) => {
                let answer = self.manifest(root);
                let _ = reply.send(answer);
            }
            InboundCall::Claim(request, reply) => {
                self.command(CommandBody::Claim(request), Waiter::Claim(reply));
            }
            InboundCall::Settle(key, request, outcome, reply) => {
                let body = CommandBody::Settle {
                    key,
                    request,
                    outcome,
                };
                self.command(body, Waiter::Settle(reply));
            }
            InboundCall::Events(reply) => {
                let _ = reply.send(self.context.events.events());
            }
        }
    }

    fn found_group(&self, key: &str, reply: Reply<Configuration>) {
        if let Err(error) = self.operator(key) {
            let _ = reply.send(Err(error));
            return;
        }
        let context = Arc::clone(&self.context);
        self.context.runtime.spawn(async move {
            let _ = reply.send(found_group(context).await);
        });
    }

    fn change(
        &mut self,
        key: &str,
        request: RequestId,
        object: Object,
        reply: Reply<ChangeAnswer>,
    ) {
        match self.operator(key) {
            Ok(operator) => {
                let body = CommandBody::Change(Change {
                    operator,
                    request,
                    object,
                });
                self.command(body, Waiter::Change(reply));
            }
            Err(error) => drop(reply.send(Err(error))),
        }
    }

    /// Queues a command; all queued ones share one sync of the log.
    fn command(&mut self, body: CommandBody, waiter: Waiter) {
        let command = Command {
            at_unix_ms: unix_ms(),
            body,
        };
        let ticket = self.pending.register(waiter);
        let data = rmp_serde::to_vec(&command).expect("plain data types always encode");
        self.proposals.push(Proposal { ticket, data });
    }

    fn propose(&mut self) {
        if !self.proposals.is_empty() {
            let proposals = std::mem::take(&mut self.proposals);
            self.event(Event::Propose(proposals));
        }
    }

    fn operator(&self, key: &str) -> Result<OperatorId, CallError> {
        let known = self
            .settings
            .operators
            .iter()
            .find(|operator| operator.key_hash.matches_key(key));
        let unknown = || MoleroadError::new(ResultCode::UnknownOperator, "").into();
        known
            .map(|operator| operator.name.clone())
            .ok_or_else(unknown)
    }

    /// The leadership, if this member may act on its own now.
    fn leading(&self) -> Result<&Leadership, CallError> {
        let not_leader = || CallError::NotLeader {
            leader: self
                .replica
                .leader_info()
                .filter(|info| info.id != self.own.id)
                .map(|info| info.address),
        };
        let holds_lease = self.replica.holds_lease(self.context.clock.now());
        self.leadership
            .as_ref()
            .filter(|_| holds_lease)
            .ok_or_else(not_leader)
    }

    fn status(&self) -> Result<SystemStatus, CallError> {
        let leadership = self.leading()?;
        let now = self.context.clock.now();
        Ok(SystemStatus {
            group: self.replica.status(now),
            revision: self.state.revision(),
            state_digest: self.state.digest(),
            replicas: leadership.replica_counts(),
            daemons: leadership.daemons(now),
        })
    }

    /// Where all daemons take calls, members that are no entries included.
    fn directory(&self) -> Result<Vec<DaemonAddress>, CallError> {
        let mut directory = self.leading()?.directory();
        for info in self.replica.configuration().members.values() {
            if directory
                .iter()
                .all(|known| known.instance != info.instance)
            {
                directory.push(DaemonAddress {
                    instance: info.instance.clone(),
                    rpc_address: info.address,
                });
            }
        }
        Ok(directory)
    }

    fn manifest(&self, root: RootDigest) -> Result<Manifest, CallError> {
        let manifest = self.leading()?.manifest(root).cloned();
        manifest.ok_or_else(|| MoleroadError::new(ResultCode::NotFound, root.to_hex()).into())
    }

    fn agent_sync(&mut self, report: AgentReport, reply: Reply<AgentOrders>) {
        if let Err(error) = self.leading() {
            let _ = reply.send(Err(error));
            return;
        }
        let now = self.context.clock.now();
        if let Some(leadership) = &mut self.leadership {
            leadership.agent_sync(now, report, reply);
        }
    }

    fn entry_sync(&mut self, report: EntryReport, reply: Reply<EntryView>) {
        if let Err(error) = self.leading() {
            let _ = reply.send(Err(error));
            return;
        }
        let now = self.context.clock.now();
        if let Some(leadership) = &mut self.leadership {
            leadership.entry_sync(now, report, reply);
        }
    }

    fn lead(&mut self) {
        let Some(lease_until) = self.replica.lease_until() else {
            return;
        };
        let now = self.context.clock.now();
        if let Some(leadership) = &mut self.leadership
            && now < lease_until
        {
            leadership.step(now, lease_until, &self.state);
        }
    }

    fn take_membership(&mut self) {
        for list in self.lists.try_iter().collect::<Vec<_>>() {
            self.last_list = list.clone();
            if let Some(leadership) = &mut self.leadership {
                leadership.membership_changed(list);
            }
        }
    }

    /// Announces a member that no leader reaches, so that it may be taken in.
    fn announce_if_alone(&mut self) {
        let now = self.context.clock.now();
        if self.replica.leader_info().is_some() {
            self.leader_known_at = now;
        }
        let alone = now.since(self.leader_known_at) > self.settings.election_max_ms;
        if !alone || now.since(self.announced_at) < ANNOUNCE_MS {
            return;
        }
        self.announced_at = now;
        let (context, own) = (Arc::clone(&self.context), self.own.clone());
        self.context.runtime.spawn(async move {
            let announce = |client: DaemonServiceClient, ctx| {
                let own = own.clone();
                async move { client.announce_spare(ctx, own).await }
            };
            let _ = context.control.call(ANNOUNCE_LIMIT, announce).await;
        });
    }

    fn snapshot_if_due(&mut self) {
        if self.replica.entries_since_snapshot() >= self.settings.snapshot_entries {
            let (index, state) = (self.replica.applied_index(), self.state.encode());
            self.event(Event::Compact { index, state });
        }
    }

    /// Feeds the replica and carries out what it asks for, in order.
    fn event(&mut self, event: Event) {
        let now = self.context.clock.now();
        for action in self.replica.on_event(now, event) {
            if self.failed.is_some() {
                return;
            }
            if let Err(error) = self.carry_out(action) {
                self.failed = Some(data_folder::storage_error(error));
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Result<(), StorageError> {
        match action {
            Action::SaveHardState(hard_state) => self.folder.storage.save_hard_state(hard_state)?,
            Action::Truncate(first) => self.folder.storage.truncate(first)?,
            Action::Append(entries) => {
                self.folder.storage.append(&entries)?;
                self.context.metrics.log_syncs.inc();
            }
            Action::SaveSnapshot { snapshot, keep } => {
                self.folder.storage.save_snapshot(&snapshot, &keep)?
            }
            Action::Send { to, message } => self.outbox.send(&to, message),
            Action::Restore(snapshot) => self.restore(&snapshot),
            Action::Apply(entries) => entries.iter().for_each(|entry| self.apply(entry)),
            Action::Proposed {
                ticket,
                index,
                term,
            } => self.pending.logged(ticket, index, term),
            Action::Refused { ticket, leader } => self.pending.refused(ticket, leader.as_ref()),
            Action::BecameLeader(term) => self.became_leader(term),
            Action::LostLeadership => self.lost_leadership(),
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match decode_state(&snapshot.state) {
            Ok(state) => self.state = state,
            Err(error) => self.failed = Some(error),
        }
        self.note_revision();
    }

    fn apply(&mut self, entry: &Entry) {
        let Payload::Command(data) = &entry.payload else {
            return;
        };
        let command: Command = match rmp_serde::from_slice(data) {
            Ok(command) => command,
            Err(error) => {
                // Every member refuses it alike, so the states stay equal.
                log::error!(index = entry.index.0, error:% = error; "a command is not readable");
                return;
            }
        };
        let before = self.state.revision();
        let answer = self.state.apply(&command);
        if self.state.revision() > before
            && let CommandBody::Change(change) = &command.body
        {
            self.object_changed(&change.object.key());
        }
        self.pending.applied(entry.index, entry.term, answer);
    }

    fn object_changed(&mut self, key: &ObjectKey) {
        self.note_revision();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if let Some(stored) = self.state.stored(key) {
            leadership.object_changed(stored);
        }
        self.context.events.record(EventKind::ChangeAccepted {
            revision: self.state.revision(),
            object: key.to_string(),
        });
    }

    fn note_revision(&self) {
        self.context
            .metrics
            .revision
            .set(self.state.revision().0 as i64);
    }

    fn became_leader(&mut self, term: Term) {
        log::info!(term = term.0; "became leader");
        self.context.events.record(EventKind::BecameLeader { term });
        self.context.metrics.leads.set(1);
        let now = self.context.clock.now();
        let context = Arc::clone(&self.context);
        let mut leadership = Leadership::new(context, &self.settings, term, now, &self.state);
        leadership.membership_changed(self.last_list.clone());
        self.leadership = Some(leadership);
    }

    fn lost_leadership(&mut self) {
        log::warn!("lost leadership");
        self.context.events.record(EventKind::LostLeadership);
        self.context.metrics.leads.set(0);
        self.leadership = None;
        self.pending.leadership_lost();
    }
}

fn decode_state(bytes: &[u8]) -> Result<ControlState, MoleroadError> {
    ControlState::decode(bytes)
        .map_err(|error| MoleroadError::new(ResultCode::DataFolderDamaged, error))
}

fn timing(settings: &ControlSettings) -> Timing {
    Timing {
        heartbeat_ms: settings.heartbeat_ms,
        election_min_ms: settings.election_min_ms,
        election_max_ms: settings.election_max_ms,
        lease_ms: settings.lease_ms,
        repair_after_ms: settings.repair_after_ms,
    }
}
