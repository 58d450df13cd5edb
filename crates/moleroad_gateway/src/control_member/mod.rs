//! The member of the control group: a thread that owns the replica and its
//! disk, so that a slow disk holds up nothing else.

mod member;

use crate::clock::Clock;
use crate::control_state::{ControlCommand, ControlState, DocumentId};
use crate::evacuations::HallOrderResult;
use member::{Member, open};
use moleroad_consensus::prelude::*;
use moleroad_types::prelude::Term;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use tokio::sync::{mpsc, oneshot};

/// Periods of the control group. The lease ends before another member can be
/// elected even if clocks drift by a tenth.
pub const TIMING: Timing = Timing {
    heartbeat_ms: 100,
    election_min_ms: 600,
    election_max_ms: 1_000,
    lease_ms: 450,
    repair_after_ms: 1_600,
};

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// It, or a later one of its kind, is durable on a majority and applied; says
    /// which configuration is in force with it.
    Yes(Option<DocumentId>),
    /// An order for a hall is; this is what it came to.
    Hall(HallOrderResult),
    /// This member does not lead; the leader, if it is known.
    NotLeader(Option<MemberInfo>),
    /// It may or may not come to be.
    Unknown,
}

/// What the thread is told.
pub enum MemberInput {
    /// A message of another member.
    Receive(MemberInfo, Message),
    /// A change that an operator wants.
    Propose(ControlCommand, oneshot::Sender<Committed>),
    /// What is in force now, if this member leads under a lease.
    Read(oneshot::Sender<Result<Arc<ControlState>, Option<MemberInfo>>>),
    /// A member with a disk that may be in no configuration.
    Spare(MemberInfo),
    /// Gives up leadership and stands no more: the process stops.
    Retire,
}

/// What the thread tells.
pub enum MemberOutput {
    /// Send a message to a member.
    Send(MemberInfo, Message),
    /// This is in force.
    State(Arc<ControlState>),
    /// This was in the log at the start and is not known to be committed:
    /// good enough to prepare for, not to act on.
    Tentative(Arc<ControlState>),
    /// The leader of a term, as far as known.
    Leader(Term, Option<MemberInfo>),
    /// The disk failed or works again.
    Disk(Result<(), String>),
}

/// How the thread begins.
pub struct MemberSettings {
    /// Folder that the member keeps its state in.
    pub folder: PathBuf,
    /// Identity if the folder is empty.
    pub fresh: MemberId,
    /// Name of the instance.
    pub instance: String,
    /// Address that takes messages.
    pub address: std::net::SocketAddr,
    /// The founding members, when this is the first start of all.
    pub founding: Option<Configuration>,
    /// Members that may be lost at once.
    pub tolerated_losses: usize,
}

/// The way to the thread.
#[derive(Clone)]
pub struct ControlMember {
    input: Sender<MemberInput>,
    /// This member; the identity is the one of the disk.
    pub own: MemberInfo,
    /// Whether the disk held anything of an earlier life.
    pub has_old_state: bool,
}

impl ControlMember {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the folder cannot be used at all.
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
        let has_old_state = restored.snapshot.is_some() || !restored.entries.is_empty();
        let (input, inputs) = channel();
        let founding = settings.founding.clone();
        let mut member = Member::new(settings, own.clone(), clock, output, storage, restored);
        std::thread::Builder::new()
            .name("control".into())
            .stack_size(512 << 10)
            .spawn(move || {
                member.begin(founding);
                member.run(&inputs);
            })?;
        Ok(Self {
            input,
            own,
            has_old_state,
        })
    }

    /// Tells the thread something; it may have ended.
    pub fn tell(&self, input: MemberInput) {
        let _ = self.input.send(input);
    }

    /// Asks for a change.
    pub async fn propose(&self, command: ControlCommand) -> Committed {
        let (reply, answer) = oneshot::channel();
        self.tell(MemberInput::Propose(command, reply));
        answer.await.unwrap_or(Committed::Unknown)
    }

    /// What is in force now, or else the leader as far as it is known.
    ///
    /// # Errors
    /// When this member cannot be certain.
    pub async fn read(&self) -> Result<Arc<ControlState>, Option<MemberInfo>> {
        let (reply, answer) = oneshot::channel();
        self.tell(MemberInput::Read(reply));
        answer.await.unwrap_or(Err(None))
    }
}
