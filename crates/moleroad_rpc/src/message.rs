//! What the processes tell each other.

use moleroad_consensus::prelude::ReplicaStatus;
use moleroad_events::prelude::Stamp;
use moleroad_state::prelude::ObjectUpdate;
use moleroad_transfer::prelude::{ChunkSet, Grant};
use moleroad_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Why a call had no effect, or none that the answerer knows of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallError {
    /// The asked member does not lead.
    NotLeader {
        /// Where the leader is, if the member knows.
        leader: Option<SocketAddr>,
    },
    /// The call was refused.
    Refused(MoleroadError),
}

impl From<MoleroadError> for CallError {
    fn from(error: MoleroadError) -> Self {
        CallError::Refused(error)
    }
}

/// What an agent tells the leading control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Causal time of the report.
    pub stamp: Stamp,
    /// The agent's instance.
    pub instance: InstanceId,
    /// Data hall of the instance.
    pub data_hall: DataHall,
    /// Region of the data hall.
    pub region: Region,
    /// Lifetime of the agent's process.
    pub incarnation: Incarnation,
    /// Where it takes requests and serves chunks.
    pub http_address: SocketAddr,
    /// Where it takes calls.
    pub rpc_address: SocketAddr,
    /// Kind of its target.
    pub target_kind: TargetKind,
    /// What the target serves.
    pub target: TargetState,
    /// What it holds of each root it knows.
    pub progress: Vec<RootProgress>,
    /// Rank of the orders it works by.
    pub orders: Fence,
    /// Revision of those orders.
    pub revision: Revision,
}

/// What an agent holds of one root.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootProgress {
    /// The weights.
    pub root: RootDigest,
    /// Chunks held and verified.
    pub have: ChunkSet,
    /// Grants that could not be carried out since the last report.
    pub failed_grants: Vec<Grant>,
}

/// What an agent shall do, as a whole: it replaces all earlier orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentOrders {
    /// Causal time of the orders.
    pub stamp: Stamp,
    /// Rank; an agent refuses orders of a lower rank than it has seen.
    pub fence: Fence,
    /// Revision that the orders follow from.
    pub revision: Revision,
    /// The origin of weights.
    pub origin: SocketAddr,
    /// Weights to hold.
    pub hold: Vec<HoldOrder>,
    /// Root that the engine shall serve.
    pub load: Option<RootDigest>,
    /// Whether the platform lists the instance as leaving.
    pub leaving: bool,
}

/// Weights that an agent shall hold, and how it gets them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldOrder {
    /// The weights.
    pub weights: WeightsId,
    /// Path of the weights at the origin.
    pub origin_path: String,
    /// Chunks to draw, and from where.
    pub grants: Vec<Grant>,
    /// Agents to exchange chunks with.
    pub peers: Vec<PeerAddress>,
    /// Agents that grants name; nothing but granted chunks is drawn there.
    pub sources: Vec<PeerAddress>,
    /// Sealed ticket for those agents.
    pub ticket: String,
}

/// Where a peer is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// The peer's instance.
    pub instance: InstanceId,
    /// Where it serves chunks.
    pub address: SocketAddr,
    /// Region it stands in.
    pub region: Region,
}

/// What an entry tells the leading control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Causal time of the report.
    pub stamp: Stamp,
    /// The entry's instance.
    pub instance: InstanceId,
    /// Data hall of the instance.
    pub data_hall: DataHall,
    /// Where callers reach it.
    pub http_address: SocketAddr,
    /// Where it takes calls.
    pub rpc_address: SocketAddr,
    /// Revision it works by.
    pub revision: Revision,
    /// Routes it knows; `None` after a start.
    pub routes: Option<TableVersion>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A version of a table that the leader of a term keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableVersion {
    /// Term of the leader.
    pub term: Term,
    /// Changes of the table in that term.
    pub sequence: u64,
}

/// What an entry works by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryView {
    /// Causal time of the answer.
    pub stamp: Stamp,
    /// Accounts and services that changed.
    pub objects: ObjectUpdate,
    /// Routes that changed; `None` while a new leader is still collecting.
    pub routes: Option<RouteUpdate>,
    /// All entries that callers may use, if the list is new to the entry.
    pub entries: Option<Vec<EntryAddress>>,
}

/// Routes that changed since the version the entry knew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteUpdate {
    /// Version after the update.
    pub version: TableVersion,
    /// Whether routes not listed are to be forgotten.
    pub complete: bool,
    /// Changed routes.
    pub changed: Vec<RouteChange>,
}

/// The route of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChange {
    /// The instance.
    pub instance: InstanceId,
    /// Its route; `None` when it may not serve.
    pub route: Option<TargetRoute>,
}

/// An entry that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Its instance.
    pub instance: InstanceId,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Its data hall.
    pub data_hall: DataHall,
    /// Requests in flight when it last reported.
    pub in_flight: u32,
}

/// Where a daemon takes calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddress {
    /// Its instance.
    pub instance: InstanceId,
    /// Where it takes calls.
    pub rpc_address: SocketAddr,
}

/// The state of the whole system as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SystemStatus {
    /// The control group.
    pub group: ReplicaStatus,
    /// Latest accepted revision.
    pub revision: Revision,
    /// Digest of the replicated state at that revision.
    pub state_digest: ChunkDigest,
    /// Each selector's weights.
    pub replicas: Vec<ReplicaCounts>,
    /// Each daemon.
    pub daemons: Vec<DaemonStatus>,
}

/// Replicas of one selector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCounts {
    /// The selector.
    pub selector: ObjectName,
    /// Weights it chose.
    pub weights: Option<WeightsId>,
    /// Instances it holds.
    pub wanted: u32,
    /// Instances that hold all chunks.
    pub whole: u32,
    /// Instances that serve.
    pub serving: u32,
    /// Bytes granted from the origin.
    pub origin_bytes: u64,
    /// Size of the weights.
    pub total_bytes: u64,
}

/// One daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Its instance.
    pub instance: InstanceId,
    /// Its role.
    pub role: String,
    /// Revision in force there.
    pub revision: Revision,
    /// Milliseconds since it was heard.
    pub silent_ms: u64,
}
