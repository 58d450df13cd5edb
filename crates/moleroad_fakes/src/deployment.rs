//! Starts a whole system as separate processes on loopback.

use crate::address::{AddressPool, free_port};
use crate::engine::FakeEngine;
use crate::process::{Process, Signal, program_folder};
use crate::shape::{DeploymentShape, HallShape};
use crate::wait::until;
use moleroad_cli::prelude::OperatorClient;
use moleroad_rpc::message::{ReplicaCounts, SystemStatus};
use moleroad_settings::prelude::*;
use moleroad_types::object::*;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Key of the one operator.
pub const OPERATOR_KEY: &str = "operator key of the harness";
/// Secret of the system.
pub const CLUSTER_KEY: &str = "cluster key of the harness";

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

    fn prepare(shape: DeploymentShape) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("moleroad-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(folder.join("origin"))?;
        let mut pool = AddressPool::new();
        let control = (0..shape.control_members)
            .map(|_| free_port(pool.next_ip()))
            .collect();
        let (origin, membership) = (free_port(pool.next_ip()), free_port(pool.next_ip()));
        Ok(Self {
            shape,
            folder,
            programs: program_folder()?,
            pool,
            processes: BTreeMap::new(),
            entries: Vec::new(),
            agents: BTreeMap::new(),
            targets: BTreeMap::new(),
            engines: BTreeMap::new(),
            control,
            origin,
            membership,
            next_version: 1,
        })
    }

    fn start_platform(&mut self) -> io::Result<()> {
        let rate = self.shape.origin_bytes_per_second.to_string();
        let folder = self.folder.join("origin").display().to_string();
        let origin = self.origin.to_string();
        self.start_stand_in(
            "origin",
            &[
                "origin",
                "--address",
                &origin,
                "--rate",
                &rate,
                "--folder",
                &folder,
            ],
        )?;
        let membership = self.membership.to_string();
        let list = self.folder.join("leaving.json").display().to_string();
        self.start_stand_in(
            "membership",
            &["membership", "--address", &membership, "--list", &list],
        )
    }

    fn start_stand_in(&mut self, name: &str, arguments: &[&str]) -> io::Result<()> {
        let program = self.programs.join("examples").join("stand_in");
        let arguments = arguments
            .iter()
            .map(|argument| argument.to_string())
            .collect();
        let process = Process::start(&program, arguments, self.log_path(name))?;
        self.processes.insert(name.to_string(), process);
        Ok(())
    }

    fn start_entries(&mut self) -> io::Result<()> {
        for position in 0..self.shape.entries {
            let hall = self.hall(position);
            let instance = InstanceId::new(format!("entry-{position}"));
            let founding = position < self.shape.control_members;
            let spare = position < self.shape.control_members + self.shape.spare_control_members;
            let rpc_address = if founding {
                self.control[position]
            } else {
                free_port(self.pool.next_ip())
            };
            let http_address = free_port(rpc_address.ip());
            let entry = EntrySettings {
                entries_keep_ms: self.shape.entries_keep_ms,
                routing_policy: self.shape.routing_policy,
                ..EntrySettings::default()
            };
            let control = spare.then(|| Box::new(self.control_settings(&instance)));
            let settings = self.settings(
                &instance,
                &hall,
                rpc_address,
                http_address,
                Role::Entry(entry, control),
            );
            self.entries.push((instance, http_address));
            self.start_daemon(&settings)?;
        }
        Ok(())
    }

    fn control_settings(&self, instance: &InstanceId) -> ControlSettings {
        ControlSettings {
            data_folder: self.data_folder(instance.as_str()),
            operators: vec![OperatorSettings {
                name: "harness".into(),
                key_hash: KeyHash::of(OPERATOR_KEY.as_bytes()),
            }],
            origin: OriginSettings {
                address: self.origin,
                bytes_per_second: self.shape.origin_bytes_per_second,
                link_bytes_per_second: self.shape.link_bytes_per_second,
                objective: self.shape.objective,
                extra_copies_percent: 20,
                holder_wait_ms: self.shape.holder_wait_ms,
                plan: self.shape.plan,
            },
            membership_address: Some(self.membership),
            heartbeat_ms: 100,
            election_min_ms: 600,
            election_max_ms: 1_200,
            lease_ms: 450,
            repair_after_ms: self.shape.repair_after_ms,
            agent_timeout_ms: 3_000,
            snapshot_entries: self.shape.snapshot_entries,
        }
    }

    fn settings(
        &self,
        instance: &InstanceId,
        hall: &HallShape,
        rpc_address: SocketAddr,
        http_address: SocketAddr,
        role: Role,
    ) -> Settings {
        Settings {
            instance: instance.clone(),
            data_hall: hall.data_hall.into(),
            region: hall.region.into(),
            cluster_key: CLUSTER_KEY.into(),
            control_members: self.control.clone(),
            rpc_address,
            http_address,
            role,
        }
    }

    fn start_daemon(&mut self, settings: &Settings) -> io::Result<()> {
        let name = settings.instance.as_str();
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings.to_yaml().map_err(io::Error::other)?)?;
        let program = self.programs.join("moleroadd");
        let arguments = vec!["--settings".into(), path.display().to_string()];
        let process = Process::start(&program, arguments, self.log_path(name))?;
        self.processes.insert(name.to_string(), process);
        Ok(())
    }

    fn found(&self) {
        let client = self.client();
        until("the control group", || client.found().ok());
        until("a leader", || client.status().ok());
    }

    fn start_targets(&mut self) -> io::Result<()> {
        for position in 0..self.shape.engines {
            self.start_engine(position)?;
        }
        for (service, count) in self.shape.services.clone() {
            for position in 0..count {
                self.start_service(service, position)?;
            }
        }
        Ok(())
    }

    fn start_engine(&mut self, position: usize) -> io::Result<()> {
        let ip = self.pool.next_ip();
        let address = free_port(ip);
        let name = format!("engine-{position}");
        if self.shape.engines_in_harness {
            let engine = FakeEngine::start(address, self.shape.token_time, self.shape.engine_slots);
            self.engines.insert(InstanceId::new(&name), engine);
            return self.start_agent(&name, ip, position, TargetSettings::Engine { address });
        }
        let token_ms = self.shape.token_time.as_millis().to_string();
        let slots = self.shape.engine_slots.to_string();
        let at = address.to_string();
        self.start_stand_in(
            &format!("{name}-target"),
            &[
                "engine",
                "--address",
                &at,
                "--token-ms",
                &token_ms,
                "--slots",
                &slots,
            ],
        )?;
        self.start_agent(&name, ip, position, TargetSettings::Engine { address })
    }

    fn start_service(&mut self, service: &str, position: usize) -> io::Result<()> {
        let ip = self.pool.next_ip();
        let address = free_port(ip);
        let name = format!("{service}-{position}");
        let work_ms = self.shape.service_time.as_millis().to_string();
        let at = address.to_string();
        self.start_stand_in(
            &format!("{name}-target"),
            &["service", "--address", &at, "--work-ms", &work_ms],
        )?;
        let target = TargetSettings::PlainService {
            address,
            name: service.into(),
        };
        self.start_agent(&name, ip, position, target)
    }

    fn start_agent(
        &mut self,
        name: &str,
        ip: IpAddr,
        position: usize,
        target: TargetSettings,
    ) -> io::Result<()> {
        let instance = InstanceId::new(name);
        let hall = self.hall(position);
        let (rpc_address, http_address) = (free_port(ip), free_port(ip));
        self.targets.insert(instance.clone(), target.address());
        let agent = AgentSettings {
            staging_folder: self.data_folder(name),
            link_bytes_per_second: self.shape.link_bytes_per_second,
            target,
            upload_slots: 3,
            max_requests: 256,
            target_places: self.shape.target_places,
            max_waiting_per_account: 64,
            probe_ms: 100,
        };
        let settings = self.settings(
            &instance,
            &hall,
            rpc_address,
            http_address,
            Role::Agent(Box::new(agent)),
        );
        self.agents.insert(instance, http_address);
        self.start_daemon(&settings)
    }

    /// Waits until every entry may serve and every agent has reported.
    fn wait_ready(&self) {
        for (instance, address) in &self.entries {
            until(&format!("{instance} to be ready"), || {
                (crate::caller::caller_get(*address, "/readyz", "").status == 200).then_some(())
            });
        }
        let daemons = self.entries.len() + self.agents.len();
        until("all daemons to report", || {
            let status = self.client().status().ok()?;
            (status.daemons.len() >= daemons).then_some(())
        });
    }

    fn hall(&self, position: usize) -> HallShape {
        self.shape.halls[position % self.shape.halls.len()].clone()
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

    /// Applies an object's content under the next version number.
    ///
    /// # Errors
    /// The refusal.
    pub fn apply(&mut self, name: &str, spec: Spec) -> Result<Revision, MoleroadError> {
        let version = ObjectVersion(self.next_version);
        self.next_version += 1;
        let object = Object {
            name: name.into(),
            version,
            spec,
        };
        let request = RequestId::new(format!("harness-{}", version.0));
        self.client()
            .change(&request, &object)
            .map(|answer| answer.revision)
    }

    /// Adds an account whose key is `NAME key`.
    ///
    /// # Errors
    /// The refusal.
    pub fn add_account(
        &mut self,
        name: &str,
        max_in_flight: u32,
        requests_per_second: u32,
    ) -> Result<(), MoleroadError> {
        let key_hashes = vec![KeyHash::of(account_key(name).as_bytes())];
        let spec = AccountSpec {
            key_hashes,
            max_in_flight,
            requests_per_second,
        };
        self.apply(name, Spec::Account(spec)).map(|_| ())
    }

    /// Lets `accounts` call `service`.
    ///
    /// # Errors
    /// The refusal.
    pub fn add_service(&mut self, service: &str, accounts: &[&str]) -> Result<(), MoleroadError> {
        let accounts = accounts
            .iter()
            .map(|account| AccountId::new(*account))
            .collect();
        let spec = ServiceSpec {
            service: service.into(),
            accounts,
        };
        self.apply(service, Spec::Service(spec)).map(|_| ())
    }

    /// Puts weights at the origin.
    ///
    /// # Errors
    /// Passes on write errors.
    pub fn put_at_origin(&self, path: &str, content: &[u8]) -> io::Result<()> {
        let file = self.folder.join("origin").join(path);
        if let Some(parent) = file.parent() {
            std::fs::create_dir_all(parent)?;
        }
        // A draw in progress sees the old or the new content, never a part.
        let staged = file.with_extension("new");
        std::fs::write(&staged, content)?;
        std::fs::rename(staged, file)
    }

    /// Publishes weights: at the origin, and as an object.
    ///
    /// # Errors
    /// The refusal.
    pub fn publish(
        &mut self,
        account: &str,
        model: &str,
        version: &str,
        content: &[u8],
        chunk_bytes: u32,
    ) -> Result<RootDigest, MoleroadError> {
        let origin_path = format!("{account}/{model}/{version}");
        let unwritable =
            |error: io::Error| MoleroadError::new(ResultCode::ObjectInvalid, error.to_string());
        self.put_at_origin(&origin_path, content)
            .map_err(unwritable)?;
        let manifest = Manifest::from_reader(content, chunk_bytes).map_err(unwritable)?;
        let root = manifest.root;
        let spec = WeightsSpec {
            account: account.into(),
            model: model.into(),
            version: version.into(),
            labels: Labels::default(),
            origin_path: origin_path.clone(),
            manifest,
        };
        self.apply(&origin_path, Spec::Weights(spec))?;
        Ok(root)
    }

    /// Places the newest version of a model on matching instances.
    ///
    /// # Errors
    /// The refusal.
    pub fn select(
        &mut self,
        name: &str,
        account: &str,
        model: &str,
        instances: Vec<Requirement>,
        replicas: Replicas,
    ) -> Result<(), MoleroadError> {
        let spec = SelectorSpec {
            account: account.into(),
            weights: vec![Requirement::equals(MODEL_LABEL, model)],
            instances,
            replicas,
            priority: 0,
            max_unavailable_percent: 25,
        };
        self.apply(name, Spec::Selector(spec)).map(|_| ())
    }

    /// The state of the system, when it can be had.
    pub fn status(&self) -> Option<SystemStatus> {
        self.client().status().ok()
    }

    /// Counts of the selector `name`, when they can be had.
    pub fn replicas(&self, name: &str) -> Option<ReplicaCounts> {
        let status = self.status()?;
        status
            .replicas
            .into_iter()
            .find(|counts| counts.selector.as_str() == name)
    }

    /// Waits until `count` replicas of a selector serve `root`.
    pub fn wait_serving(&self, selector: &str, root: RootDigest, count: u32) -> ReplicaCounts {
        until(&format!("{count} replicas of {selector}"), || {
            let counts = self.replicas(selector)?;
            let serves = counts.weights.as_ref().is_some_and(|id| id.root == root);
            (serves && counts.serving >= count).then_some(counts)
        })
    }

    /// Bytes that the origin has sent.
    pub fn origin_sent_bytes(&self) -> u64 {
        crate::caller::caller_get(self.origin, "/sent", "")
            .body
            .parse()
            .unwrap_or(0)
    }

    /// Lists instances as leaving.
    ///
    /// # Errors
    /// Passes on write errors.
    pub fn list_leaving(&self, instances: &[&str]) -> io::Result<()> {
        std::fs::write(
            self.folder.join("leaving.json"),
            serde_json::to_vec(instances)?,
        )
    }

    /// The entry instance that leads the control group.
    pub fn leader(&self) -> Option<InstanceId> {
        let group = self.status()?.group;
        let leader = group.leader?;
        group
            .members
            .into_iter()
            .find(|member| member.info.id == leader)
            .map(|member| member.info.instance)
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
