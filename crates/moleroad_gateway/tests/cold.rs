//! Which targets count as cold, and the grants issued for them, without a network.

use moleroad_config::prelude::*;
use moleroad_directory::prelude::*;
use moleroad_dispatch::prelude::*;
use moleroad_gateway::agent::cold::{ColdEngine, GrantCounts};
use moleroad_gateway::grants::update_cold_state;
use moleroad_gateway::peer::{EngineLoad, GrantRequest};
use moleroad_gateway::settings::Settings;
use moleroad_gateway::view::View;
use moleroad_types::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn settings(off: &str) -> Settings {
    let text = format!(
        "instance: entry-1\nrole: entry\nip: 127.0.0.1\nhall: h\nregion: r\npeer_ports: [1,2]\nlisten: {{frontend: '127.0.0.1:3'}}\nexperiments: {{off: [{off}]}}\n"
    );
    Settings::parse(&text).expect("valid settings")
}

fn daemon(role: DaemonRole, number: u16) -> DaemonRecord {
    let instance = InstanceId::new(format!("{role:?}-{number}"));
    DaemonRecord {
        region: "r".into(),
        engine: (role == DaemonRole::Agent).then(|| address(9)),
        service: Some("chat".into()),
        ..DaemonRecord::new(instance, role, address(number), "h")
    }
}

/// Builds a route table with one service, of engines or of plain targets, with or
/// without a rate limit for cold targets.
fn table(is_engine: bool, cold_start: Option<ColdStart>) -> Arc<RouteTable> {
    let model = EngineModel {
        name: "m".into(),
        layers: 4,
        pieces: 1,
        piece_bytes: 10,
    };
    let service = Service {
        name: "chat".into(),
        max_connections: 0,
        health_path: None,
        slots: 12,
        models: if is_engine { vec![model] } else { Vec::new() },
        steps: is_engine.then_some(STEPS),
        origin: None,
        hall: None,
        cold_start,
    };
    let configuration = Configuration {
        services: vec![service],
        ..Configuration::default()
    };
    Arc::new(RouteTable::compile(&configuration))
}

/// Speed of the engines: without it no agent is queried.
const STEPS: StepModel = StepModel {
    step_ms: 8.0,
    per_request_ms: 0.5,
    prompt_tokens_per_s: 8_000.0,
    steps_per_pass: 4,
    tokens_per_pass: 2_048,
    typical_prompt_tokens: 500.0,
    typical_output_tokens: 100.0,
};

const BOUND: ColdStart = ColdStart {
    cold_duration_ms: 3_000,
    requests_per_s: 15.0,
};

fn target(cold_left_ms: u64, sequence: u64) -> TargetRecord {
    let held = Holding {
        model: "m".into(),
        from: 0,
        to: 4,
        version: 1,
    };
    TargetRecord {
        cold_left_ms,
        sequence,
        slots: 12,
        holdings: Some(vec![held]),
        ..TargetRecord::new(TargetId::new("t"), "chat", address(9))
    }
}

/// Builds a view with an agent and its target, which was first seen at 1,000 ms and
/// reports itself that it is no longer cold.
fn view(table: Arc<RouteTable>, settings: &Settings) -> View {
    let mut view = View::new(daemon(DaemonRole::Entry, 1));
    view.table = Some(table);
    let directory = &mut view.directory;
    directory.merge_daemon(Millis(1_000), daemon(DaemonRole::Agent, 2), 0);
    directory.merge_target(Millis(1_000), target(0, 1), 0);
    view.refresh_candidates(Millis(1_000), settings);
    view.directory.merge_target(Millis(2_200), target(0, 2), 0);
    view.refresh_candidates(Millis(2_200), settings);
    view
}

fn admission(view: &View, now: u64) -> Admission {
    let targets = &view.services["chat"].targets;
    targets.admission(Millis(now), &targets.candidates()[0])
}

#[test]
fn an_engine_is_cold_while_it_is_new_here_and_while_it_says_so() {
    let settings = settings("");
    let mut view = View::new(daemon(DaemonRole::Entry, 1));
    view.table = Some(table(true, Some(BOUND)));
    let now = Millis(1_000);
    view.directory.merge_target(now, target(0, 1), 0);
    view.refresh_candidates(now, &settings);
    // Its agent may exist and issue grants to other entries, so it is queried at its
    // expected address.
    let agent = |view: &View| view.services["chat"].targets.candidates()[0].agent;
    assert_eq!(admission(&view, 1_000), Admission::Grant);
    assert_eq!(agent(&view), Some(address(1)));
    view.directory
        .merge_daemon(now, daemon(DaemonRole::Agent, 2), 0);
    view.refresh_candidates(now, &settings);
    assert_eq!(agent(&view), Some(address(2)));
    assert_eq!(admission(&view, 1_000), Admission::Grant);
    assert_eq!(admission(&view, 4_000), Admission::Unrestricted);
    view.directory.merge_target(Millis(2_200), target(0, 2), 0);
    view.refresh_candidates(Millis(2_200), &settings);
    assert_eq!(admission(&view, 2_200), Admission::Unrestricted);
    // The age of a relayed report counts.
    view.directory
        .merge_target(Millis(9_000), target(2_000, 9), 500);
    view.refresh_candidates(Millis(9_000), &settings);
    assert_eq!(admission(&view, 10_499), Admission::Grant);
    assert_eq!(admission(&view, 10_500), Admission::Unrestricted);
}

#[test]
fn requests_are_not_limited_without_a_bound_or_a_mechanism() {
    for (table, off) in [
        (table(true, None), ""),
        (table(true, Some(BOUND)), "cold_grants, cold_division"),
    ] {
        let settings = settings(off);
        let mut view = view(table, &settings);
        view.directory
            .merge_target(Millis(3_000), target(3_000, 3), 0);
        view.refresh_candidates(Millis(3_000), &settings);
        assert_eq!(admission(&view, 3_000), Admission::Unrestricted);
    }
}

#[test]
fn targets_without_agents_get_the_quota_of_this_entry() {
    for (is_engine, off) in [(false, ""), (true, "cold_grants")] {
        let settings = settings(off);
        let mut view = view(table(is_engine, Some(BOUND)), &settings);
        view.directory
            .merge_target(Millis(3_000), target(3_000, 3), 0);
        view.refresh_candidates(Millis(3_000), &settings);
        let id = TargetId::new("t");
        assert_eq!(admission(&view, 3_000), Admission::Quota);
        let targets = &mut view
            .services
            .get_mut("chat")
            .expect("the service exists")
            .targets;
        let chosen = targets.choose(Millis(3_000), Requirements::default(), 0);
        let until = |choice| match choice {
            Choice::Send(candidate) => candidate.granted_until,
            _ => None,
        };
        assert_eq!(until(chosen), Some(Millis(3_150)));
        targets.started(Millis(3_000), &id, 0);
        assert_eq!(admission(&view, 4_249), Admission::Denied);
        assert_eq!(admission(&view, 4_250), Admission::Quota);
    }
}

#[test]
fn the_quota_of_cold_engines_is_divided_when_no_agent_can_be_asked() {
    let compiled = |steps| {
        let mut service = Service::clone(
            table(true, Some(BOUND))
                .service("chat")
                .expect("the service exists"),
        );
        service.steps = steps;
        let configuration = Configuration {
            services: vec![service],
            ..Configuration::default()
        };
        Arc::new(RouteTable::compile(&configuration))
    };
    let unread = StepModel {
        prompt_tokens_per_s: 0.0,
        ..STEPS
    };
    for (steps, off) in [
        (None, ""),
        (Some(unread), ""),
        (Some(STEPS), "asked_agents"),
    ] {
        let settings = settings(off);
        let mut view = view(compiled(steps), &settings);
        view.directory
            .merge_target(Millis(3_000), target(3_000, 3), 0);
        view.refresh_candidates(Millis(3_000), &settings);
        assert_eq!(admission(&view, 3_000), Admission::Quota);
        let targets = &view.services["chat"].targets;
        let choice = targets.choose(Millis(3_000), Requirements::default(), 0);
        assert!(matches!(choice, Choice::Send(_)), "a target is chosen");
    }
}

#[test]
fn an_engine_that_is_asked_for_grants_can_be_served() {
    let settings = settings("");
    let mut view = view(table(true, Some(BOUND)), &settings);
    view.directory
        .merge_target(Millis(3_000), target(3_000, 3), 0);
    view.refresh_candidates(Millis(3_000), &settings);
    let targets = &view.services["chat"].targets;
    assert!(targets.have_agents());
    let now = Millis(3_000);
    let looked_at = targets.shortlist(now, Requirements::default(), SearchScope::OwnRegion, 0);
    let best = targets.best_of(now, Requirements::default(), &looked_at);
    let best = best.expect("the target is eligible");
    assert_eq!(admission(&view, 3_000), Admission::Grant);
    let granted = Candidate {
        granted_until: Some(now + GRANT_TTL_MS),
        ..best.clone()
    };
    assert!(targets.may_still_send(now, &granted) && !targets.may_still_send(now, &best));
}

#[test]
fn the_address_of_an_agent_is_assumed_while_its_engine_is_cold_only() {
    let settings = settings("");
    let mut view = View::new(daemon(DaemonRole::Entry, 1));
    view.table = Some(table(true, Some(BOUND)));
    view.directory.merge_target(Millis(1_000), target(0, 1), 0);
    let mut agent_at = |now| {
        view.refresh_candidates(Millis(now), &settings);
        view.services["chat"].targets.candidates()[0].agent
    };
    assert_eq!(agent_at(1_000), Some(address(1)));
    assert_eq!(agent_at(3_999), Some(address(1)));
    assert_eq!(agent_at(4_000), None);
}

#[test]
fn an_agents_answer_takes_effect_at_once() {
    let settings = settings("");
    let mut view = view(table(true, Some(BOUND)), &settings);
    assert_eq!(admission(&view, 5_000), Admission::Unrestricted);
    let targets = &mut view
        .services
        .get_mut("chat")
        .expect("the service exists")
        .targets;
    let candidate = targets.candidates()[0].clone();
    let mut load = EngineLoad {
        running: 0,
        queued: 0,
        takes_new: true,
        engine_age_ms: Some(3_500),
        cold_left_ms: 0,
        grants_free: Some(0),
        limit_grants_free: None,
    };
    // An engine that started long ago needs no grant.
    let mut take = |load: &EngineLoad| update_cold_state(targets, Millis(5_000), &candidate, load);
    assert!(!take(&load));
    load.engine_age_ms = Some(1_000);
    assert!(take(&load));
    load.grants_free = Some(2);
    assert!(!take(&load));
    assert_eq!(admission(&view, 6_999), Admission::Grant);
    assert_eq!(admission(&view, 7_000), Admission::Unrestricted);
}

fn grant_request(left_ms: u64) -> GrantRequest {
    GrantRequest {
        requests_per_s: 15.0,
        most_in_a_second: 27.5,
        left_ms,
    }
}

#[test]
fn an_agent_counts_grants_and_reports_the_bound_it_was_given() {
    let engine = ColdEngine::default();
    assert_eq!(engine.state(Millis(0)).grants, None);
    // The bucket is empty at first, since an earlier process of the agent may just have
    // issued grants.
    assert!(!engine.grant(Millis(1_000), grant_request(0)).is_given);
    let later = |at: u64| engine.grant(Millis(1_000 + at), grant_request(0)).is_given;
    assert!(later(70) && !later(71));
    assert_eq!(engine.state(Millis(1_071)).left_ms, 0);
    engine.grant(Millis(1_080), grant_request(900));
    let state = engine.state(Millis(1_480));
    assert_eq!((state.left_ms, state.age_ms), (500, None));
    engine.engine_started(Millis(1_200));
    assert_eq!(engine.state(Millis(1_480)).age_ms, Some(280));
    let sum = GrantCounts { asked: 4, given: 1 };
    assert_eq!(engine.take_counts(), sum);
    assert_eq!(engine.take_counts(), GrantCounts::default());
}

#[test]
fn an_agent_has_no_grants_right_after_a_suspension() {
    let engine = ColdEngine::default();
    engine.record_alive(Millis(1_000));
    engine.grant(Millis(1_000), grant_request(0));
    for at in [1_500, 2_000] {
        engine.record_alive(Millis(at));
    }
    assert_eq!(engine.state(Millis(2_000)).grants, Some(3));
    // The agent is suspended for two seconds, and the request of an entry is the first
    // event after it.
    assert!(!engine.grant(Millis(4_000), grant_request(0)).is_given);
    assert!(engine.grant(Millis(4_070), grant_request(0)).is_given);
}

#[test]
fn grants_accumulate_from_the_start_of_the_agent() {
    let engine = ColdEngine::default();
    for at in [10_000, 10_400] {
        engine.record_alive(Millis(at));
    }
    let given = |at| engine.grant(Millis(at), grant_request(0)).is_given;
    assert_eq!([given(10_500), given(10_500), given(10_500)], [true; 3]);
    assert!(!given(10_500));
}

#[test]
fn a_bound_below_one_request_gives_no_grants() {
    let engine = ColdEngine::default();
    let nothing = GrantRequest {
        requests_per_s: 0.5,
        most_in_a_second: 0.75,
        left_ms: 0,
    };
    for at in (0..10_000).step_by(100) {
        assert!(!engine.grant(Millis(at), nothing).is_given);
    }
}
