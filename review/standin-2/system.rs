//! A small deployment: three entries with a disk, one in each hall, as on the sheet of
//! cpc-router, with its bounds.

use crate::http::{Message, call};
use crate::record::Record;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The program, as the deploy file starts it.
const PROGRAM: &str = "target/release/moleroad_platform";
pub const HALLS: [(&str, &str); 3] = [
    ("cardiff-hall", "south-wales"),
    ("wrexham-hall", "north-wales"),
    ("hub-hall", "midlands-hub"),
];

/// One daemon: an entry, or a control daemon.
pub struct Entry {
    pub name: String,
    ip: String,
    hall: usize,
    is_control: bool,
    has_disk: bool,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub registry: SocketAddr,
    pub child: Option<Child>,
}

pub struct System {
    pub record: Record,
    pub entries: Vec<Entry>,
    folder: PathBuf,
    port: u16,
    memory_mb: u64,
    tolerated: usize,
}

/// Returns a port that is free, with the 15 that follow, on all of `ips`.
fn free_ports(ips: &[String]) -> u16 {
    let seed = std::process::id() as u16 % 300;
    let free = |port: u16| {
        let all = ips
            .iter()
            .all(|ip| (port..port + 16).all(|port| TcpListener::bind((ip.as_str(), port)).is_ok()));
        all.then_some(port)
    };
    let mut ports = (0..400).map(|step| 12_000 + (seed + step) % 700 * 16);
    ports.find_map(free).expect("free ports")
}

impl System {
    /// Starts three entries with a disk and waits until all of them answer.
    pub fn start(record: Record, memory_mb: u64) -> Self {
        Self::start_all(record, 0, HALLS.len(), 1, memory_mb)
    }

    /// Starts control daemons with a disk, and entries without one, as on the sheet of
    /// fnfbs-route.
    pub fn start_with_core(record: Record, cores: usize, entries: usize) -> Self {
        Self::start_all(record, cores, entries, 2, 256)
    }

    fn start_all(
        record: Record,
        cores: usize,
        entries: usize,
        tolerated: usize,
        memory_mb: u64,
    ) -> Self {
        let count = cores + entries;
        let block = std::process::id() % 200 + 20;
        let ips: Vec<String> = (1..=count).map(|n| format!("127.72.{block}.{n}")).collect();
        let port = free_ports(&ips);
        let folder = std::env::temp_dir().join(format!("moleroad-review-2-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        let at = |ip: &String, offset: u16| -> SocketAddr {
            format!("{ip}:{}", port + offset)
                .parse()
                .expect("an address")
        };
        let daemons = ips.iter().enumerate().map(|(number, ip)| {
            let is_control = number < cores;
            let hall = number % HALLS.len();
            let class = if is_control { "core" } else { "edge" };
            Entry {
                name: format!("{class}-{}-{}", HALLS[hall].0, number / HALLS.len() + 1),
                ip: ip.clone(),
                hall,
                is_control,
                has_disk: is_control || cores == 0,
                control: at(ip, 0),
                readiness: at(ip, 1),
                registry: at(ip, 2),
                frontend: at(ip, 3),
                child: None,
            }
        });
        let mut system = Self {
            record,
            entries: daemons.collect(),
            folder,
            port,
            memory_mb,
            tolerated,
        };
        for number in 0..count {
            system.start_entry(number, true);
        }
        let until = Instant::now() + Duration::from_secs(10);
        for number in 0..count {
            while system.control(number, "GET", "/v1/readyz", "").is_none() {
                assert!(Instant::now() < until, "a daemon does not start");
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        system
    }

    /// Starts the process of an entry, with settings as the platform fills them.
    pub fn start_entry(&mut self, number: usize, bootstrap: bool) {
        // The operator's list names three daemons that serve control.
        let seeds = self.entries.iter().take(3);
        let seeds: Vec<String> = seeds.map(|e| format!("\"{}\"", e.control)).collect();
        let regions = HALLS.iter();
        let regions: Vec<String> = regions
            .map(|(hall, region)| format!("\"{hall}\":\"{region}\""))
            .collect();
        let entry = &self.entries[number];
        let home = self.folder.join(&entry.name);
        fs::create_dir_all(&home).expect("a folder");
        let (role, listen) = if entry.is_control {
            ("control", String::new())
        } else {
            let listen = format!(
                "  frontend: \"{}\"\n  readiness: \"{}\"\n  directory: \"{}\"\n",
                entry.frontend, entry.readiness, entry.registry
            );
            ("entry", listen)
        };
        let data_dir = if entry.has_disk {
            format!("data_dir: \"{}\"\n", home.join("data").display())
        } else {
            String::new()
        };
        let settings = format!(
            "instance: \"{name}\"\nrole: {role}\nip: \"{ip}\"\nhall: \"{hall}\"\nregion: \"{region}\"\nregions: {{{regions}}}\npeer_ports: [{first},{last}]\nlisten:\n  control: \"{control}\"\n{listen}seeds: [{seeds}]\nfound_group: {bootstrap}\n{data_dir}target_heartbeat_ms: 1200\ntolerated_losses: {tolerated}\nmemory_mb: {memory}\nlink_mbps: 170.0\nbounds:\n  config_apply_ms: 2000\n  drain_ms: 2000\n  grace_s: 8\n  ack_ms: 4000\n  repeat_ratio: 0.2\n  repeat_slack: 106\n  repeat_window_s: 10\n  version_ms: 8000\n  longest_ttl_s: 5\n  catch_up_s: 4\n",
            name = entry.name,
            ip = entry.ip,
            hall = HALLS[entry.hall].0,
            region = HALLS[entry.hall].1,
            regions = regions.join(","),
            first = self.port + 4,
            last = self.port + 15,
            control = entry.control,
            seeds = seeds.join(","),
            tolerated = self.tolerated,
            memory = self.memory_mb,
        );
        let path = home.join("settings.yaml");
        fs::write(&path, settings).expect("the settings");
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(home.join("log"));
        let child = Command::new(PROGRAM)
            .env("MOLEROAD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.expect("a log"))
            .stderr(Stdio::null())
            .spawn();
        let Ok(child) = child else {
            eprintln!("{PROGRAM} does not start");
            std::process::exit(2);
        };
        self.record
            .note(&format!("platform: {} starts", entry.name));
        self.entries[number].child = Some(child);
    }

    /// Sends a signal to the process of an entry.
    pub fn signal(&self, number: usize, signal: &str) {
        let entry = &self.entries[number];
        let Some(child) = &entry.child else { return };
        self.record
            .note(&format!("platform: SIG{signal} to {}", entry.name));
        let id = child.id().to_string();
        let _ = Command::new("kill").args(["-s", signal, &id]).status();
    }

    /// Makes a call to an entry's control address; a second without an answer is none.
    pub fn control(&self, number: usize, method: &str, path: &str, body: &str) -> Option<Message> {
        let address = self.entries[number].control;
        call(address, method, path, "", body, Duration::from_secs(1)).ok()
    }

    /// Sends an operator's call, unchanged, to one entry after the other until it is
    /// acknowledged.
    pub fn order(&self, first: usize, path: &str, body: &str) {
        let until = Instant::now() + Duration::from_secs(15);
        let count = self.entries.len();
        for attempt in 0.. {
            let number = (first + attempt) % count;
            let answer = self.control(number, "POST", path, body);
            let status = answer.as_ref().map_or(0, Message::status);
            let name = &self.entries[number].name;
            self.record
                .note(&format!("operator: POST {path} to {name}: {status}"));
            if status == 200 {
                return;
            }
            assert!(Instant::now() < until, "{path} is not acknowledged");
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Waits until an entry reads back this version of the configuration.
    pub fn wait_for_version(&self, version: u64) {
        let until = Instant::now() + Duration::from_secs(10);
        let wanted = format!("{{\"Version\":{version},");
        for number in 0..self.entries.len() {
            loop {
                let read = self.control(number, "GET", "/v1/config/read", "");
                if read.is_some_and(|read| read.text().starts_with(&wanted)) {
                    break;
                }
                assert!(Instant::now() < until, "version {version} does not come");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Takes a daemon's machine away: its process is killed and does not come back by itself.
    pub fn kill(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        self.record
            .note(&format!("platform: {} loses power", entry.name));
        if let Some(mut child) = entry.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Replaces the disk of a daemon whose process does not run by an empty one.
    pub fn wipe(&self, number: usize) {
        let entry = &self.entries[number];
        self.record
            .note(&format!("platform: {} has an empty disk", entry.name));
        let _ = fs::remove_dir_all(self.folder.join(&entry.name).join("data"));
    }

    /// Returns the address for traffic between daemons.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        let ip = &self.entries[number].ip;
        let address = format!("{ip}:{}", self.port + 4);
        address.parse().expect("an address")
    }

    /// Returns what a daemon has written to standard output.
    pub fn log(&self, number: usize) -> String {
        let log = self.folder.join(&self.entries[number].name).join("log");
        fs::read_to_string(log).unwrap_or_default()
    }

    /// Returns the daemon that leads the control group, as the logs say.
    pub fn leader(&self) -> Option<usize> {
        let mut newest: Option<(u64, String)> = None;
        for number in 0..self.entries.len() {
            for line in self.log(number).lines() {
                let field = |name: &str| {
                    let (_, rest) = line.split_once(&format!("\"{name}\":"))?;
                    let rest = rest.trim_start_matches('"');
                    rest.split(['"', ',', '}']).next()
                };
                if field("event") != Some("control_leader") || field("leader") == Some("none") {
                    continue;
                }
                let term = field("term")
                    .and_then(|term| term.parse().ok())
                    .unwrap_or(0);
                let leader = field("leader").unwrap_or_default().to_string();
                if newest.as_ref().is_none_or(|(known, _)| term >= *known) {
                    newest = Some((term, leader));
                }
            }
        }
        let (_, leader) = newest?;
        (0..self.entries.len()).find(|number| self.peer_address(*number).to_string() == leader)
    }

    /// Copies the entries' logs beside the record, if asked to.
    fn keep_logs(&self) {
        let Some(folder) = std::env::var_os("KEEP_LOGS") else {
            return;
        };
        for entry in &self.entries {
            let log = self.folder.join(&entry.name).join("log");
            let _ = fs::copy(log, Path::new(&folder).join(format!("{}.log", entry.name)));
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            if let Some(child) = &mut entry.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.keep_logs();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
