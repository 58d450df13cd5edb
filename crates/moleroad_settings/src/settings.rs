//! The settings of one daemon.

use crate::error::SettingsError;
use moleroad_types::id::is_valid_name;
use moleroad_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Shortest cluster key, in bytes.
pub const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// Everything a daemon learns from its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data hall of the instance.
    pub data_hall: DataHall,
    /// Region of the data hall.
    pub region: Region,
    /// Secret that all processes of the system share.
    pub cluster_key: String,
    /// Addresses of the control members for calls between processes.
    pub control_members: Vec<SocketAddr>,
    /// Address that takes calls from other processes of the system.
    pub rpc_address: SocketAddr,
    /// Address that takes HTTP: callers' and operators' on an entry, entries'
    /// and peers' on an agent.
    pub http_address: SocketAddr,
    /// What the daemon does.
    pub role: Role,
}

/// What a daemon does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Answers callers, and with control settings is a control member too.
    Entry(EntrySettings, Option<Box<ControlSettings>>),
    /// Stands before one target.
    Agent(Box<AgentSettings>),
}

/// The file as written.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    instance: InstanceId,
    data_hall: DataHall,
    region: Region,
    cluster_key: String,
    control_members: Vec<SocketAddr>,
    rpc_address: SocketAddr,
    http_address: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    entry: Option<EntrySettings>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    control: Option<ControlSettings>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    agent: Option<AgentSettings>,
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// Age of the last proof that the configuration is current, after which
    /// new work is refused.
    pub freshness_limit_ms: u64,
    /// How long a caller may keep an answer of `GET /v1/entries`.
    pub entries_keep_ms: u64,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Requests handled at a time.
    pub max_requests: usize,
    /// Deadline of a request that names none.
    pub default_deadline_ms: u64,
    /// Share of an account's requests that may be sent a second time.
    pub retry_budget_percent: u32,
    /// How targets are chosen; all but `expected_work` exist for comparison.
    pub routing_policy: RoutingPolicySetting,
}

/// How targets are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicySetting {
    /// Any target.
    Random,
    /// The target with the least of this entry's work in flight.
    LeastInFlight,
    /// The better of two by expected work, with data hall cost and affinity.
    #[default]
    ExpectedWork,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            freshness_limit_ms: 5_000,
            entries_keep_ms: 5_000,
            max_body_bytes: 1 << 20,
            max_requests: 256,
            default_deadline_ms: 30_000,
            retry_budget_percent: 10,
            routing_policy: RoutingPolicySetting::default(),
        }
    }
}

/// Settings of a control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Folder for the member's own state.
    pub data_folder: PathBuf,
    /// Who may change the configuration.
    pub operators: Vec<OperatorSettings>,
    /// The origin of weights.
    pub origin: OriginSettings,
    /// Address of the platform's list of live and leaving instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub membership_address: Option<SocketAddr>,
    /// Time between heartbeats of the leader.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Shortest silence of the leader before an election.
    #[serde(default = "default_election_min_ms")]
    pub election_min_ms: u64,
    /// Longest such silence.
    #[serde(default = "default_election_max_ms")]
    pub election_max_ms: u64,
    /// How long a leader acts on its own after a majority heard it.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Silence after which a lost member is replaced by a spare one.
    #[serde(default = "default_repair_after_ms")]
    pub repair_after_ms: u64,
    /// Silence after which an agent counts as gone.
    #[serde(default = "default_agent_timeout_ms")]
    pub agent_timeout_ms: u64,
    /// Log entries after which a snapshot is taken.
    #[serde(default = "default_snapshot_entries")]
    pub snapshot_entries: usize,
}

fn default_heartbeat_ms() -> u64 {
    100
}
fn default_election_min_ms() -> u64 {
    600
}
fn default_election_max_ms() -> u64 {
    1_200
}
fn default_lease_ms() -> u64 {
    450
}
fn default_repair_after_ms() -> u64 {
    10_000
}
fn default_agent_timeout_ms() -> u64 {
    3_000
}
fn default_snapshot_entries() -> usize {
    1_000
}

/// One operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name, which the history shows.
    pub name: OperatorId,
    /// Digest of the operator's key.
    pub key_hash: KeyHash,
}

/// The origin of weights and the plan for drawing from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OriginSettings {
    /// Address of the origin.
    pub address: SocketAddr,
    /// Rate of the origin's link.
    pub bytes_per_second: u64,
    /// Rate of an instance's link, each way.
    pub link_bytes_per_second: u64,
    /// What matters more under faults.
    #[serde(default)]
    pub objective: ObjectiveSetting,
    /// Copies beyond the first that may be drawn again at once, in percent.
    #[serde(default = "default_extra_copies_percent")]
    pub extra_copies_percent: u32,
    /// How long lost holders are waited for under `origin_bytes`.
    #[serde(default = "default_holder_wait_ms")]
    pub holder_wait_ms: u64,
    /// How weights spread; all but `swarm` exist for comparison.
    #[serde(default)]
    pub plan: PlanSetting,
}

fn default_extra_copies_percent() -> u32 {
    20
}
fn default_holder_wait_ms() -> u64 {
    5_000
}

/// What matters more under faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveSetting {
    /// Time until replicas serve.
    #[default]
    Time,
    /// Bytes drawn from the origin.
    OriginBytes,
}

/// How weights spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanSetting {
    /// Every agent draws everything from the origin.
    OriginOnly,
    /// A tree of agents.
    Tree,
    /// Each chunk drawn once, the rest exchanged.
    #[default]
    Swarm,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Folder for chunks; a cache that may vanish.
    pub staging_folder: PathBuf,
    /// Rate of the instance's link, each way.
    pub link_bytes_per_second: u64,
    /// The target on the same instance.
    pub target: TargetSettings,
    /// Chunks sent to peers at a time.
    #[serde(default = "default_upload_slots")]
    pub upload_slots: usize,
    /// Requests handled at a time, those that wait for their turn included.
    #[serde(default = "default_agent_max_requests")]
    pub max_requests: usize,
    /// Requests at the target at a time; the others wait for their turn.
    #[serde(default = "default_target_places")]
    pub target_places: usize,
    /// Requests of one account that may wait for their turn.
    #[serde(default = "default_max_waiting_per_account")]
    pub max_waiting_per_account: usize,
    /// Time between looks at the target.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: u64,
}

fn default_upload_slots() -> usize {
    4
}
fn default_agent_max_requests() -> usize {
    256
}
fn default_target_places() -> usize {
    32
}
fn default_max_waiting_per_account() -> usize {
    64
}
fn default_probe_ms() -> u64 {
    200
}

/// The target that an agent stands before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TargetSettings {
    /// A model engine.
    Engine {
        /// Where it takes requests and orders.
        address: SocketAddr,
    },
    /// A plain service.
    PlainService {
        /// Where it takes requests.
        address: SocketAddr,
        /// Name that callers use.
        name: ServiceName,
    },
}

impl TargetSettings {
    /// Where the target takes requests.
    pub fn address(&self) -> SocketAddr {
        match self {
            TargetSettings::Engine { address } | TargetSettings::PlainService { address, .. } => {
                *address
            }
        }
    }

    /// Kind of the target.
    pub fn kind(&self) -> TargetKind {
        match self {
            TargetSettings::Engine { .. } => TargetKind::Engine,
            TargetSettings::PlainService { name, .. } => TargetKind::PlainService(name.clone()),
        }
    }
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// [`SettingsError`] with the place of the first fault.
    pub fn from_file(path: &std::path::Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(file.clone(), error.to_string()))?;
        Self::from_yaml(&file, &text)
    }

    /// Reads and checks settings from text; `file` names it in errors.
    ///
    /// # Errors
    /// [`SettingsError`] with the place of the first fault.
    pub fn from_yaml(file: &str, text: &str) -> Result<Self, SettingsError> {
        let read: SettingsFile = serde_saphyr::from_str(text)
            .map_err(|error| SettingsError::from_parser(file, &error))?;
        let out_of_range = |key, reason: &str| {
            SettingsError::OutOfRange(file.to_string(), key, reason.to_string())
        };
        let role = match (read.entry, read.control, read.agent) {
            (entry, control, None) => Role::Entry(entry.unwrap_or_default(), control.map(Box::new)),
            (None, None, Some(agent)) => Role::Agent(Box::new(agent)),
            _ => {
                return Err(out_of_range(
                    "agent",
                    "cannot stand beside entry or control",
                ));
            }
        };
        let settings = Self {
            instance: read.instance,
            data_hall: read.data_hall,
            region: read.region,
            cluster_key: read.cluster_key,
            control_members: read.control_members,
            rpc_address: read.rpc_address,
            http_address: read.http_address,
            role,
        };
        settings
            .check()
            .map_err(|(key, reason)| out_of_range(key, reason))?;
        Ok(settings)
    }

    /// Writes the settings as YAML.
    ///
    /// # Errors
    /// The encoder's message.
    pub fn to_yaml(&self) -> Result<String, String> {
        let (entry, control, agent) = match self.role.clone() {
            Role::Entry(entry, control) => (Some(entry), control.map(|control| *control), None),
            Role::Agent(agent) => (None, None, Some(*agent)),
        };
        let file = SettingsFile {
            instance: self.instance.clone(),
            data_hall: self.data_hall.clone(),
            region: self.region.clone(),
            cluster_key: self.cluster_key.clone(),
            control_members: self.control_members.clone(),
            rpc_address: self.rpc_address,
            http_address: self.http_address,
            entry,
            control,
            agent,
        };
        serde_saphyr::to_string(&file).map_err(|error| error.to_string())
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let names = [
            ("instance", self.instance.as_str()),
            ("data_hall", self.data_hall.as_str()),
            ("region", self.region.as_str()),
        ];
        for (key, name) in names {
            if !is_valid_name(name) {
                return Err((key, "is not a valid name"));
            }
        }
        if self.cluster_key.len() < MIN_CLUSTER_KEY_BYTES {
            return Err(("cluster_key", "needs at least 16 bytes"));
        }
        if self.control_members.is_empty() {
            return Err(("control_members", "needs at least one address"));
        }
        match &self.role {
            Role::Entry(entry, control) => {
                entry.check()?;
                control.as_ref().map_or(Ok(()), |control| control.check())
            }
            Role::Agent(agent) => agent.check(),
        }
    }
}

impl EntrySettings {
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.max_requests == 0 {
            return Err(("entry.max_requests", "must be above zero"));
        }
        if self.retry_budget_percent > 100 {
            return Err(("entry.retry_budget_percent", "must be at most 100"));
        }
        Ok(())
    }
}

impl ControlSettings {
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.lease_ms * 11 / 10 >= self.election_min_ms {
            return Err((
                "control.lease_ms",
                "must be a tenth and more below control.election_min_ms",
            ));
        }
        if self.heartbeat_ms * 2 >= self.lease_ms {
            return Err((
                "control.heartbeat_ms",
                "must be below half of control.lease_ms",
            ));
        }
        if self.election_min_ms >= self.election_max_ms {
            return Err((
                "control.election_max_ms",
                "must be above control.election_min_ms",
            ));
        }
        if self.origin.bytes_per_second == 0 || self.origin.link_bytes_per_second == 0 {
            return Err(("control.origin", "rates must be above zero"));
        }
        if self.snapshot_entries == 0 {
            return Err(("control.snapshot_entries", "must be above zero"));
        }
        Ok(())
    }
}

impl AgentSettings {
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.link_bytes_per_second == 0 {
            return Err(("agent.link_bytes_per_second", "must be above zero"));
        }
        if self.upload_slots == 0 || self.max_requests == 0 || self.target_places == 0 {
            return Err((
                "agent.upload_slots",
                "upload_slots, max_requests and target_places must be above zero",
            ));
        }
        Ok(())
    }
}
