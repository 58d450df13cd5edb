//! What the outside speaks, as far as this crate needs to know.
//!
//! [`Interface`] turns the names, formats and calls of callers, targets,
//! operators and origins into the product's own types and back. It decides
//! nothing. One implementation belongs to each platform.

use hyper::Method;
use hyper::header::{HeaderMap, HeaderName};
use moleroad_config::prelude::{Configuration, ConfigurationError};
use moleroad_directory::prelude::{EngineReport, TargetRecord};
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;

/// Names of the headers that carry what this crate must read or set.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of the request; answers carry it back.
    pub request_id: HeaderName,
    /// Time that the caller will wait, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Key of the caller.
    pub key: HeaderName,
    /// Client account, as targets are shown it.
    pub account: HeaderName,
    /// Proof that a target made the answer.
    pub signature: HeaderName,
    /// Identity of the target that the request is for.
    pub expected_target: HeaderName,
    /// Version of the weights that the request is for.
    pub expected_version: HeaderName,
    /// Present when a target did not run a request.
    pub not_executed: HeaderName,
    /// Says in an answer that its target leaves.
    pub leaving: HeaderName,
    /// Says in an answer how many requests a second its target takes.
    pub limit: HeaderName,
    /// Last event that a resumed stream has brought.
    pub last_event: HeaderName,
    /// Model that the request names.
    pub model: HeaderName,
    /// Rank at the target.
    pub priority: HeaderName,
}

/// A call to the system itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManagementCall {
    /// Which entry should a caller in `hall` and `region` use for `host`?
    Addresses {
        /// Host that its requests name; empty when it is not said.
        host: String,
        /// Data hall of the caller.
        hall: String,
        /// Region of the caller.
        region: String,
    },
    /// Is this process ready?
    Ready,
    /// A target tells of itself.
    Heartbeat(String),
    /// A target says that it ends.
    Deregister(String),
    /// An operator sends a configuration.
    ReplaceConfiguration,
    /// An operator reads the configuration.
    ReadConfiguration,
    /// An operator names a version of weights.
    NameVersion,
    /// An operator wants a data hall evacuated.
    EvacuateHall(String),
    /// An operator takes a data hall back.
    RestoreHall(String),
    /// Figures of this process.
    Metrics,
}

/// A version of a model that an operator named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// What the pieces of a version must hash to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceDigests {
    /// Version of the weights.
    pub version: u64,
    /// SHA-256 of each piece.
    pub digests: Vec<[u8; 32]>,
}

/// Tokens of a request, as its caller states them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub max_completion: u64,
}

/// How an engine that takes other weights ends what runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// It waits until running requests have ended.
    WaitForRunning,
    /// It cuts running requests.
    AbortRunning,
}

/// What an agent reads from its engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// What others are told of it.
    pub report: EngineReport,
    /// Orders that the engine took.
    pub accepted_orders: u64,
    /// Whether an order is under way.
    pub busy: bool,
}

/// A call that this process makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the body is a document and not bytes of weights.
    pub is_document: bool,
}

/// Names, formats and calls of one platform.
pub trait Interface: Send + Sync + 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Tokens of a request, if its caller states them.
    fn token_usage(&self, headers: &HeaderMap) -> Option<TokenUsage>;

    /// Which call to the system this is.
    fn management_call(
        &self,
        method: &Method,
        path: &str,
        query: Option<&str>,
    ) -> Option<ManagementCall>;

    /// Content type of documents.
    fn document_type(&self) -> &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    /// [`ConfigurationError::Unreadable`] when it cannot be read whole.
    fn read_configuration(&self, body: &[u8]) -> Result<Configuration, ConfigurationError>;

    /// Reads what the target `id` tells of itself.
    fn read_heartbeat(&self, id: &str, body: &[u8]) -> Option<TargetRecord>;

    /// Answers a heartbeat, naming an address for the next one.
    fn write_heartbeat_answer(&self, next: Option<SocketAddr>) -> Vec<u8>;

    /// Reads the version that an operator names.
    fn read_named_version(&self, body: &[u8]) -> Option<NamedVersion>;

    /// Names entries to a caller, to be kept for `ttl`.
    fn write_addresses(&self, addresses: &[SocketAddr], ttl: Millis) -> Vec<u8>;

    /// Says why a call failed.
    fn write_error(&self, reason: &str) -> Vec<u8>;

    /// Asks an engine for its state.
    fn request_state(&self) -> OutboundRequest;

    /// Reads the state of an engine.
    fn read_state(&self, body: &[u8]) -> Option<EngineState>;

    /// Asks an origin for the digests of a version.
    fn request_digests(&self, model: &str, version: u64) -> OutboundRequest;

    /// Reads digests.
    fn read_digests(&self, body: &[u8]) -> Option<PieceDigests>;

    /// Asks an origin for a piece.
    fn request_piece(&self, model: &str, version: u64, piece: u32) -> OutboundRequest;

    /// Puts a piece into the store of an engine.
    fn put_staged(&self, model: &str, piece: u32, bytes: Vec<u8>) -> OutboundRequest;

    /// Reads a piece from the store of an engine.
    fn get_staged(&self, model: &str, piece: u32) -> OutboundRequest;

    /// Orders an engine to take the weights in its store.
    fn order_start(
        &self,
        model: &str,
        version: u64,
        mode: StartMode,
        accepted_orders: u64,
    ) -> OutboundRequest;
}
