//! What a target is, what it serves, and how callers' requests reach it.

use crate::id::{AccountId, DataHall, InstanceId, ModelName, ServiceName, VersionName};
use crate::digest::RootDigest;
use crate::manifest::WeightsId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies one lifetime of a process at an address.
///
/// A process that restarts at the same address gets another incarnation, and
/// nothing known of the earlier one counts for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// What kind of program stands on the target instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine that loads weights.
    Engine,
    /// A plain service of the given name.
    PlainService(ServiceName),
}

/// What an agent last attested about its target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// Lifetime of the target's own process.
    pub incarnation: Incarnation,
    /// Weights the engine has confirmed and may serve; `None` serves nothing.
    pub serving: Option<WeightsId>,
    /// Whether the target answers at all.
    pub healthy: bool,
    /// Whether the target takes no new work because it is leaving.
    pub leaving: bool,
}

/// One way for an entry to reach a target that may serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRoute {
    /// Instance the target runs on.
    pub instance: InstanceId,
    /// Data hall of that instance.
    pub data_hall: DataHall,
    /// Where its agent takes requests.
    pub address: SocketAddr,
    /// Lifetime of the target process that was attested.
    pub incarnation: Incarnation,
    /// What it serves.
    pub serves: Served,
}

/// What a [`TargetRoute`] answers for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Served {
    /// One version of one account's model.
    Weights(WeightsId),
    /// A plain service.
    Service(ServiceName),
}

/// What a caller's request is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Destination {
    /// A model of the caller's own account.
    Model(AccountId, ModelName),
    /// A plain service that the caller's account may use.
    Service(ServiceName),
}

impl Served {
    /// Whether a request for `destination` may go here.
    pub fn answers(&self, destination: &Destination) -> bool {
        match (self, destination) {
            (Served::Weights(id), Destination::Model(account, model)) => {
                id.account == *account && id.model == *model
            }
            (Served::Service(name), Destination::Service(wanted)) => name == wanted,
            _ => false,
        }
    }

    /// Root digest of the weights, `None` for a plain service.
    pub fn root(&self) -> Option<RootDigest> {
        match self {
            Served::Weights(id) => Some(id.root),
            Served::Service(_) => None,
        }
    }

    /// Version name of the weights, `None` for a plain service.
    pub fn version(&self) -> Option<&VersionName> {
        match self {
            Served::Weights(id) => Some(&id.version),
            Served::Service(_) => None,
        }
    }
}
