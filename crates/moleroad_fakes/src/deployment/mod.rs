//! Starts a whole system as separate processes on loopback.

mod operate;
mod start;

use crate::address::AddressPool;
use crate::engine::FakeEngine;
use crate::process::{Process, Signal};
use crate::shape::DeploymentShape;
use crate::wait::until;
use moleroad_cli::prelude::OperatorClient;
use moleroad_settings::prelude::*;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Key of the one operator.
pub const OPERATOR_KEY: &str = "operator key of the harness";
/// Secret of the system.
pub const CLUSTER_KEY: &str = "cluster key of the harness";

/// Lines of each process's log that a failed test prints.
const LINES_ON_FAILURE: usize = 30;

/// A running deployment; everything ends when it is dropped.
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
    /// Addresses for calls and for HTTP of the entries that found the group.
    founders: Vec<[SocketAddr; 2]>,
    origin: SocketAddr,
    membership: SocketAddr,
    next_version: u64,
}

impl Deployment {
    /// Starts control members, entries, stand-ins and agents, and founds the
    /// control group.
    ///
    /// # Errors
    /// Passes on errors of writing files and starting processes.
    pub fn start(shape: DeploymentShape) -> io::Result<Self> {
        let mut deployment = Self::prepare(shape)?;
        deployment.start_platform()?;
        deployment.start_entries()?;
        deployment.found();
        deployment.start_targets()?;
        deployment.wait_ready();
        Ok(deployment)
    }

    /// Prints the ends of the processes' logs, for a test that has failed.
    fn print_logs(&self) {
        for (name, process) in &self.processes {
            let printed = process.printed();
            let lines: Vec<&str> = printed.lines().collect();
            let end = lines.len().saturating_sub(LINES_ON_FAILURE);
            eprintln!("{name}, its last lines:\n{}", lines[end..].join("\n"));
        }
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Folder for an instance's own state or staged chunks.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Folder of the deployment's files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Settings file of an instance.
    pub fn settings_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.yaml"))
    }

    /// The operators' client program.
    pub fn client_program(&self) -> PathBuf {
        self.programs.join("moleroad")
    }

    /// An operator's client of all entries.
    pub fn client(&self) -> OperatorClient {
        let entries = self.entries.iter().map(|(_, address)| *address).collect();
        OperatorClient::new(entries, OPERATOR_KEY)
    }

    /// Instances and HTTP addresses of the entries.
    pub fn entries(&self) -> &[(InstanceId, SocketAddr)] {
        &self.entries
    }

    /// HTTP address of the entry at `position`.
    pub fn entry(&self, position: usize) -> SocketAddr {
        self.entries[position].1
    }

    /// Instances and HTTP addresses of the agents.
    pub fn agents(&self) -> &BTreeMap<InstanceId, SocketAddr> {
        &self.agents
    }

    /// Address of the target on `instance`.
    pub fn target(&self, instance: &str) -> SocketAddr {
        self.targets[&InstanceId::new(instance)]
    }

    /// Engines that run in the harness.
    pub fn engines(&self) -> &BTreeMap<InstanceId, FakeEngine> {
        &self.engines
    }

    /// Region of the instance `name`, from its settings.
    pub fn region_of(&self, name: &str) -> Option<Region> {
        let settings = Settings::from_file(&self.settings_path(name)).ok()?;
        Some(settings.region)
    }

    /// The process named `name`: an instance, or an instance with `-target`.
    ///
    /// # Panics
    /// When there is none.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes
            .get_mut(name)
            .unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Names of all processes.
    pub fn process_names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Asks every process to stop and waits for those that do so by themselves.
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
            until(&format!("{name} to stop"), || {
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

/// Key of the account `name`.
pub fn account_key(name: &str) -> String {
    format!("{name} key")
}

/// Weights that differ in every chunk, the same for equal seeds.
pub fn weights_of(seed: u64, bytes: usize) -> Vec<u8> {
    let mut reader = blake3::Hasher::new()
        .update(&seed.to_le_bytes())
        .finalize_xof();
    let mut content = vec![0; bytes];
    reader.fill(&mut content);
    content
}
