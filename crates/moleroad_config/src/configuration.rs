//! Data types of a configuration.

use moleroad_types::prelude::AllowedRegions;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of a configuration; the highest one takes effect.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
}

/// A service of a route and its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to its other services.
    pub weight: u64,
}

/// A route: selects requests by host and path prefix, and defines which
/// services they go to and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name used in logs.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Prefix of the request path.
    pub prefix: String,
    /// Services of the route, with their weights.
    pub weighted_services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub repeatability: Repeatability,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Whether an interrupted stream may resume at another target.
    pub resumable: bool,
    /// Maximum time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for a response, in milliseconds.
    pub target_latency_ms: u64,
    /// Objective for the longest pause between events of a stream, in
    /// milliseconds; 0 if unset.
    pub target_pause_ms: u64,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions in which requests of the route may be served.
    pub allowed_regions: AllowedRegions,
}

/// Performance model of an engine, as published by its operator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepModel {
    /// Duration of one token step, in milliseconds.
    pub step_ms: f64,
    /// Additional step duration for each request that is generating output, in
    /// milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens processed per second.
    pub prompt_tokens_per_s: f64,
    /// Token steps per pass.
    pub steps_per_pass: u64,
    /// Maximum number of prompt tokens processed per pass; 0 if unset.
    pub tokens_per_pass: u64,
    /// Typical prompt length, in tokens.
    pub typical_prompt_tokens: f64,
    /// Typical output length, in tokens.
    pub typical_output_tokens: f64,
}

/// A model served by an engine service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Name of the model.
    pub name: String,
    /// Number of layers of the model.
    pub layers: u32,
    /// Number of pieces that the weights are divided into.
    pub pieces: u32,
    /// Size of a piece, in bytes.
    pub piece_bytes: u64,
}

/// A service that serves weights and accepts no requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OriginService {
    /// Address that serves manifests and pieces.
    pub address: SocketAddr,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

/// Rate limit for requests to a target while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time after its start during which a target is cold, in milliseconds.
    pub cold_duration_ms: u64,
    /// Requests per second that a cold target accepts.
    pub requests_per_s: f64,
}

/// A service that routes can refer to, or an origin of weights.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one target accepts from all callers;
    /// 0 if unset.
    pub max_connections: u32,
    /// Path at which its targets answer whether they are healthy; `None` if unset.
    pub health_path: Option<String>,
    /// Requests that one target processes concurrently; 0 if the targets report
    /// it.
    pub slots: u32,
    /// Models that its engines run; empty for plain services.
    pub models: Vec<EngineModel>,
    /// Performance model of its engines; only for engine services.
    pub steps: Option<StepModel>,
    /// Address and link of the service, if it is an origin.
    pub origin: Option<OriginService>,
    /// Data hall of the origin.
    pub hall: Option<String>,
    /// Rate limit for its targets while they are cold, if any.
    pub cold_start: Option<ColdStart>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of a keep-alive connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A client account and the keys that identify it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name that is sent to targets.
    pub name: String,
    /// Keys that callers of the account send.
    pub keys: Vec<String>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which requests of the account may be served, further
    /// restricted by the regions of the route.
    pub allowed_regions: AllowedRegions,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; each new configuration has a higher one.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Client accounts; if empty, no request needs a key.
    pub accounts: Vec<ClientAccount>,
}
