//! The target as the agent sees it.

use crate::http::{client, header};
use moleroad_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// Longest time for an answer about the engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for an engine to load weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct TargetReport {
    /// Lifetime of the engine's process.
    pub(crate) incarnation: Incarnation,
    /// Root that it serves.
    #[serde(default)]
    pub(crate) serving: Option<RootDigest>,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct LoadOrder {
    /// Weights to load; `None` unloads.
    pub(crate) root: Option<RootDigest>,
    /// File with the whole weights.
    pub(crate) path: PathBuf,
    /// Chunk size of the manifest, for checking the root.
    pub(crate) chunk_bytes: u32,
    /// Rank of the order; the engine refuses lower ones.
    pub(crate) fence: Fence,
}

/// What the agent needs of a target.
pub(crate) trait Target: Send + Sync {
    /// The target's state; an error means that it does not answer.
    fn report(&self) -> io::Result<TargetReport>;

    /// Has the target load weights and returns its state after it did.
    fn load(&self, order: &LoadOrder) -> Result<TargetReport, MoleroadError>;
}

/// A model engine reached over HTTP.
pub(crate) struct EngineClient {
    address: SocketAddr,
}

impl EngineClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl Target for EngineClient {
    fn report(&self) -> io::Result<TargetReport> {
        let request = client::request(
            "GET",
            &format!("http://{}/state", self.address),
            STATE_TIMEOUT,
        )?;
        let response = request.send().map_err(io::Error::from)?;
        serde_json::from_slice(&client::read_whole(response)?).map_err(io::Error::other)
    }

    fn load(&self, order: &LoadOrder) -> Result<TargetReport, MoleroadError> {
        let refused = |reason: String| MoleroadError::new(ResultCode::LoadRefused, reason);
        let url = format!("http://{}/load", self.address);
        let request = client::request("POST", &url, LOAD_TIMEOUT)
            .map_err(|error| refused(error.to_string()))?;
        let body = serde_json::to_vec(order).map_err(|error| refused(error.to_string()))?;
        let request = request
            .header(header::CONTENT_TYPE, "application/json")
            .bytes(body);
        let response = request.send().map_err(|error| refused(error.to_string()))?;
        let status = response.status();
        let body = client::read_whole(response).map_err(|error| refused(error.to_string()))?;
        if !status.is_success() {
            return Err(refused(String::from_utf8_lossy(&body).into_owned()));
        }
        serde_json::from_slice(&body).map_err(|error| refused(error.to_string()))
    }
}

/// A plain service, which is sound as long as it takes connections.
pub(crate) struct PlainServiceProbe {
    address: SocketAddr,
}

impl PlainServiceProbe {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl Target for PlainServiceProbe {
    fn report(&self) -> io::Result<TargetReport> {
        TcpStream::connect_timeout(&self.address, STATE_TIMEOUT)?;
        Ok(TargetReport {
            incarnation: Incarnation(0),
            serving: None,
        })
    }

    fn load(&self, _: &LoadOrder) -> Result<TargetReport, MoleroadError> {
        Err(MoleroadError::new(
            ResultCode::LoadRefused,
            "a plain service loads no weights",
        ))
    }
}
