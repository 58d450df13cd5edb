//! The local member of the control group. A dedicated thread owns the consensus
//! replica and its disk, so that a slow disk blocks no other part of the
//! process.

mod member;
mod report;

use crate::clock::Clock;
use crate::control_state::{ControlCommand, ControlState, DocumentId};
use crate::deciding::run_deciding;
use crate::evacuations::HallOrderResult;
use member::{MemberThread, open};
use moleroad_consensus::prelude::*;
use moleroad_types::prelude::Term;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use tokio::sync::{mpsc, oneshot};

/// Timing of the control group. The lease expires before another member can be
/// elected, even if clocks drift by 10%.
pub const TIMING: Timing = Timing {
    heartbeat_ms: 100,
    election_min_ms: 600,
    election_max_ms: 1_000,
    lease_ms: 450,
    repair_after_ms: 1_600,
};

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The change, or a later one that supersedes it, is durable on a majority
    /// and applied. Carries the ID of the configuration in force afterwards.
    Applied(Option<DocumentId>),
    /// An order for a data hall is durable on a majority and applied, with this
    /// result.
    Hall(HallOrderResult),
    /// This member is not the leader. Carries the leader if it is known.
    NotLeader(Option<MemberInfo>),
    /// The change may or may not be committed.
    Unknown,
}

/// Messages to the member's thread.
pub enum MemberInput {
    /// A consensus message that arrived here.
    Receive {
        /// Sender.
        from: MemberInfo,
        /// Member that it was sent to.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Proposes a change and reports its outcome.
    Propose(ControlCommand, oneshot::Sender<ProposalOutcome>),
    /// Reads the current state, if this member is the leader and holds its
    /// lease. Otherwise replies with the leader, if known.
    Read(oneshot::Sender<Result<Arc<ControlState>, Option<MemberInfo>>>),
    /// A daemon with a disk that may not belong to the group yet and could
    /// replace a lost member.
    Spare(MemberInfo),
    /// Gives up leadership and takes no further part in elections: the process
    /// is stopping.
    Retire,
}

/// Messages from the member's thread.
pub enum MemberOutput {
    /// Send this message to a member.
    Send(MemberInfo, Message),
    /// A received message was dropped.
    Dropped,
    /// The committed state.
    State(Arc<ControlState>),
    /// The state including log entries found at startup that may not be
    /// committed. Usable for preparation only; requests must not depend on it.
    Tentative(Arc<ControlState>),
    /// The current term and its leader, if known.
    Leader(Term, Option<MemberInfo>),
    /// The disk failed, or works again after a failure.
    Disk(Result<(), String>),
}

/// Settings of the member's thread.
pub struct MemberSettings {
    /// Folder that holds the member's durable state.
    pub folder: PathBuf,
    /// Member ID to use if the folder is empty.
    pub initial_id: MemberId,
    /// Name of the instance.
    pub instance: String,
    /// Address that receives consensus messages.
    pub address: std::net::SocketAddr,
    /// Initial members, set only when the group starts for the first time.
    pub founding: Option<Configuration>,
    /// Number of simultaneous member failures that the group tolerates.
    pub tolerated_losses: usize,
}

/// Handle to the member's thread.
#[derive(Clone)]
pub struct ControlMember {
    input: Sender<MemberInput>,
    /// This member, with the ID stored on its disk.
    pub own: MemberInfo,
    /// Whether the disk held state from an earlier run.
    pub has_stored_state: bool,
}

impl ControlMember {
    /// Starts the thread.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be opened or read, or the thread
    /// cannot be spawned.
    pub fn start(
        settings: MemberSettings,
        clock: Clock,
        output: mpsc::UnboundedSender<MemberOutput>,
    ) -> Result<Self, StorageError> {
        let (storage, restored) = open(&settings)?;
        let own = MemberInfo::new(
            storage.identity().member,
            settings.instance.as_str(),
            settings.address,
        );
        let has_stored_state = restored.snapshot.is_some() || !restored.entries.is_empty();
        let (input, inputs) = channel();
        let founding = settings.founding.clone();
        let mut member = MemberThread::new(settings, own.clone(), clock, output, storage, restored);
        std::thread::Builder::new()
            .name("control".into())
            .stack_size(512 << 10)
            .spawn(move || {
                run_deciding("control", || {
                    member.begin(founding);
                    member.run(&inputs);
                });
            })?;
        Ok(Self {
            input,
            own,
            has_stored_state,
        })
    }

    /// Sends a message to the thread. Has no effect if the thread has ended.
    pub fn send(&self, input: MemberInput) {
        let _ = self.input.send(input);
    }

    /// Proposes a change and waits for its outcome.
    pub async fn propose(&self, command: ControlCommand) -> ProposalOutcome {
        let (reply, answer) = oneshot::channel();
        self.send(MemberInput::Propose(command, reply));
        answer.await.unwrap_or(ProposalOutcome::Unknown)
    }

    /// Returns the current committed state.
    ///
    /// # Errors
    /// If this member is not the leader with a valid lease, returns the leader
    /// as far as it is known.
    pub async fn read(&self) -> Result<Arc<ControlState>, Option<MemberInfo>> {
        let (reply, answer) = oneshot::channel();
        self.send(MemberInput::Read(reply));
        answer.await.unwrap_or(Err(None))
    }
}
