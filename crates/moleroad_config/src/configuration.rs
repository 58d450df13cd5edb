//! The plain data of one configuration.

use moleroad_types::prelude::AllowedRegions;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of a configuration; the highest one holds.
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

/// One service that shares a route, and its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to its other services.
    pub weight: u64,
}

/// One route: which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// Services that requests go to.
    pub weighted_services: Vec<WeightedService>,
    /// Whether a request may run again.
    pub repeatability: Repeatability,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Whether a stream may go on at another target.
    pub resumable: bool,
    /// Longest time for which a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is wanted, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest pause between events that is wanted, in milliseconds; 0 unset.
    pub target_pause_ms: u64,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Time an engine takes for its steps, as published by its operator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepModel {
    /// One token step, in milliseconds.
    pub step_ms: f64,
    /// More for each request that is writing, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens read in a second.
    pub prompt_tokens_per_s: f64,
    /// Token steps in one pass.
    pub steps_per_pass: u64,
    /// Most prompt tokens read in one pass; 0 unset.
    pub tokens_per_pass: u64,
    /// Usual prompt, in tokens.
    pub usual_prompt: f64,
    /// Usual answer, in tokens.
    pub usual_answer: f64,
}

/// A model as an engine service lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Name of the model.
    pub name: String,
    /// Layers that make up the model.
    pub layers: u32,
    /// Pieces that its weights come in.
    pub pieces: u32,
    /// Size of a piece, in bytes.
    pub piece_bytes: u64,
}

/// A service that serves weights and takes no requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OriginService {
    /// Address that serves manifests and pieces.
    pub address: SocketAddr,
    /// Rate of its link, in Mbit/s.
    pub link_mbps: f64,
}

/// How many requests a target takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a target is cold after its start, in milliseconds.
    pub lasts_ms: u64,
    /// Requests that a cold target takes in a second.
    pub requests_per_s: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Most connections that one target takes from all callers; 0 unset.
    pub max_connections: u32,
    /// Requests one target works on at once; 0 when targets tell it.
    pub slots: u32,
    /// Models that its engines run; empty for plain services.
    pub models: Vec<EngineModel>,
    /// How fast its engines are; only for engines.
    pub steps: Option<StepModel>,
    /// Where it serves weights, if it is an origin.
    pub origin: Option<OriginService>,
    /// Data hall of an origin.
    pub hall: Option<String>,
    /// Bound on its targets while they are cold; `None` without one.
    pub cold_start: Option<ColdStart>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request head.
    pub max_header_bytes: usize,
    /// Most bytes of a body.
    pub max_body_bytes: usize,
    /// Longest time to send a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest rest of a kept connection, in milliseconds.
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

/// One client account and the keys that name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name that targets are shown.
    pub name: String,
    /// Keys that callers send.
    pub keys: Vec<String>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served; what the route allows binds
    /// as well.
    pub allowed_regions: AllowedRegions,
}

/// One whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; versions climb.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Client accounts; without any, no request needs a key.
    pub accounts: Vec<ClientAccount>,
}
