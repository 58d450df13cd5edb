//! Starts a complete system as separate processes on loopback addresses.

mod operate;
mod start;

pub use operate::leading_instance;

use crate::address::AddressPool;
use crate::engine::FakeEngine;
use crate::process::{Process, Signal};
use crate::shape::DeploymentShape;
use crate::wait::wait_until;
use moleroad_cli::prelude::OperatorClient;
use moleroad_settings::prelude::*;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Key of the only operator.
pub const OPERATOR_KEY: &str = "operator key of the harness";
/// Cluster key of the system.
pub const CLUSTER_KEY: &str = "cluster key of the harness";

/// Number of lines of each process's log that a failed test prints.
const LOG_LINES_ON_FAILURE: usize = 30;

/// A running deployment. All processes are killed and all files removed on drop; the
/// environment variable `MOLEROAD_KEEP_FILES` keeps the files.
pub struct Deployment {
    shape: DeploymentShape,
    folder: PathBuf,
    programs: PathBuf,
    pool: AddressPool,
    processes: BTreeMap<String, Process>,
    entries: Vec<(InstanceId, SocketAddr)>,
    agents: BTreeMap<InstanceId, SocketAddr>,
    targets: BTreeMap<InstanceId, SocketAddr>,
    engines: BTreeMap<InstanceId, FakeEngine>,
    control: Vec<SocketAddr>,
    /// RPC and HTTP addresses of the entries that are founding members of the control
    /// group.
    founder_addresses: Vec<[SocketAddr; 2]>,
    origin: SocketAddr,
    membership: SocketAddr,
    next_version: u64,
}

impl Deployment {
    /// Starts the fakes, the entries with the control members, and the agents, founds
    /// the control group and waits until all daemons are ready.
    ///
    /// # Errors
    /// I/O errors of writing files and starting processes.
    pub fn start(shape: DeploymentShape) -> io::Result<Self> {
        let mut deployment = Self::prepare(shape)?;
        deployment.start_origin_and_membership()?;
        deployment.start_entries()?;
        deployment.found_control_group();
        deployment.start_targets()?;
        deployment.wait_ready();
        Ok(deployment)
    }

    /// Prints the last lines of all processes' logs, for a failed test.
    fn print_logs(&self) {
        for (name, process) in &self.processes {
            let output = process.output();
            let lines: Vec<&str> = output.lines().collect();
            let start = lines.len().saturating_sub(LOG_LINES_ON_FAILURE);
            eprintln!("last log lines of {name}:\n{}", lines[start..].join("\n"));
        }
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Returns the folder for an instance's stored state or staged chunks.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Returns the folder of the deployment's files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the path of an instance's settings file.
    pub fn settings_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.yaml"))
    }

    /// Returns the path of the operator client program.
    pub fn client_program(&self) -> PathBuf {
        self.programs.join("moleroad")
    }

    /// Creates an operator client of all entries.
    pub fn client(&self) -> OperatorClient {
        let entries = self.entries.iter().map(|(_, address)| *address).collect();
        OperatorClient::new(entries, OPERATOR_KEY)
    }

    /// Returns the instances and HTTP addresses of the entries.
    pub fn entries(&self) -> &[(InstanceId, SocketAddr)] {
        &self.entries
    }

    /// Returns the HTTP addresses of the entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|(_, address)| *address).collect()
    }

    /// Returns the HTTP address of the entry at `position`.
    pub fn entry(&self, position: usize) -> SocketAddr {
        self.entries[position].1
    }

    /// Returns the instances and HTTP addresses of the agents.
    pub fn agents(&self) -> &BTreeMap<InstanceId, SocketAddr> {
        &self.agents
    }

    /// Returns the address of the target on `instance`.
    pub fn target(&self, instance: &str) -> SocketAddr {
        self.targets[&InstanceId::new(instance)]
    }

    /// Returns the engines that run within the harness.
    pub fn engines(&self) -> &BTreeMap<InstanceId, FakeEngine> {
        &self.engines
    }

    /// Returns the region of the instance `name` according to its settings.
    pub fn region_of(&self, name: &str) -> Option<Region> {
        let settings = Settings::from_file(&self.settings_path(name)).ok()?;
        Some(settings.region)
    }

    /// Returns the process `name`: the name of an instance, or with the suffix
    /// `-target` the instance's target.
    ///
    /// # Panics
    /// If there is no such process.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes
            .get_mut(name)
            .unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Returns the names of all processes.
    pub fn process_names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Sends a stop request to every process and waits until the daemons have stopped.
    pub fn stop(&mut self) {
        for process in self.processes.values() {
            process.signal(Signal::Terminate);
        }
        let daemons: Vec<String> = self
            .processes
            .keys()
            .filter(|name| self.settings_path(name).exists())
            .cloned()
            .collect();
        for name in daemons {
            wait_until(&format!("{name} to stop"), || {
                self.process(&name).exit_status()
            });
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        self.processes.clear();
        if std::env::var_os("MOLEROAD_KEEP_FILES").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the key of the account `name`.
pub fn account_key(name: &str) -> String {
    format!("{name} key")
}

/// Generates pseudorandom weights from `seed`, so that all chunks differ.
pub fn generate_weights(seed: u64, bytes: usize) -> Vec<u8> {
    let mut reader = blake3::Hasher::new()
        .update(&seed.to_le_bytes())
        .finalize_xof();
    let mut content = vec![0; bytes];
    reader.fill(&mut content);
    content
}
