//! Settings of one process, read from a YAML file.
//!
//! Unknown keys are ignored, since the file may be written for a later version.

use crate::experiments::Experiments;
use quick_error::quick_error;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

quick_error! {
    /// Error from reading or validating the settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, error: std::io::Error) {
            display("MR-6001 settings {}: {}", path.display(), error)
            source(error)
        }
        /// A field is missing or has the wrong type.
        Form(reason: String) {
            display("MR-6002 settings: {}", reason)
        }
        /// A field has an invalid value.
        Value(field: &'static str, reason: String) {
            display("MR-6003 settings: {} {}", field, reason)
        }
    }
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleSetting {
    /// Routes callers' requests, and handles calls of targets and operators.
    Entry,
    /// Transfers weights to the engine of its instance.
    Agent,
    /// Stores the control state, and handles calls of targets and operators.
    Control,
}

impl RoleSetting {
    /// Returns whether the process holds all targets and the whole configuration, so
    /// that targets and operators may call it.
    pub fn has_full_state(self) -> bool {
        self != RoleSetting::Agent
    }
}

/// Addresses on which the process listens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Requests of callers.
    pub frontend: Option<SocketAddr>,
    /// Readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Calls of operators and targets.
    pub control: Option<SocketAddr>,
    /// Directory lookups by callers.
    pub directory: Option<SocketAddr>,
}

/// Bounds that the platform's operator guarantees or requires.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time within which a new configuration must be in force on all daemons, in
    /// milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub config_apply_ms: u64,
    /// Time after which a leaving target must receive no more requests, in
    /// milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub drain_ms: u64,
    /// Grace period between the stop signal and the end of the process, in
    /// milliseconds.
    #[serde(rename = "grace_s", deserialize_with = "seconds")]
    pub grace_ms: u64,
    /// Time within which an operator's order must be acknowledged, in milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub ack_ms: u64,
    /// Allowed retries per request.
    pub repeat_ratio: f64,
    /// Allowed retries in addition to [`Self::repeat_ratio`], over all entries.
    pub repeat_slack: f64,
    /// Window over which retries are counted, in milliseconds.
    #[serde(rename = "repeat_window_s", deserialize_with = "seconds")]
    pub repeat_window_ms: u64,
    /// Time after which no request may begin on older weights, in milliseconds.
    #[serde(deserialize_with = "whole_ms")]
    pub version_ms: u64,
    /// Longest allowed time to live of a directory answer, in milliseconds.
    #[serde(rename = "longest_ttl_s", deserialize_with = "seconds")]
    pub longest_ttl_ms: u64,
    /// Time within which a member that returns must have caught up, so that another
    /// one may be lost, in milliseconds.
    #[serde(rename = "catch_up_s", deserialize_with = "seconds")]
    pub catch_up_ms: u64,
    /// Maximum number of requests in any one second to a cold target, as a multiple of
    /// its rate.
    pub cold_overshoot: f64,
    /// Requests allowed in any one second in addition to that multiple.
    pub cold_slack: f64,
    /// Time after which no entry may send requests to an evacuated data hall, in
    /// milliseconds.
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
    /// Name of the instance that the process runs on.
    pub instance: String,
    /// Role of the process.
    pub role: RoleSetting,
    /// IP address of the instance.
    pub ip: IpAddr,
    /// Data hall of the instance.
    pub hall: String,
    /// Region of the instance.
    pub region: String,
    /// Region of each data hall.
    #[serde(default)]
    pub regions: std::collections::BTreeMap<String, String>,
    /// First and last port for traffic between daemons.
    pub peer_ports: (u16, u16),
    /// Addresses on which the process listens.
    #[serde(default)]
    pub listen: Listen,
    /// Control addresses of a few daemons to contact at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the deployment starts for the first time. The seeds then found the
    /// control group, and engines may hold weights from the beginning.
    #[serde(default)]
    pub found_group: bool,
    /// Folder for persistent state; without it the process stores nothing on disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Address of the engine on this instance.
    #[serde(default)]
    pub engine: Option<SocketAddr>,
    /// Service that the engine belongs to.
    #[serde(default)]
    pub service: Option<String>,
    /// Interval between heartbeats of a target, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub target_heartbeat_ms: u64,
    /// Number of members of the control group that may be lost at the same time.
    #[serde(default = "default_losses")]
    pub tolerated_losses: usize,
    /// Memory that the process may use, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Bandwidth of the instance's link, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Bounds that the platform's operator guarantees or requires.
    #[serde(default)]
    pub bounds: Bounds,
    /// Mechanisms that are disabled for measurements.
    #[serde(default)]
    pub experiments: Experiments,
}

/// Deserializes a number of milliseconds, which may have decimals.
fn whole_ms<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let ms = f64::deserialize(deserializer)?;
    Ok(ms.max(0.0).round() as u64)
}

/// Deserializes a number of seconds, which may have decimals, into milliseconds.
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
    /// Reads and validates the settings at `path`.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] if the file cannot be read or a field is invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read(path.to_path_buf(), error))?;
        Self::parse(&text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] if a field is missing or invalid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|error| SettingsError::Form(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let invalid = |field, reason: &str| Err(SettingsError::Value(field, reason.into()));
        if self.instance.is_empty() {
            return invalid("instance", "is empty");
        }
        if self.peer_ports.0 == 0 || self.peer_ports.0 > self.peer_ports.1 {
            return invalid("peer_ports", "must be a first and a last port");
        }
        if self.role == RoleSetting::Agent && self.engine.is_none() {
            return invalid(
                "engine",
                "is missing: an agent requires the address of its engine",
            );
        }
        if self.role == RoleSetting::Entry && self.listen.frontend.is_none() {
            return invalid(
                "listen.frontend",
                "is missing: an entry must listen for requests",
            );
        }
        if self.role == RoleSetting::Control {
            if self.data_dir.is_none() {
                return invalid("data_dir", "is missing: a control daemon stores the log");
            }
            if self.listen.control.is_none() {
                return invalid(
                    "listen.control",
                    "is missing: a control daemon must listen for calls",
                );
            }
            if self.listen.frontend.is_some() {
                return invalid(
                    "listen.frontend",
                    "is set, but a control daemon serves no requests",
                );
            }
        }
        if self.bounds.grace_ms < 1_000 {
            return invalid("bounds.grace_ms", "is less than 1 s");
        }
        if !(0.0..=10.0).contains(&self.bounds.repeat_ratio) {
            return invalid("bounds.repeat_ratio", "is not between 0 and 10");
        }
        if !(0.0..=100.0).contains(&self.bounds.cold_overshoot) {
            return invalid("bounds.cold_overshoot", "is not between 0 and 100");
        }
        if !(0.0..=10_000.0).contains(&self.bounds.cold_slack) {
            return invalid("bounds.cold_slack", "is not between 0 and 10000");
        }
        Ok(())
    }

    /// Returns the address on which this process listens for other daemons.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.0)
    }

    /// Returns the peer address of a daemon on the instance at `ip`.
    pub fn peer_address_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_ports.0)
    }

    /// Returns the peer addresses of the seeds; all daemons use the same peer port.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let peer = |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.peer_ports.0);
        self.seeds.iter().map(peer).collect()
    }

    /// Returns the region of a data hall, or the hall's own name if it is not listed.
    pub fn region_of<'a>(&'a self, hall: &'a str) -> &'a str {
        self.regions.get(hall).map_or(hall, String::as_str)
    }
}
