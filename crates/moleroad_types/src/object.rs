//! Configuration objects that operators apply, and their versions.

use crate::digest::KeyHash;
use crate::id::{AccountId, InstanceId, ModelName, ObjectName, OperatorId, ServiceName, VersionName};
use crate::label::{Labels, Requirement};
use crate::manifest::Manifest;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Position in the stream of accepted changes. Never goes down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Version number of an object, chosen by the operator who changes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// One configuration object as an operator writes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Name, unique within the kind.
    pub name: ObjectName,
    /// Version number chosen by the operator; each change needs a higher one.
    pub version: ObjectVersion,
    /// Content.
    pub spec: Spec,
}

/// Content of an [`Object`], by kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spec {
    /// A client account.
    Account(AccountSpec),
    /// Labels on an instance.
    Instance(InstanceSpec),
    /// Labels on a model.
    Model(ModelSpec),
    /// A version of a model, with its manifest.
    Weights(WeightsSpec),
    /// Which weights belong on which instances.
    Selector(SelectorSpec),
    /// A plain service.
    Service(ServiceSpec),
    /// A removed object; its version stays, so that old versions stay refused.
    Deleted(ObjectKind),
}

/// Kind of an [`Object`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// See [`AccountSpec`].
    Account,
    /// See [`InstanceSpec`].
    Instance,
    /// See [`ModelSpec`].
    Model,
    /// See [`WeightsSpec`].
    Weights,
    /// See [`SelectorSpec`].
    Selector,
    /// See [`ServiceSpec`].
    Service,
}

/// Kind and name: what an object's version numbers belong to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name within the kind.
    pub name: ObjectName,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            ObjectKind::Account => "account",
            ObjectKind::Instance => "instance",
            ObjectKind::Model => "model",
            ObjectKind::Weights => "weights",
            ObjectKind::Selector => "selector",
            ObjectKind::Service => "service",
        };
        write!(f, "{kind}/{}", self.name)
    }
}

impl Object {
    /// Kind and name of the object.
    pub fn key(&self) -> ObjectKey {
        ObjectKey { kind: self.spec.kind(), name: self.name.clone() }
    }
}

impl Spec {
    /// Kind of the object this is the content of.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Spec::Account(_) => ObjectKind::Account,
            Spec::Instance(_) => ObjectKind::Instance,
            Spec::Model(_) => ObjectKind::Model,
            Spec::Weights(_) => ObjectKind::Weights,
            Spec::Selector(_) => ObjectKind::Selector,
            Spec::Service(_) => ObjectKind::Service,
            Spec::Deleted(kind) => *kind,
        }
    }
}

/// A client account and its limits. The object's name is the account's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Digests of the keys that callers may present.
    pub key_hashes: Vec<KeyHash>,
    /// Requests that may be in flight at once, over all entries.
    pub max_in_flight: u32,
    /// Requests a second, over all entries.
    pub requests_per_second: u32,
}

/// Labels on an instance. The object's name is the instance's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// Labels that selectors read.
    pub labels: Labels,
}

/// Labels on a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Account that owns the model.
    pub account: AccountId,
    /// Name of the model within the account.
    pub model: ModelName,
    /// Labels that selectors read.
    pub labels: Labels,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsSpec {
    /// Account that owns the model.
    pub account: AccountId,
    /// Name of the model within the account.
    pub model: ModelName,
    /// Name of the version.
    pub version: VersionName,
    /// Labels that selectors read.
    #[serde(default)]
    pub labels: Labels,
    /// Path of the weights at the origin, below the origin's address.
    pub origin_path: String,
    /// Content.
    pub manifest: Manifest,
}

/// How many replicas a selector asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Replicas {
    /// One on each matching instance.
    All,
    /// At most this many.
    Count(u32),
}

/// Which weights belong on which instances, and for whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SelectorSpec {
    /// Account whose weights are placed.
    pub account: AccountId,
    /// Conditions on labels of model and version; `model` and `version` are
    /// always present as labels.
    pub weights: Vec<Requirement>,
    /// Conditions on labels of instances; `instance`, `data_hall` and `region`
    /// are always present as labels.
    pub instances: Vec<Requirement>,
    /// Number of replicas.
    pub replicas: Replicas,
    /// Higher goes first where selectors want the same instance.
    #[serde(default)]
    pub priority: i32,
    /// Share of the serving replicas that may switch to new weights at a time,
    /// in percent; at least one may.
    #[serde(default = "default_max_unavailable_percent")]
    pub max_unavailable_percent: u32,
}

/// A quarter of the replicas may switch at a time unless a selector says otherwise.
fn default_max_unavailable_percent() -> u32 {
    25
}

/// A plain service. The object's name is the service's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name that callers use.
    pub service: ServiceName,
    /// Accounts that may call it.
    pub accounts: Vec<AccountId>,
}

/// One accepted change, as the history shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change made.
    pub revision: Revision,
    /// Object that changed.
    pub key: ObjectKey,
    /// Version that it got.
    pub version: ObjectVersion,
    /// Operator who changed it.
    pub operator: OperatorId,
    /// Milliseconds since the Unix epoch when the leader took the change.
    pub accepted_at_unix_ms: u64,
}

/// Name of the instance's own label, always present for selectors.
pub const INSTANCE_LABEL: &str = "instance";
/// Name of the data hall's label, always present for selectors.
pub const DATA_HALL_LABEL: &str = "data_hall";
/// Name of the region's label, always present for selectors.
pub const REGION_LABEL: &str = "region";
/// Name of the model's label, always present for selectors.
pub const MODEL_LABEL: &str = "model";
/// Name of the version's label, always present for selectors.
pub const VERSION_LABEL: &str = "version";

impl InstanceSpec {
    /// The labels with those that follow from where the instance is.
    pub fn full_labels(labels: &Labels, instance: &InstanceId, data_hall: &str, region: &str) -> Labels {
        let mut full = labels.clone();
        full.set(INSTANCE_LABEL, instance.as_str());
        full.set(DATA_HALL_LABEL, data_hall);
        full.set(REGION_LABEL, region);
        full
    }
}
