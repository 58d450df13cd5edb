//! The records that targets publish about themselves.

use crate::limit::AdvertisedLimit;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a target. Most targets choose a new one when they restart; those that
/// keep it announce a new [`TargetRecord::born_ms`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetId(pub Arc<str>);

impl TargetId {
    /// Creates an identity from `text`.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(text.as_ref().into())
    }

    /// Returns the identity as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Lifecycle state of a target; it only moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetLifecycle {
    /// Accepts requests.
    #[default]
    Ready,
    /// Is shutting down and receives no new requests.
    Draining,
    /// Has ended or is about to end.
    Gone,
}

/// A range of layers of a model that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the model.
    pub model: String,
    /// First layer.
    pub from: u32,
    /// Layer after the last one (exclusive bound).
    pub to: u32,
    /// Version of the weights.
    pub version: u64,
}

/// The record that a target publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data hall of the target.
    pub hall: String,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Lifecycle state.
    pub life: TargetLifecycle,
    /// Sequence number, increased with each call of the target, so that late calls are
    /// recognized.
    pub sequence: u64,
    /// Remaining time during which the target is slow after its start, in milliseconds.
    pub cold_left_ms: u64,
    /// Layers that the target holds; `None` if it is not an engine.
    pub holdings: Option<Vec<Holding>>,
    /// Unix time of the target's start as it reports it, in milliseconds; 0 if it reports
    /// none. Distinguishes restarts under the same identity.
    #[serde(default)]
    pub born_ms: u64,
    /// Rate limit that the target advertises in its responses; its own calls do not
    /// contain it.
    #[serde(default)]
    pub limit: AdvertisedLimit,
}

impl TargetRecord {
    /// Creates the record of a ready plain target with sequence 0.
    pub fn new(id: TargetId, service: impl Into<String>, address: SocketAddr) -> Self {
        Self {
            id,
            service: service.into(),
            address,
            hall: String::new(),
            slots: 1,
            life: TargetLifecycle::Ready,
            sequence: 0,
            cold_left_ms: 0,
            holdings: None,
            born_ms: 0,
            limit: AdvertisedLimit::default(),
        }
    }
}

/// Returns the version for which `holdings` cover all `layers` of `model`, or `None`
/// if layers are missing or of different versions.
pub fn complete_version(holdings: &[Holding], model: &str, layers: u32) -> Option<u64> {
    let of_model = || holdings.iter().filter(|holding| holding.model == model);
    let version = of_model().next()?.version;
    let mut reached = 0;
    let mut parts: Vec<&Holding> = of_model().collect();
    parts.sort_by_key(|holding| holding.from);
    for part in parts {
        if part.version != version || part.from > reached {
            return None;
        }
        reached = reached.max(part.to);
    }
    (reached >= layers.max(1)).then_some(version)
}
