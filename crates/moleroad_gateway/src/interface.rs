//! Abstraction over the wire formats of a platform.
//!
//! [`Interface`] translates the header names, formats and calls of callers,
//! targets, operators and origins to and from the types of this crate. It contains
//! no decisions. Each platform has one implementation.

use hyper::Method;
use hyper::header::{HeaderMap, HeaderName};
use moleroad_config::prelude::{Configuration, ConfigurationError};
use moleroad_directory::prelude::{EngineReport, TargetRecord};
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;

/// Names of the headers that this crate reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request id, repeated in the answer.
    pub request_id: HeaderName,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: HeaderName,
    /// API key of the caller.
    pub key: HeaderName,
    /// Client account, set on requests to targets.
    pub account: HeaderName,
    /// Signature that proves that a target produced the answer.
    pub signature: HeaderName,
    /// Id of the target that the request is meant for.
    pub expected_target: HeaderName,
    /// Version of the weights that the request is meant for.
    pub expected_version: HeaderName,
    /// Set in an answer if the target did not run the request.
    pub not_executed: HeaderName,
    /// Set in an answer if the target is leaving.
    pub leaving: HeaderName,
    /// Rate limit of the target, in requests per second, set in an answer.
    pub limit: HeaderName,
    /// Id of the last event received, for resuming a stream.
    pub last_event: HeaderName,
    /// Model that the request is for.
    pub model: HeaderName,
    /// Priority of the request at the target.
    pub priority: HeaderName,
}

/// A call that a daemon answers itself, as opposed to a request for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManagementCall {
    /// Looks up the entries that a caller in `hall` and `region` should use for
    /// `host`.
    Addresses {
        /// Host of the caller's requests; empty if not given.
        host: String,
        /// Data hall of the caller.
        hall: String,
        /// Region of the caller.
        region: String,
    },
    /// Readiness check.
    Ready,
    /// Heartbeat of the target with this id.
    Heartbeat(String),
    /// Deregistration of the target with this id.
    Deregister(String),
    /// Replaces the configuration.
    ReplaceConfiguration,
    /// Reads the configuration.
    ReadConfiguration,
    /// Sets the version of a model's weights to be served.
    NameVersion,
    /// Evacuates the data hall.
    EvacuateHall(String),
    /// Restores an evacuated data hall.
    RestoreHall(String),
    /// Reads the metrics of this process.
    Metrics,
}

/// The version of a model that an operator wants served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// Expected digests of the pieces of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceDigests {
    /// Version of the weights.
    pub version: u64,
    /// SHA-256 digest of each piece, in order.
    pub digests: Vec<[u8; 32]>,
}

/// Token counts of a request, as stated by its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Maximum number of tokens in the answer.
    pub max_completion: u64,
}

/// How an engine treats running requests when it switches to other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// Waits until running requests have finished.
    WaitForRunning,
    /// Aborts running requests.
    AbortRunning,
}

/// Engine state as read by its agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// Report that is shared with other daemons.
    pub report: EngineReport,
    /// Number of orders that the engine has accepted.
    pub accepted_orders: u64,
    /// Whether the engine is executing an order.
    pub busy: bool,
}

/// An HTTP request from this process to an engine or an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Whether the body is a document of type [`Interface::document_type`], as
    /// opposed to raw weights.
    pub is_document: bool,
}

/// Header names, formats and calls of one platform.
pub trait Interface: Send + Sync + 'static {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Reads the token counts of a request, if its caller states them.
    fn token_usage(&self, headers: &HeaderMap) -> Option<TokenUsage>;

    /// Reads the identifiers of the parts of a prompt that other prompts may share, in
    /// order; empty if the caller names none.
    fn shared_prompt_parts(&self, headers: &HeaderMap) -> Vec<String>;

    /// Parses a management call; returns `None` if the path is unknown.
    fn management_call(
        &self,
        method: &Method,
        path: &str,
        query: Option<&str>,
    ) -> Option<ManagementCall>;

    /// Returns the content type of documents.
    fn document_type(&self) -> &'static str;

    /// Parses a configuration.
    ///
    /// # Errors
    /// Returns [`ConfigurationError::Unreadable`] if any part cannot be parsed.
    fn read_configuration(&self, body: &[u8]) -> Result<Configuration, ConfigurationError>;

    /// Parses a heartbeat of the target `id`.
    fn read_heartbeat(&self, id: &str, body: &[u8]) -> Option<TargetRecord>;

    /// Serializes the answer to a heartbeat, with the address for the next one.
    fn write_heartbeat_answer(&self, next: Option<SocketAddr>) -> Vec<u8>;

    /// Parses the version that an operator wants served.
    fn read_named_version(&self, body: &[u8]) -> Option<NamedVersion>;

    /// Serializes addresses of entries for a caller, which may cache them for `ttl`.
    fn write_addresses(&self, addresses: &[SocketAddr], ttl: Millis) -> Vec<u8>;

    /// Serializes the reason why a call failed.
    fn write_error(&self, reason: &str) -> Vec<u8>;

    /// Builds a request for the state of an engine.
    fn request_state(&self) -> OutboundRequest;

    /// Parses the state of an engine.
    fn read_state(&self, body: &[u8]) -> Option<EngineState>;

    /// Builds a request to an origin for the digests of a version.
    fn request_digests(&self, model: &str, version: u64) -> OutboundRequest;

    /// Parses the digests of a version.
    fn read_digests(&self, body: &[u8]) -> Option<PieceDigests>;

    /// Builds a request to an origin for a piece.
    fn request_piece(&self, model: &str, version: u64, piece: u32) -> OutboundRequest;

    /// Builds a request that writes a piece to the staging area of an engine.
    fn put_staged(&self, model: &str, piece: u32, bytes: Vec<u8>) -> OutboundRequest;

    /// Builds a request that reads a piece from the staging area of an engine.
    fn get_staged(&self, model: &str, piece: u32) -> OutboundRequest;

    /// Builds an order that makes an engine load the staged weights.
    ///
    /// `accepted_orders` is the number of orders that the engine had accepted when
    /// its state was read, for a compare-and-set.
    fn order_start(
        &self,
        model: &str,
        version: u64,
        mode: StartMode,
        accepted_orders: u64,
    ) -> OutboundRequest;
}
