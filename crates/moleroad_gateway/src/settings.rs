//! Settings of one process, read from a YAML file.
//!
//! Unknown keys are passed over: the file may be written for a later version.

use crate::experiments::Experiments;
use quick_error::quick_error;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, error: std::io::Error) {
            display("MR-6001 settings {}: {}", path.display(), error)
            source(error)
        }
        /// A field is missing or has a wrong form.
        Form(reason: String) {
            display("MR-6002 settings: {}", reason)
        }
        /// A field has a value that cannot work.
        Value(field: &'static str, reason: String) {
            display("MR-6003 settings: {} {}", field, reason)
        }
    }
}

/// What the process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleSetting {
    /// Takes callers' requests, and targets' and operators' calls.
    Entry,
    /// Brings weights to the engine of its instance.
    Agent,
    /// Keeps the control state, and takes targets' and operators' calls.
    Control,
}

impl RoleSetting {
    /// Whether the process knows all targets and the whole configuration, so
    /// that targets and operators may call it.
    pub fn has_full_state(self) -> bool {
        self != RoleSetting::Agent
    }
}

/// Addresses that others call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Callers' requests.
    pub frontend: Option<SocketAddr>,
    /// Whether this process is ready.
    pub readiness: Option<SocketAddr>,
    /// Calls of operators and targets.
    pub control: Option<SocketAddr>,
    /// Callers that ask which entry to use.
    pub directory: Option<SocketAddr>,
}

/// Times and shares that the operator of the platform promises or asks for.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time after which a new configuration is in force everywhere, in
    /// milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub config_apply_ms: u64,
    /// Time after which a leaving target gets nothing more, in milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub drain_ms: u64,
    /// Time between the request to stop and the end, in milliseconds.
    #[serde(rename = "grace_s", deserialize_with = "seconds")]
    pub grace_ms: u64,
    /// Time for an operator's order, in milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub ack_ms: u64,
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// Repeats beyond that, over all entries.
    pub repeat_slack: f64,
    /// Window in which repeats are counted, in milliseconds.
    #[serde(rename = "repeat_window_s", deserialize_with = "seconds")]
    pub repeat_window_ms: u64,
    /// Time after which no request begins on older weights, in milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub version_ms: u64,
    /// Longest time for which callers keep an answer of the directory, in
    /// milliseconds.
    #[serde(rename = "longest_ttl_s", deserialize_with = "seconds")]
    pub longest_ttl_ms: u64,
    /// Time in which a returned member must stand for the next loss, in
    /// milliseconds.
    #[serde(rename = "catch_up_s", deserialize_with = "seconds")]
    pub catch_up_ms: u64,
    /// Most requests in one second at a cold target, as a multiple of its rate.
    pub cold_overshoot: f64,
    /// Requests allowed on top of that multiple, in one second.
    pub cold_slack: f64,
    /// Time after which an evacuated data hall gets nothing more from any entry,
    /// in milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub evacuate_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            config_apply_ms: 2_000,
            drain_ms: 2_000,
            grace_ms: 8_000,
            ack_ms: 4_000,
            repeat_ratio: 0.2,
            repeat_slack: 20.0,
            repeat_window_ms: 10_000,
            version_ms: 8_000,
            longest_ttl_ms: 5_000,
            catch_up_ms: 4_000,
            cold_overshoot: 1.5,
            cold_slack: 5.0,
            evacuate_ms: 5_000,
        }
    }
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// What the process does.
    pub role: RoleSetting,
    /// Address of the instance.
    pub ip: IpAddr,
    /// Data hall.
    pub hall: String,
    /// Region.
    pub region: String,
    /// Region of each data hall.
    #[serde(default)]
    pub regions: std::collections::BTreeMap<String, String>,
    /// First and last port that daemons may use between them.
    pub peer_ports: (u16, u16),
    /// Addresses that others call.
    #[serde(default)]
    pub listen: Listen,
    /// Control addresses of a few daemons to begin with.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the system starts for the first time: the seeds found the control
    /// group, and engines may hold weights when they begin.
    #[serde(default)]
    pub found_group: bool,
    /// Folder for what must survive; without it the process keeps nothing.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// The engine of this instance.
    #[serde(default)]
    pub engine: Option<SocketAddr>,
    /// Service of that engine.
    #[serde(default)]
    pub service: Option<String>,
    /// Time between heartbeats of a target, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub target_heartbeat_ms: u64,
    /// Members of the control group that may be lost at once.
    #[serde(default = "default_losses")]
    pub tolerated_losses: usize,
    /// Memory that the process may use, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Rate of the instance's link, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Times and shares.
    #[serde(default)]
    pub bounds: Bounds,
    /// Mechanisms that are switched off to be measured.
    #[serde(default)]
    pub experiments: Experiments,
}

/// A number of milliseconds, whole or not.
fn whole_ms<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let ms = f64::deserialize(deserializer)?;
    Ok(ms.max(0.0).round() as u64)
}

/// A number of seconds, whole or not, as milliseconds.
fn seconds<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    Ok((seconds.max(0.0) * 1_000.0).round() as u64)
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

fn default_losses() -> usize {
    1
}

fn default_memory_mb() -> u64 {
    128
}

fn default_link_mbps() -> f64 {
    1_000.0
}

impl Settings {
    /// Reads and checks the settings at `path`.
    ///
    /// # Errors
    /// [`SettingsError`] says which field is wrong.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read(path.to_path_buf(), error))?;
        Self::parse(&text)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    /// [`SettingsError`] says which field is wrong.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|error| SettingsError::Form(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let wrong = |field, reason: &str| Err(SettingsError::Value(field, reason.into()));
        if self.instance.is_empty() {
            return wrong("instance", "is empty");
        }
        if self.peer_ports.0 == 0 || self.peer_ports.0 > self.peer_ports.1 {
            return wrong("peer_ports", "must be a first and a last port");
        }
        if self.role == RoleSetting::Agent && self.engine.is_none() {
            return wrong("engine", "is missing: an agent serves one engine");
        }
        if self.role == RoleSetting::Entry && self.listen.frontend.is_none() {
            return wrong("listen.frontend", "is missing: an entry takes requests");
        }
        if self.role == RoleSetting::Control {
            if self.data_dir.is_none() {
                return wrong("data_dir", "is missing: a control daemon keeps the log");
            }
            if self.listen.control.is_none() {
                return wrong("listen.control", "is missing: a control daemon takes calls");
            }
            if self.listen.frontend.is_some() {
                return wrong(
                    "listen.frontend",
                    "is set: a control daemon takes no requests",
                );
            }
        }
        if self.bounds.grace_ms < 1_000 {
            return wrong("bounds.grace_ms", "is under a second");
        }
        if !(0.0..=10.0).contains(&self.bounds.repeat_ratio) {
            return wrong("bounds.repeat_ratio", "is not between 0 and 10");
        }
        if !(0.0..=100.0).contains(&self.bounds.cold_overshoot) {
            return wrong("bounds.cold_overshoot", "is not between 0 and 100");
        }
        if !(0.0..=10_000.0).contains(&self.bounds.cold_slack) {
            return wrong("bounds.cold_slack", "is not between 0 and 10000");
        }
        Ok(())
    }

    /// Address that takes calls of other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.0)
    }

    /// Peer address of a daemon on the instance at `ip`.
    pub fn peer_address_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_ports.0)
    }

    /// Peer addresses of the seeds: all daemons use the same peer port.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let peer = |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.peer_ports.0);
        self.seeds.iter().map(peer).collect()
    }

    /// Region of a data hall; the hall's own name where it is not listed.
    pub fn region_of<'a>(&'a self, hall: &'a str) -> &'a str {
        self.regions.get(hall).map_or(hall, String::as_str)
    }
}
