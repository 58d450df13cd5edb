//! The events that processes record.

use crate::clock::Stamp;
use moleroad_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One event with when and where it happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub at: Stamp,
    /// Where.
    pub instance: InstanceId,
    /// What.
    pub kind: EventKind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventKind {
    /// The process started in a role.
    Started {
        /// Name of the role.
        role: String,
    },
    /// The process was asked to stop and takes no new work.
    Leaving,
    /// A control member began to lead.
    BecameLeader {
        /// Term it leads.
        term: Term,
    },
    /// A control member ceased to lead.
    LostLeadership,
    /// A change was accepted.
    ChangeAccepted {
        /// Revision it made.
        revision: Revision,
        /// Object that changed.
        object: String,
    },
    /// A process works by a revision from now on.
    InForce {
        /// The revision.
        revision: Revision,
    },
    /// An agent was told to hold weights.
    PlacementSet {
        /// The weights.
        root: RootDigest,
        /// The agent's instance.
        target: InstanceId,
    },
    /// A chunk arrived whole.
    ChunkFetched {
        /// The weights.
        root: RootDigest,
        /// The chunk.
        chunk: ChunkIndex,
        /// `origin`, or the instance it came from.
        source: String,
    },
    /// A chunk arrived with wrong bytes and was thrown away.
    ChunkCorrupt {
        /// The weights.
        root: RootDigest,
        /// The chunk.
        chunk: ChunkIndex,
        /// `origin`, or the instance it came from.
        source: String,
    },
    /// All chunks of the weights are held and verified.
    WeightsWhole {
        /// The weights.
        root: RootDigest,
    },
    /// The agent ordered its engine to load weights.
    LoadOrdered {
        /// The weights.
        root: RootDigest,
        /// Rank of the order.
        fence: Fence,
    },
    /// The engine confirmed what it serves.
    Attested {
        /// The weights.
        root: RootDigest,
        /// Lifetime of the engine's process.
        incarnation: Incarnation,
    },
    /// An order from a deposed leader was refused.
    OrderRefused {
        /// Rank of the order.
        fence: Fence,
        /// Highest rank seen before.
        highest: Fence,
    },
    /// A request came in.
    RequestReceived {
        /// The request.
        request: RequestId,
        /// Account of the caller.
        account: AccountId,
    },
    /// A request was sent to a target.
    RequestDispatched {
        /// The request.
        request: RequestId,
        /// Instance of the target.
        target: InstanceId,
    },
    /// A request was answered.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// HTTP status of the answer.
        status: u16,
        /// Result code, for answers that moleroad made itself.
        code: Option<ResultCode>,
    },
    /// A request marked not repeatable holds its claim.
    ClaimGranted {
        /// The request.
        request: RequestId,
    },
    /// A target takes no new work any more.
    TargetWithdrawn {
        /// Instance of the target.
        target: InstanceId,
    },
}

impl EventKind {
    /// The weights the event is about.
    pub fn root(&self) -> Option<RootDigest> {
        match self {
            EventKind::PlacementSet { root, .. }
            | EventKind::ChunkFetched { root, .. }
            | EventKind::ChunkCorrupt { root, .. }
            | EventKind::WeightsWhole { root }
            | EventKind::LoadOrdered { root, .. }
            | EventKind::Attested { root, .. } => Some(*root),
            _ => None,
        }
    }

    /// The request the event is about.
    pub fn request(&self) -> Option<&RequestId> {
        match self {
            EventKind::RequestReceived { request, .. }
            | EventKind::RequestDispatched { request, .. }
            | EventKind::RequestEnded { request, .. }
            | EventKind::ClaimGranted { request } => Some(request),
            _ => None,
        }
    }

    /// The account the event names.
    pub fn account(&self) -> Option<&AccountId> {
        match self {
            EventKind::RequestReceived { account, .. } => Some(account),
            _ => None,
        }
    }

    /// Another instance the event names.
    pub fn other_instance(&self) -> Option<&str> {
        match self {
            EventKind::PlacementSet { target, .. }
            | EventKind::RequestDispatched { target, .. }
            | EventKind::TargetWithdrawn { target } => Some(target.as_str()),
            EventKind::ChunkFetched { source, .. } | EventKind::ChunkCorrupt { source, .. } => {
                Some(source)
            }
            _ => None,
        }
    }
}
