//! Remote calls between daemons, over tarpc.

use crate::control_state::{ControlCommand, ControlState, DocumentId};
use crate::evacuations::HallOrderResult;
use crate::halls::HallUpdates;
use moleroad_config::prelude::ConfigVersion;
use moleroad_consensus::prelude::{MemberId, MemberInfo, Message};
use moleroad_directory::prelude::*;
use moleroad_membership::prelude::CallerUpdate;
use moleroad_quarantine::prelude::TerminationReport;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// The leader of the control group as known to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaderHint {
    /// Term of the leader; a higher term is newer.
    pub term: u64,
    /// Address at which it takes calls from daemons.
    pub address: SocketAddr,
}

/// One gossip request: carries the caller's updates and requests the callee's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The caller's record and the updates that it forwards.
    pub from: CallerUpdate,
    /// The caller as a member of the control group; `None` if it has no disk
    /// for the log.
    pub member: Option<MemberInfo>,
    /// Version of the caller's configuration.
    pub config_version: ConfigVersion,
    /// Highest version of each model that the caller knows to be named.
    pub versions: BTreeMap<String, u64>,
    /// The leader as known to the caller.
    pub leader: Option<LeaderHint>,
    /// Records of targets that contacted the caller since its last hello to
    /// this callee.
    pub targets: Vec<Aged<TargetRecord>>,
    /// The requested part of the callee's directory.
    pub question: DeltaRequest,
    /// Digest of the caller's [`Catalog`]; used by agents only.
    pub catalog_digest: u64,
    /// State of all halls that were ever evacuated, as known to the caller.
    #[serde(default)]
    pub halls: HallUpdates,
    /// Targets that terminated while running requests, as far as not yet
    /// reported to the callee.
    #[serde(default)]
    pub ends: Vec<TerminationReport>,
    /// Position in the callee's reports of terminated targets up to which the
    /// caller has them; `None` if the caller does not request them.
    #[serde(default)]
    pub ends_after: Option<Cursor>,
    /// First bytes of the digest of the caller's configuration; 0 without one.
    #[serde(default)]
    pub config_digest: u64,
}

/// A version of a model and the time since it was named.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionAge {
    /// Version of the weights.
    pub version: u64,
    /// Time since the version was named, as far as the sender knows, in
    /// milliseconds.
    pub age_ms: u64,
}

/// Largest piece that is accepted if the size of pieces is unknown, in bytes.
const MAX_UNKNOWN_PIECE_BYTES: usize = 16 << 20;

/// A model that the engines of a service run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CatalogModel {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Number of layers.
    pub layers: u32,
    /// Number of pieces that the weights are split into.
    pub pieces: u32,
    /// Size of a piece, in bytes; 0 if unknown.
    pub piece_bytes: u64,
    /// Typical duration of a request, in milliseconds.
    pub usual_request_ms: u64,
}

impl CatalogModel {
    /// Returns the largest size that a piece may have, in bytes.
    pub fn max_piece_bytes(&self) -> usize {
        match self.piece_bytes {
            0 => MAX_UNKNOWN_PIECE_BYTES,
            known => usize::try_from(known).unwrap_or(usize::MAX),
        }
    }

    /// Returns the part number of the digests among the distributed parts of a
    /// version. They come after the pieces.
    pub fn digests_part(&self) -> u32 {
        self.pieces
    }

    /// Returns the number of distributed parts of a version: its pieces and
    /// their digests.
    pub fn parts(&self) -> u32 {
        self.pieces + 1
    }
}

/// An origin of weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CatalogOrigin {
    /// Address that serves manifests and pieces.
    pub address: SocketAddr,
    /// Data hall of the origin.
    pub hall: Option<String>,
    /// Bandwidth of its link in kbit/s; 0 if not set.
    pub link_kbps: u64,
    /// Maximum number of connections from all agents together; 0 if not set.
    pub max_connections: u32,
}

/// SHA-256 digests of all pieces of a version, in order, as sent between
/// agents.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SharedDigests(pub Vec<[u8; 32]>);

/// A part of a version that an agent announces to the agents below it in the
/// distribution tree.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Offer {
    /// A piece that the agent has.
    Piece(u32),
    /// A piece that the agent is fetching from the origin.
    Coming(u32),
    /// The digests of all pieces.
    Digests(SharedDigests),
}

/// The part of the configuration that agents need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Catalog {
    /// Models.
    pub models: Vec<CatalogModel>,
    /// Origins of weights.
    pub origins: Vec<CatalogOrigin>,
}

impl Catalog {
    /// Returns a hash of the content.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Answers a [`Hello`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HelloAnswer {
    /// Whether the callee has no record of the caller.
    pub unknown_caller: bool,
    /// The requested delta of the callee's directory.
    pub news: DirectoryDelta,
    /// Version of the callee's configuration.
    pub config_version: ConfigVersion,
    /// Named versions of each model and their ages.
    pub versions: BTreeMap<String, Vec<VersionAge>>,
    /// The leader as known to the callee.
    pub leader: Option<LeaderHint>,
    /// The catalog, if the caller is an agent and its catalog differs.
    pub catalog: Option<Catalog>,
    /// State of all halls that were ever evacuated; empty if the caller knows
    /// as much as the callee.
    #[serde(default)]
    pub halls: HallUpdates,
    /// Targets that terminated while running requests, as far as not yet
    /// reported to the caller.
    #[serde(default)]
    pub ends: Vec<TerminationReport>,
    /// Position in the callee's reports of terminated targets up to which the
    /// caller has them after this answer.
    #[serde(default)]
    pub ends_cursor: Cursor,
    /// First bytes of the digest of the callee's configuration; 0 without one.
    #[serde(default)]
    pub config_digest: u64,
}

/// Outcome of a change that another daemon forwarded to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProposeAnswer {
    /// The change, or a later one that supersedes it, is durable on a majority
    /// and applied. Carries the ID of the configuration in force afterwards.
    Committed(Option<DocumentId>),
    /// The callee is not the leader. Carries the leader as known to the callee.
    NotLeader(Option<LeaderHint>),
    /// The change may or may not be committed.
    Unknown,
    /// An order for a data hall is durable on a majority and applied, with this
    /// result.
    Hall(HallOrderResult),
}

/// An update of a target that all entries must get immediately.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TargetUpdate {
    /// The target's record changed.
    Changed(Aged<TargetRecord>),
    /// The target was removed.
    Gone(TargetId),
}

/// Current load of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued or in prefill.
    pub queued: u32,
    /// Whether the engine accepts new requests.
    pub takes_new: bool,
    /// Time since the engine started, in milliseconds; `None` if it was running
    /// before the agent.
    #[serde(default)]
    pub engine_age_ms: Option<u64>,
    /// Time for which the engine is still cold according to its own reports to
    /// entries, in milliseconds.
    #[serde(default)]
    pub cold_left_ms: u64,
    /// Requests that may be sent to the cold engine now; `None` if no entry has
    /// requested a grant yet.
    #[serde(default)]
    pub grants_free: Option<u32>,
    /// Requests that may be sent now to the rate-limited target with the fewest
    /// remaining grants, of those that the callee owns; `None` if no entry has
    /// requested such a grant yet.
    #[serde(default)]
    pub limit_grants_free: Option<u32>,
}

impl EngineLoad {
    /// Returns whether no request may be sent now because all grants are used.
    pub fn has_no_grant(&self) -> bool {
        self.grants_free == Some(0) || self.limit_grants_free == Some(0)
    }
}

/// Requests a grant to send one request to a cold engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Rate limit of the engine, in requests per second.
    pub requests_per_s: f64,
    /// Maximum number of requests within any one second.
    pub most_in_a_second: f64,
    /// Time for which the engine is still cold according to its reports to the
    /// entry, in milliseconds; 0 if the entry only cannot rule out that it is
    /// cold.
    pub left_ms: u64,
}

/// Requests a grant from the owner of a rate-limited target to send one request
/// to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitGrantRequest {
    /// The target.
    pub target: TargetId,
    /// Rate that the target accepts from all entries together.
    pub rate: RequestRate,
}

/// Answers a [`GrantRequest`] or a [`LimitGrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Whether one request may be sent.
    pub is_given: bool,
}

/// Remote calls that every daemon serves.
#[tarpc::service]
pub trait Peer {
    /// Exchanges gossip updates.
    async fn hello(hello: Hello) -> HelloAnswer;
    /// Delivers a consensus message to the member `to` of the control group. If another
    /// member runs at the callee, returns that member; it drops the message.
    async fn consensus(from: MemberInfo, to: MemberId, message: Message) -> Option<MemberInfo>;
    /// Delivers updates of targets.
    async fn targets(news: Vec<TargetUpdate>);
    /// Delivers updates of targets, which the callee forwards to the entries
    /// `to`.
    async fn pass_on(news: Vec<TargetUpdate>, to: Vec<SocketAddr>);
    /// Proposes a change to the leader.
    async fn propose(command: ControlCommand) -> ProposeAnswer;
    /// Reads the current state from the leader.
    async fn read() -> Result<ControlState, Option<LeaderHint>>;
    /// Delivers the caller's state.
    async fn push(state: ControlState);
    /// Returns the callee's state.
    async fn pull() -> ControlState;
    /// Returns the current load of an agent's engine.
    async fn engine_load() -> Option<EngineLoad>;
    /// Returns the digests of a version, if the agent has them.
    async fn digests(model: String, version: u64) -> Option<SharedDigests>;
    /// Announces a part of a version that the agent at `from` has or is
    /// fetching.
    async fn offer(model: String, version: u64, offer: Offer, from: SocketAddr);
    /// Returns a piece of weights, if the agent has it and can send it now.
    async fn piece(model: String, version: u64, piece: u32) -> Option<ByteBuf>;
    /// Requests a grant to send one request to an agent's cold engine.
    async fn grant(ask: GrantRequest) -> GrantAnswer;
    /// Requests a grant to send one request to a rate-limited target that the
    /// callee owns.
    async fn limit_grant(ask: LimitGrantRequest) -> GrantAnswer;
}
