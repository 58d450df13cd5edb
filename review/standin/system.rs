//! The project's own programs as separate processes, and what starts and stops them.

use crate::documents::SERVICE;
use crate::engine::Shape;
use crate::http;
use crate::record;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Sizes of a deployment. The first three entries have a disk.
#[derive(Clone, Copy)]
pub struct Size {
    pub entries: usize,
    pub engines: usize,
}

const MEMBERS: usize = 3;

/// A process that the test has started; it ends with this value.
pub struct Process(Child);

impl Process {
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct System {
    pub size: Size,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub engines: Vec<Process>,
    shape: Shape,
    ports: [u16; 5],
    network: [u8; 2],
    folder: PathBuf,
    record: PathBuf,
}

/// Ports of a machine: callers, readiness, control, directory, daemons.
const FRONTEND: usize = 0;
const READY: usize = 1;
const CONTROL: usize = 2;
const DIRECTORY: usize = 3;
const PEER: usize = 4;
const ENGINE_PORT: u16 = 18_080;

impl System {
    pub fn new(size: Size, shape: Shape, record: &Path) -> Self {
        let id = std::process::id();
        let network = [(id / 200 % 100 + 20) as u8, (id % 200 + 1) as u8];
        let folder = std::env::temp_dir().join(format!("moleroad-review-{id}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut system = Self {
            size,
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            shape,
            ports: [0; 5],
            network,
            folder,
            record: record.to_path_buf(),
        };
        let held: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind((system.entry_ip(0), 0)).expect("a free port"))
            .collect();
        for (port, listener) in system.ports.iter_mut().zip(&held) {
            *port = listener.local_addr().expect("its address").port();
        }
        system
    }

    fn entry_ip(&self, index: usize) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], index as u8 + 1])
    }

    fn side_ip(&self, index: usize) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], index as u8 + 101])
    }

    fn address(&self, index: usize, port: usize) -> SocketAddr {
        SocketAddr::new(self.entry_ip(index), self.ports[port])
    }

    pub fn frontend(&self, index: usize) -> SocketAddr {
        self.address(index, FRONTEND)
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        self.address(index, CONTROL)
    }

    pub fn directory(&self, index: usize) -> SocketAddr {
        self.address(index, DIRECTORY)
    }

    pub fn engine(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.side_ip(index), ENGINE_PORT)
    }

    /// An address for the origin of weights.
    pub fn origin(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::from([127, self.network[0], self.network[1], 250]), ENGINE_PORT)
    }

    /// An address of a proxy before an entry.
    pub fn proxy_ip(&self) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], 251])
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = (0..MEMBERS).map(|index| format!("\"{}\"", self.control(index))).collect();
        format!("[{}]", seeds.join(","))
    }

    /// What all templates of the deploy folder hold; the figures are those of cpc-router.
    fn common(&self, name: &str, role: &str, ip: IpAddr, first: bool) -> String {
        format!(
            "instance: \"{name}\"\nrole: {role}\nip: \"{ip}\"\nhall: \"hall-a\"\nregion: \"region-a\"\nregions: {{\"hall-a\":\"region-a\"}}\npeer_ports: [{peer},{peer}]\nseeds: {seeds}\nfound_group: {first}\ntarget_heartbeat_ms: 1200\ntolerated_losses: 1\nbounds:\n  config_apply_ms: 2000\n  drain_ms: 2000\n  grace_s: 8\n  ack_ms: 4000\n  repeat_ratio: 0.2\n  repeat_slack: 106\n  repeat_window_s: 10\n  version_ms: 8000\n  longest_ttl_s: 5\n  catch_up_s: 4\n",
            peer = self.ports[PEER],
            seeds = self.seeds(),
        )
    }

    fn start_program(&self, name: &str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("the settings");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log");
        let child = Command::new("target/release/moleroad_platform")
            .env_clear()
            .env("MOLEROAD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        Process(child.expect("the program of the platform; build it first"))
    }

    /// Starts all daemons; `first` at the first start of the whole system only.
    pub fn start_daemons(&mut self, first: bool) {
        for index in 0..self.size.entries {
            let name = format!("entry-{index}");
            let mut settings = self.common(&name, "entry", self.entry_ip(index), first);
            settings += &format!(
                "listen:\n  frontend: \"{}\"\n  readiness: \"{}\"\n  control: \"{}\"\n  directory: \"{}\"\nmemory_mb: 260\nlink_mbps: 1000.0\n",
                self.frontend(index), self.address(index, READY), self.control(index), self.directory(index)
            );
            if index < MEMBERS {
                settings += &format!("data_dir: \"{}\"\n", self.folder.join(format!("data-{index}")).display());
            }
            self.entries.push(self.start_program(&name, &settings));
        }
        for index in 0..self.size.engines {
            let name = format!("agent-{index}");
            let mut settings = self.common(&name, "agent", self.side_ip(index), first);
            settings += &format!(
                "memory_mb: 128\nlink_mbps: 9.4\nengine: \"{}\"\nservice: \"{SERVICE}\"\n", self.engine(index)
            );
            self.agents.push(self.start_program(&name, &settings));
        }
    }

    /// Starts all engines with version 1 of the weights, as at the start of the system.
    pub fn start_engines_full(&mut self) {
        for index in 0..self.size.engines {
            let engine = self.start_engine(index, 1);
            self.engines.push(engine);
        }
    }

    /// Starts all engines after a loss of power: they hold no layers and no staged pieces.
    pub fn start_engines_empty(&mut self) {
        for index in 0..self.size.engines {
            let _ = std::fs::remove_dir_all(self.store(index));
            let engine = self.start_engine(index, 0);
            self.engines.push(engine);
        }
    }

    /// Kills an engine; its staged pieces stay.
    pub fn kill_engine(&mut self, index: usize) {
        self.engines[index].kill();
    }

    /// Starts an engine after a crash: it holds no layers, and its staged pieces lie there.
    pub fn restart_engine(&mut self, index: usize) {
        self.engines[index] = self.start_engine(index, 0);
    }

    fn store(&self, index: usize) -> PathBuf {
        self.folder.join(format!("store-{index}"))
    }

    fn start_engine(&self, index: usize, held: u64) -> Process {
        let control: Vec<String> = (0..MEMBERS).map(|index| self.control(index).to_string()).collect();
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .arg("engine")
            .arg(&self.record)
            .arg(self.engine(index).to_string())
            .arg(control.join(","))
            .args([held, self.shape.events, self.shape.event_bytes as u64, self.shape.gap_ms].map(|n| n.to_string()))
            .arg(self.store(index))
            .stdin(Stdio::null())
            .spawn();
        Process(child.expect("the stand-in for an engine"))
    }

    /// Kills all processes at once.
    pub fn kill_all(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.agents).chain(&mut self.engines) {
            let _ = process.0.kill();
        }
        self.entries.clear();
        self.agents.clear();
        self.engines.clear();
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        (0..self.size.entries).all(|index| {
            loop {
                let answer = http::call(self.address(index, READY), "GET /v1/readyz", &[], b"", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status == 200) {
                    return true;
                }
                if Instant::now() > until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        })
    }

    /// Sends an operator's order until it is acknowledged.
    pub fn order(&self, path: &str, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let kind = [("Content-Type", "application/json".to_string())];
        for turn in 0.. {
            let to = self.control(turn % MEMBERS);
            let answer = http::call(to, &format!("POST {path}"), &kind, body.as_bytes(), Duration::from_secs(1));
            if let Ok(answer) = answer {
                if answer.status == 200 {
                    let shown: String = body.chars().take(60).collect();
                    record::line(&format!("operator: POST {path} {shown} is acknowledged by {to}"));
                    return true;
                }
                if (400..500).contains(&answer.status) {
                    record::line(&format!("operator: refused: {}", String::from_utf8_lossy(&answer.body)));
                    return false;
                }
            }
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
