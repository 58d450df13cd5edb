//! The records that daemons publish about themselves.

use crate::target::Holding;
use moleroad_types::prelude::InstanceId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DaemonRole {
    /// Accepts requests from callers.
    Entry,
    /// Transfers weights to the engine on its instance.
    Agent,
    /// Holds the control state; accepts no requests from callers.
    Control,
}

/// Lifecycle state of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DaemonState {
    /// The daemon has no configuration yet.
    Starting,
    /// The daemon is in operation.
    #[default]
    Ready,
    /// The daemon was asked to stop.
    Leaving,
}

/// Bitmap of the pieces of a model version that an agent can serve to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceMap {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// One bit per piece, lowest first.
    pub bits: Vec<u64>,
}

impl PieceMap {
    /// Returns a map with no pieces set.
    pub fn empty(model: impl Into<String>, version: u64, pieces: u32) -> Self {
        Self {
            model: model.into(),
            version,
            bits: vec![0; pieces.div_ceil(64) as usize],
        }
    }

    /// Returns whether `piece` is present.
    pub fn has(&self, piece: u32) -> bool {
        let word = self.bits.get(piece as usize / 64);
        word.is_some_and(|word| word >> (piece % 64) & 1 == 1)
    }

    /// Marks `piece` as present or absent; ignores pieces out of range.
    pub fn set(&mut self, piece: u32, held: bool) {
        let Some(word) = self.bits.get_mut(piece as usize / 64) else {
            return;
        };
        let bit = 1 << (piece % 64);
        *word = if held { *word | bit } else { *word & !bit };
    }

    /// Returns the number of pieces present.
    pub fn count(&self) -> u32 {
        self.bits.iter().map(|word| word.count_ones()).sum()
    }
}

/// State of an engine, as last read by its agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Running requests.
    pub running: u32,
    /// Requests queued at the engine.
    pub queued: u32,
    /// Layers that the engine holds.
    pub holdings: Vec<Holding>,
    /// Whether the agent requests no new work because a change of weights is due.
    pub switching: bool,
    /// Slowdown of the engine relative to its published speed; 1 is the published speed.
    pub pace: f32,
}

/// The record that a daemon publishes about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Instance that the daemon runs on.
    pub instance: InstanceId,
    /// Random number drawn at each start.
    pub incarnation: u64,
    /// Sequence number within the incarnation, increased with each change.
    pub sequence: u64,
    /// Role of the daemon.
    pub role: DaemonRole,
    /// Lifecycle state.
    pub state: DaemonState,
    /// Address for calls from other daemons.
    pub peer: SocketAddr,
    /// Address for callers' requests.
    pub frontend: Option<SocketAddr>,
    /// Address for calls from targets and operators.
    pub control: Option<SocketAddr>,
    /// Whether the daemon has a disk for the log of the control group.
    pub has_log: bool,
    /// Rate of requests that the daemon has to place, per second; entries only.
    pub requests_per_s: f32,
    /// Data hall.
    pub hall: String,
    /// Region.
    pub region: String,
    /// Address of the engine on its instance.
    pub engine: Option<SocketAddr>,
    /// Service of the engine.
    pub service: Option<String>,
    /// Pieces that the daemon can serve: those of the version in its engine's store, and
    /// those of a version being fetched.
    pub pieces: Vec<PieceMap>,
    /// Latest report of the engine's state.
    pub report: Option<EngineReport>,
}

impl DaemonRecord {
    /// Creates the record of a ready daemon with incarnation and sequence 1. The region
    /// is set to the name of the data hall.
    pub fn new(
        instance: InstanceId,
        role: DaemonRole,
        peer: SocketAddr,
        hall: impl Into<String>,
    ) -> Self {
        let hall = hall.into();
        Self {
            instance,
            incarnation: 1,
            sequence: 1,
            role,
            state: DaemonState::Ready,
            peer,
            frontend: None,
            control: None,
            has_log: false,
            requests_per_s: 0.0,
            region: hall.clone(),
            hall,
            engine: None,
            service: None,
            pieces: Vec::new(),
            report: None,
        }
    }

    /// Returns the pieces of a version that the daemon can serve.
    pub fn pieces_of(&self, model: &str, version: u64) -> Option<&PieceMap> {
        let mut maps = self.pieces.iter();
        maps.find(|map| map.model == model && map.version == version)
    }
}
