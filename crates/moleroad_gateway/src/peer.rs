//! Calls between the daemons, over tarpc.

use crate::control_state::{ControlCommand, ControlState, DocumentId};
use crate::evacuations::HallOrderResult;
use crate::halls::HallUpdates;
use moleroad_config::prelude::ConfigVersion;
use moleroad_consensus::prelude::{MemberInfo, Message};
use moleroad_directory::prelude::*;
use moleroad_membership::prelude::CallerUpdate;
use moleroad_quarantine::prelude::TerminationReport;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// The leader of the control group, as a daemon believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaderHint {
    /// Its term; the highest one is the newest.
    pub term: u64,
    /// Where it takes calls of daemons.
    pub address: SocketAddr,
}

/// A daemon tells of itself and asks for news.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The daemon.
    pub from: CallerUpdate,
    /// Its disk, if it could be a member of the control group.
    pub member: Option<MemberInfo>,
    /// Version of the configuration that it has in force.
    pub config_version: ConfigVersion,
    /// Versions of models that it knows to be named.
    pub versions: BTreeMap<String, u64>,
    /// The leader, as it believes.
    pub leader: Option<LeaderHint>,
    /// Targets that called it since its last hello.
    pub targets: Vec<Aged<TargetRecord>>,
    /// What it wants to hear.
    pub question: DeltaRequest,
    /// Digest of the [`Catalog`] that it knows; agents only.
    pub catalog_digest: u64,
    /// Halls that were ever evacuated, as it knows them.
    #[serde(default)]
    pub halls: HallUpdates,
    /// Targets that ended under requests, of which it has not told the callee.
    #[serde(default)]
    pub ends: Vec<TerminationReport>,
    /// Up to where it knows what the callee knows of such ends; `None` when it
    /// wants to hear nothing of them.
    #[serde(default)]
    pub ends_after: Option<Cursor>,
    /// Begin of the digest of the configuration that it has in force; 0 without one.
    #[serde(default)]
    pub config_digest: u64,
}

/// A version of a model and how long ago it was named.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionAge {
    /// Version of the weights.
    pub version: u64,
    /// How long ago this daemon learned of it, in milliseconds.
    pub age_ms: u64,
}

/// A model that engines of a service run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CatalogModel {
    /// Service of the engines.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Layers that make it up.
    pub layers: u32,
    /// Pieces that its weights come in.
    pub pieces: u32,
    /// Size of a piece, in bytes.
    pub piece_bytes: u64,
    /// How long a usual answer is written, in milliseconds.
    pub usual_request_ms: u64,
}

impl CatalogModel {
    /// Number of the digests among the parts of a version that spread: they
    /// come after the pieces.
    pub fn digests_part(&self) -> u32 {
        self.pieces
    }

    /// Parts of a version that spread: its pieces and their digests.
    pub fn parts(&self) -> u32 {
        self.pieces + 1
    }
}

/// An origin of weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CatalogOrigin {
    /// Address that serves manifests and pieces.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Option<String>,
    /// Rate of its link, in kbit/s; 0 unset.
    pub link_kbps: u64,
    /// Most connections that it takes from all agents; 0 unset.
    pub max_connections: u32,
}

/// What the pieces of a version must hash to, as agents tell each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SharedDigests(pub Vec<[u8; 32]>);

/// What an agent has of a version, as it tells the agents below it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Offer {
    /// A piece that it can give.
    Piece(u32),
    /// A piece that it draws from the origin.
    Coming(u32),
    /// What the pieces must hash to.
    Digests(SharedDigests),
}

/// What agents need of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Catalog {
    /// Models.
    pub models: Vec<CatalogModel>,
    /// Origins of weights.
    pub origins: Vec<CatalogOrigin>,
}

impl Catalog {
    /// Changes with what it holds.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Answers a [`Hello`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HelloAnswer {
    /// Whether the callee does not have the caller's record.
    pub unknown_caller: bool,
    /// What the caller asked for.
    pub news: News,
    /// Version of the configuration that the callee has in force.
    pub config_version: ConfigVersion,
    /// Versions of models.
    pub versions: BTreeMap<String, Vec<VersionAge>>,
    /// The leader, as the callee believes.
    pub leader: Option<LeaderHint>,
    /// What agents need of the configuration, when it changed.
    pub catalog: Option<Catalog>,
    /// Halls that were ever evacuated, where the caller does not know all that
    /// the callee knows of them.
    #[serde(default)]
    pub halls: HallUpdates,
    /// Targets that ended under requests, of which the callee has not told the
    /// caller.
    #[serde(default)]
    pub ends: Vec<TerminationReport>,
    /// Up to where the caller knows of such ends after this answer.
    #[serde(default)]
    pub ends_cursor: Cursor,
    /// Begin of the digest of the configuration that the callee has in force; 0 without
    /// one.
    #[serde(default)]
    pub config_digest: u64,
}

/// What became of a change that another daemon passed on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CommitAnswer {
    /// It, or a later one of its kind, is durable on a majority and applied; says
    /// which configuration is in force with it.
    Committed(Option<DocumentId>),
    /// The callee does not lead; the leader as it believes.
    NotLeader(Option<LeaderHint>),
    /// It may or may not come to be.
    Unknown,
    /// An order for a hall is durable and applied; this is what it came to.
    Hall(HallOrderResult),
}

/// News of targets that entries must have at once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TargetUpdate {
    /// A target told something new of itself.
    Changed(Aged<TargetRecord>),
    /// A target is gone.
    Gone(TargetId),
}

/// What an engine has in hand at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait or whose prompt is being read.
    pub queued: u32,
    /// Whether it takes new requests.
    pub takes_new: bool,
    /// How long ago the engine began, in milliseconds; `None` when it was there
    /// before the agent.
    #[serde(default)]
    pub engine_age_ms: Option<u64>,
    /// How much longer it is cold by what entries heard from it, in
    /// milliseconds.
    #[serde(default)]
    pub cold_left_ms: u64,
    /// Requests that may be sent to it now while it is cold; `None` before
    /// any entry asked.
    #[serde(default)]
    pub grants_free: Option<u32>,
    /// The same for the limit that it named.
    #[serde(default)]
    pub limit_grants_free: Option<u32>,
}

impl EngineLoad {
    /// Whether nothing may be sent to it now, for want of grants.
    pub fn has_no_grant(&self) -> bool {
        self.grants_free == Some(0) || self.limit_grants_free == Some(0)
    }
}

/// An entry asks whether it may send one request to a cold engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Requests a second that the engine should get.
    pub requests_per_s: f64,
    /// Most requests that it may get in any one second.
    pub most_in_a_second: f64,
    /// How much longer it is cold by what the entry heard, in milliseconds; 0
    /// when it only cannot tell.
    pub left_ms: u64,
}

/// An entry asks the owner of a target that named a limit whether it may send one
/// request there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitGrantRequest {
    /// The target.
    pub target: TargetId,
    /// Requests that it takes from all entries.
    pub rate: RequestRate,
}

/// Answers a [`GrantRequest`] or a [`LimitGrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Whether one request may be sent.
    pub is_given: bool,
}

/// Calls that every daemon takes from others.
#[tarpc::service]
pub trait Peer {
    /// Tells of the caller, asks for news.
    async fn hello(hello: Hello) -> HelloAnswer;
    /// Brings a message of a member of the control group.
    async fn consensus(from: MemberInfo, message: Message);
    /// Brings news of targets.
    async fn targets(news: Vec<TargetUpdate>);
    /// Brings news of targets that the callee is to pass on to these entries.
    async fn pass_on(news: Vec<TargetUpdate>, to: Vec<SocketAddr>);
    /// Asks the leader for a change.
    async fn propose(command: ControlCommand) -> CommitAnswer;
    /// Asks the leader for what is in force now.
    async fn read() -> Result<ControlState, Option<LeaderHint>>;
    /// Brings what is in force.
    async fn push(state: ControlState);
    /// Asks for what the callee has in force.
    async fn pull() -> ControlState;
    /// Asks an agent what its engine has in hand now.
    async fn engine_load() -> Option<EngineLoad>;
    /// Asks an agent for the digests of a version.
    async fn digests(model: String, version: u64) -> Option<SharedDigests>;
    /// Tells an agent what the agent at `from` has of a version.
    async fn offer(model: String, version: u64, offer: Offer, from: SocketAddr);
    /// Asks an agent for a piece of weights.
    async fn piece(model: String, version: u64, piece: u32) -> Option<ByteBuf>;
    /// Asks an agent whether a request may go to its engine while it is cold.
    async fn grant(ask: GrantRequest) -> GrantAnswer;
    /// Asks the owner of a target whether a request may go there within its limit.
    async fn limit_grant(ask: LimitGrantRequest) -> GrantAnswer;
}
