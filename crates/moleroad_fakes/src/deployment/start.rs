//! Writes the settings of a deployment's daemons and starts all processes.

use super::{CLUSTER_KEY, Deployment, OPERATOR_KEY};
use crate::address::{AddressPool, free_port, free_ports};
use crate::engine::FakeEngine;
use crate::process::{Process, program_folder};
use crate::shape::{DeploymentShape, HallShape};
use crate::wait::wait_until;
use moleroad_settings::prelude::*;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

impl Deployment {
    pub(super) fn prepare(shape: DeploymentShape) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("moleroad-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(folder.join("origin"))?;
        let mut pool = AddressPool::new();
        let founder_addresses: Vec<[SocketAddr; 2]> = (0..shape.control_members)
            .map(|_| free_ports(pool.next_ip()))
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
            control: founder_addresses.iter().map(|[rpc, _]| *rpc).collect(),
            founder_addresses,
            origin,
            membership,
            next_version: 1,
        })
    }

    pub(super) fn start_origin_and_membership(&mut self) -> io::Result<()> {
        let rate = self.shape.origin_bytes_per_second.to_string();
        let folder = self.folder.join("origin").display().to_string();
        let origin = self.origin.to_string();
        self.start_fake(
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
        self.start_fake(
            "membership",
            &["membership", "--address", &membership, "--list", &list],
        )
    }

    fn start_fake(&mut self, name: &str, arguments: &[&str]) -> io::Result<()> {
        let program = self.programs.join("examples").join("stand_in");
        let arguments = arguments
            .iter()
            .map(|argument| argument.to_string())
            .collect();
        let process = Process::start(&program, arguments, self.log_path(name))?;
        self.processes.insert(name.to_string(), process);
        Ok(())
    }

    pub(super) fn start_entries(&mut self) -> io::Result<()> {
        for position in 0..self.shape.entries {
            let hall = self.hall(position);
            let instance = InstanceId::new(format!("entry-{position}"));
            let may_be_member =
                position < self.shape.control_members + self.shape.spare_control_members;
            let [rpc_address, http_address] = match self.founder_addresses.get(position) {
                Some(addresses) => *addresses,
                None => free_ports(self.pool.next_ip()),
            };
            let entry = EntrySettings {
                entries_keep_ms: self.shape.entries_keep_ms,
                routing_policy: self.shape.routing_policy,
                ..EntrySettings::default()
            };
            let control = may_be_member.then(|| Box::new(self.control_settings(&instance)));
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

    pub(super) fn found_control_group(&self) {
        let client = self.client();
        wait_until("the control group", || client.found().ok());
        wait_until("a leader", || client.status().ok());
    }

    pub(super) fn start_targets(&mut self) -> io::Result<()> {
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
        let [address, rpc, http] = free_ports(self.pool.next_ip());
        let name = format!("engine-{position}");
        if self.shape.engines_in_harness {
            let engine = FakeEngine::start(address, self.shape.token_time, self.shape.engine_slots);
            self.engines.insert(InstanceId::new(&name), engine);
            let target = TargetSettings::Engine { address };
            return self.start_agent(&name, [rpc, http], position, target);
        }
        let token_ms = self.shape.token_time.as_millis().to_string();
        let slots = self.shape.engine_slots.to_string();
        let address_text = address.to_string();
        self.start_fake(
            &format!("{name}-target"),
            &[
                "engine",
                "--address",
                &address_text,
                "--token-ms",
                &token_ms,
                "--slots",
                &slots,
            ],
        )?;
        self.start_agent(
            &name,
            [rpc, http],
            position,
            TargetSettings::Engine { address },
        )
    }

    fn start_service(&mut self, service: &str, position: usize) -> io::Result<()> {
        let [address, rpc, http] = free_ports(self.pool.next_ip());
        let name = format!("{service}-{position}");
        let work_ms = self.shape.service_time.as_millis().to_string();
        let address_text = address.to_string();
        self.start_fake(
            &format!("{name}-target"),
            &["service", "--address", &address_text, "--work-ms", &work_ms],
        )?;
        let target = TargetSettings::PlainService {
            address,
            name: service.into(),
        };
        self.start_agent(&name, [rpc, http], position, target)
    }

    fn start_agent(
        &mut self,
        name: &str,
        [rpc_address, http_address]: [SocketAddr; 2],
        position: usize,
        target: TargetSettings,
    ) -> io::Result<()> {
        let instance = InstanceId::new(name);
        let hall = self.hall(position);
        self.targets.insert(instance.clone(), target.address());
        let agent = AgentSettings {
            staging_folder: self.data_folder(name),
            link_bytes_per_second: self.shape.link_bytes_per_second,
            target,
            upload_slots: 4,
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

    /// Waits until every entry is ready and every daemon has reported.
    ///
    /// # Panics
    /// If a process ends, with its output in the message, or on timeout.
    pub(super) fn wait_ready(&mut self) {
        for (instance, address) in self.entries.clone() {
            wait_until(&format!("{instance} to be ready"), || {
                self.assert_all_running();
                (crate::caller::caller_get(address, "/readyz", "").status == 200).then_some(())
            });
        }
        let daemons = self.entries.len() + self.agents.len();
        wait_until("all daemons to report", || {
            self.assert_all_running();
            let status = self.client().status().ok()?;
            (status.daemons.len() >= daemons).then_some(())
        });
    }

    fn assert_all_running(&mut self) {
        for (name, process) in &mut self.processes {
            if let Some(status) = process.exit_status() {
                panic!("{name} exited with {status}: {}", process.output());
            }
        }
    }

    fn hall(&self, position: usize) -> HallShape {
        self.shape.halls[position % self.shape.halls.len()].clone()
    }
}
