//! Builds entries without callers and targets, for tests of their decisions. Each test
//! file uses only some of these functions.

#![allow(dead_code)]

mod service;
mod stub_interface;

use hyper::Method;
use hyper::header::HeaderMap;
use moleroad_config::prelude::*;
use moleroad_consensus::prelude::{MemberId, MemberInfo};
use moleroad_directory::prelude::*;
use moleroad_dispatch::prelude::*;
use moleroad_gateway::clock::Clock;
use moleroad_gateway::control_member::{ControlMember, MemberSettings};
use moleroad_gateway::control_state::{ConfigDocument, ControlState};
use moleroad_gateway::evacuations::{HallRevision, HallState};
use moleroad_gateway::front::request::AcceptedRequest;
use moleroad_gateway::halls::{HallUpdate, HallUpdates, UpdateSource};
use moleroad_gateway::listening::listen;
use moleroad_gateway::node::Node;
use moleroad_gateway::peer::LeaderHint;
use moleroad_gateway::peer_server;
use moleroad_gateway::places::PlaceRequest;
use moleroad_gateway::settings::Settings;
use moleroad_quarantine::prelude::{
    Fingerprint, RequestSuspects, Suspect, TargetIncarnation, TerminationReport,
};
use moleroad_types::prelude::*;
use service::plain_service;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use stub_interface::stub_interface;
use tokio::sync::mpsc;

/// Service used by all test requests.
pub const SERVICE: &str = "plain";

fn settings(name: &str, peer_port: u16) -> Settings {
    let text = format!(
        "instance: {name}\nrole: entry\nip: 127.0.0.1\nhall: hall-a\nregion: r\nregions: {{hall-a: r, hall-b: r}}\npeer_ports: [{peer_port},{peer_port}]\nlisten: {{frontend: \"127.0.0.1:9\"}}\n"
    );
    Settings::parse(&text).unwrap()
}

/// Returns an account that allows only region `r`; its key is its name.
fn restricted_account() -> ClientAccount {
    ClientAccount {
        name: "restricted".into(),
        keys: vec!["restricted".into()],
        priority: None,
        allowed_regions: AllowedRegions::only([Region::new("r")]),
    }
}

/// Returns an entry without a disk and with one target, `i-a` in `hall-a` of region
/// `r`, which has one slot.
pub fn entry() -> Arc<Node> {
    let clock = Clock::default();
    let settings = settings("e", 1);
    with_one_target(Node::new(settings, clock, stub_interface(), None))
}

/// Creates an empty folder that serves as a disk.
pub fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Returns an entry with a disk; it founds the control group if the disk is empty.
pub fn entry_with_disk(folder: &Path) -> Arc<Node> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let clock = Clock::default();
    let own = MemberInfo::new(MemberId(1), "e", address);
    let member_settings = MemberSettings {
        folder: folder.to_path_buf(),
        initial_id: own.id,
        instance: "e".into(),
        address,
        founding: Some(moleroad_consensus::prelude::Configuration::of_voters([own])),
        tolerated_losses: 1,
    };
    let (output, _) = mpsc::unbounded_channel();
    let control_member = ControlMember::start(member_settings, clock, output).unwrap();
    let settings = settings("e", 1);
    with_one_target(Node::new(
        settings,
        clock,
        stub_interface(),
        Some(control_member),
    ))
}

/// Returns the only member of a control group; it serves calls of other daemons.
pub fn leader(name: &str) -> Arc<Node> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let clock = Clock::default();
    let own = MemberInfo::new(MemberId(1), name, address);
    let member_settings = MemberSettings {
        folder: folder(name),
        initial_id: own.id,
        instance: name.into(),
        address,
        founding: Some(moleroad_consensus::prelude::Configuration::of_voters([own])),
        tolerated_losses: 0,
    };
    let (output, _) = mpsc::unbounded_channel();
    let control_member = ControlMember::start(member_settings, clock, output).unwrap();
    let settings = settings(name, address.port());
    let node = Arc::new(Node::new(
        settings,
        clock,
        stub_interface(),
        Some(control_member),
    ));
    tokio::spawn(peer_server::serve(node.clone(), listener));
    node
}

/// Returns an entry without a disk that knows only the address of the leader.
pub fn follower_of(leader: &Node, name: &str) -> Arc<Node> {
    let node = Node::new(settings(name, 1), Clock::default(), stub_interface(), None);
    node.view().update_leader(Some(LeaderHint {
        term: 1,
        address: leader.settings.peer_address(),
    }));
    Arc::new(node)
}

/// Returns an entry that was restarted with the disk of an earlier process.
pub async fn restarted_entry(name: &str) -> Arc<Node> {
    let folder = folder(name);
    let earlier = entry_with_disk(&folder);
    let control_member = earlier.control_member.clone().unwrap();
    while control_member.read().await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop((control_member, earlier));
    entry_with_disk(&folder)
}

/// Returns another entry, which has a configuration in force and answers calls of other
/// daemons.
pub fn entry_with_configuration() -> Arc<Node> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let settings = settings("other", listener.local_addr().unwrap().port());
    let node = Arc::new(Node::new(
        settings,
        Clock::default(),
        stub_interface(),
        None,
    ));
    let state = ControlState {
        configuration: Some(ConfigDocument::new(ConfigVersion(1), b"")),
        ..ControlState::default()
    };
    assert!(node.merge_state(&state, UpdateSource::Push));
    tokio::spawn(peer_server::serve(node.clone(), listener));
    node
}

fn with_one_target(node: Node) -> Arc<Node> {
    let now = node.clock.now();
    let configuration = Configuration {
        services: vec![plain_service()],
        accounts: vec![restricted_account()],
        ..Configuration::default()
    };
    {
        let mut view = node.view();
        view.table = Some(Arc::new(RouteTable::compile(&configuration)));
        let own = view.own.clone();
        view.directory.merge_daemon(now, own, 0);
    }
    add_target(
        &node,
        "i-a",
        "hall-a",
        SocketAddr::from(([127, 0, 0, 2], 1)),
    );
    Arc::new(node)
}

/// Adds a target with one slot in region `r` to the entry's directory.
pub fn add_target(node: &Node, id: &str, hall: &str, address: SocketAddr) {
    let target = TargetRecord {
        id: TargetId::new(id),
        service: SERVICE.into(),
        address,
        hall: hall.into(),
        slots: 1,
        life: TargetLifecycle::Ready,
        cold_left_ms: 0,
        sequence: 1,
        holdings: None,
        born_ms: 0,
        limit: AdvertisedLimit::default(),
    };
    let now = node.clock.now();
    let mut view = node.view();
    view.directory.merge_target(now, target, 0);
    view.refresh_candidates(now, &node.settings);
}

/// Returns what a request of the account `account-one` carries: a content, and prompt
/// parts with these identifiers.
pub fn suspects(content: u8, prompt_parts: &[&str]) -> RequestSuspects {
    let prompt_parts: Vec<String> = prompt_parts.iter().map(|id| id.to_string()).collect();
    RequestSuspects::new(
        Fingerprint([content; 16]),
        Some("account-one"),
        &prompt_parts,
    )
}

/// The fingerprint of [`slot_request`] and [`request`].
pub const REQUEST: Fingerprint = Fingerprint([0; 16]);

/// Returns the report that a target terminated under [`REQUEST`].
pub fn termination(number: usize) -> TerminationReport {
    TerminationReport {
        suspect: Suspect::Content(REQUEST),
        life: TargetIncarnation {
            target: TargetId::new(format!("ended-{number}")),
            born_ms: 0,
        },
        age_ms: 0,
        is_excused: false,
    }
}

/// Reports to the entry that this many targets terminated under [`REQUEST`].
pub fn report_terminations(node: &Node, ends: usize) {
    node.receive_target_ends((0..ends).map(termination).collect());
}

/// Returns the slot requirements of a request that waits for up to 10 s, sent with
/// this API key.
pub fn slot_request(node: &Node, key: Option<&str>) -> PlaceRequest {
    let table = node.view().table.clone().unwrap();
    let until = node.clock.now() + 10_000;
    PlaceRequest {
        service: SERVICE.into(),
        tried: Vec::new(),
        was_sent: false,
        may_have_run: false,
        prompt_tokens: 0,
        priority: 1,
        latency_deadline: None,
        until,
        class: WaitClass::InTime,
        residency: Residency::new(&table, "host", "/", key),
        suspects: suspects(0, &[]),
        is_trial: false,
    }
}

/// Applies an update to the entry that evacuates a hall.
pub fn evacuate(node: &Node, hall: &str) {
    let state = HallState {
        revision: HallRevision(1),
        evacuated: true,
    };
    let updates = HallUpdates::from([(hall.to_string(), HallUpdate { state, age_ms: 0 })]);
    node.apply_hall_updates(&updates, UpdateSource::Push);
}

/// Returns the number of this entry's requests that hold a slot at a target.
pub fn in_flight(node: &Node, id: &str) -> u32 {
    let view = node.view();
    let targets = &view.services[SERVICE].targets;
    targets.load(&TargetId::new(id)).own_in_flight()
}

/// Returns a request that must be answered within `ms` milliseconds and must not be
/// retried once it may have run.
pub fn request(node: &Node, ms: u64) -> AcceptedRequest {
    let slot_request = slot_request(node, None);
    let arrived = node.clock.now();
    let route = Route {
        name: "r".into(),
        host: "host".into(),
        prefix: "/".into(),
        weighted_services: Vec::new(),
        repeatability: Repeatability::AtMostOnce,
        streaming: false,
        resumable: false,
        timeout_ms: ms,
        target_latency_ms: ms,
        target_pause_ms: 0,
        max_attempts: 3,
        priority: 1,
        public: true,
        allowed_regions: AllowedRegions::all(),
    };
    AcceptedRequest {
        method: Method::POST,
        path_and_query: "/".into(),
        headers: HeaderMap::new(),
        body: Default::default(),
        id: "request".try_into().unwrap(),
        route: Arc::new(route),
        service: SERVICE.into(),
        config_version: 0,
        priority: 1,
        arrived,
        received: arrived,
        caller_deadline: None,
        until: arrived + ms,
        prompt_tokens: 0,
        prompt_parts: Vec::new(),
        residency: slot_request.residency,
        last_event: None,
        suspects: suspects(0, &[]),
        is_trial: false,
        progress: Arc::default(),
    }
}
