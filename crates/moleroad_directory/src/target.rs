//! What a target says of itself.

use crate::limit::AdvertisedLimit;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a target. Most draw another one when they begin again; those that
/// keep it tell another [`TargetRecord::born_ms`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetId(pub Arc<str>);

impl TargetId {
    /// Wraps `text`.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(text.as_ref().into())
    }

    /// The identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How far a target is in its life; it only goes forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetLifecycle {
    /// Takes requests.
    #[default]
    Ready,
    /// Will end soon and gets no new requests.
    Draining,
    /// Has ended, or is about to.
    Gone,
}

/// Layers of a model that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the model.
    pub model: String,
    /// First layer.
    pub from: u32,
    /// Layer after the last one.
    pub to: u32,
    /// Version of the weights.
    pub version: u64,
}

/// What a target last said of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity of this life.
    pub id: TargetId,
    /// Service it belongs to.
    pub service: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Data hall it stands in.
    pub hall: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// How far it is in its life.
    pub life: TargetLifecycle,
    /// Rises with each call of the target; orders late calls.
    pub sequence: u64,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_left_ms: u64,
    /// Layers it holds; `None` for a target that is no engine.
    pub holdings: Option<Vec<Holding>>,
    /// Unix time of its start as it says, in milliseconds; 0 when it does not. A
    /// target may begin again under the same identity.
    #[serde(default)]
    pub born_ms: u64,
    /// What it says in its answers of the requests that it takes; its own calls do
    /// not tell.
    #[serde(default)]
    pub limit: AdvertisedLimit,
}

impl TargetRecord {
    /// A ready plain target, the first time it calls.
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

/// The version at which `holdings` cover all `layers` of `model`.
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
