//! One daemon's knowledge of halls, and its effect on the choice of targets.

#[path = "support/service.rs"]
mod service;

use moleroad_config::prelude::*;
use moleroad_directory::prelude::*;
use moleroad_dispatch::prelude::*;
use moleroad_gateway::evacuations::*;
use moleroad_gateway::halls::{HallUpdate, HallUpdates};
use moleroad_gateway::settings::Settings;
use moleroad_gateway::view::View;
use moleroad_types::prelude::*;
use service::plain_service;
use std::net::SocketAddr;
use std::sync::Arc;

fn settings() -> Settings {
    let text = "instance: e\nrole: entry\nip: 127.0.0.1\nhall: hall-a\nregion: r\nregions: {hall-a: r, hall-b: r}\npeer_ports: [1,2]\nlisten: {frontend: \"127.0.0.1:9\"}\n";
    Settings::parse(text).unwrap()
}

fn entry() -> DaemonRecord {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    DaemonRecord {
        frontend: Some(SocketAddr::from(([127, 0, 0, 1], 9))),
        region: "r".into(),
        ..DaemonRecord::new(InstanceId::new("e"), DaemonRole::Entry, peer, "hall-a")
    }
}

fn target(id: &str, hall: &str) -> TargetRecord {
    TargetRecord {
        id: TargetId::new(id),
        service: "plain".into(),
        address: SocketAddr::from(([127, 0, 0, 2], id.len() as u16)),
        hall: hall.into(),
        slots: 4,
        life: TargetLifecycle::Ready,
        cold_left_ms: 0,
        sequence: 1,
        holdings: None,
        born_ms: 0,
        limit: AdvertisedLimit::default(),
    }
}

/// Builds the view of an entry that knows one target in each of two halls.
fn view() -> View {
    let mut view = View::new(entry());
    let configuration = Configuration {
        services: vec![plain_service()],
        ..Configuration::default()
    };
    view.table = Some(Arc::new(RouteTable::compile(&configuration)));
    let now = Millis(1_000);
    let own = view.own.clone();
    view.directory.merge_daemon(now, own, 0);
    view.directory.merge_target(now, target("i-a", "hall-a"), 0);
    view.directory
        .merge_target(now, target("i-bb", "hall-b"), 0);
    view.refresh_candidates(now, &settings());
    view
}

fn updates(hall: &str, revision: u64, evacuated: bool, age_ms: u64) -> HallUpdates {
    let state = HallState {
        revision: HallRevision(revision),
        evacuated,
    };
    HallUpdates::from([(hall.to_string(), HallUpdate { state, age_ms })])
}

fn apply_updates(view: &mut View, now: u64, updates: &HallUpdates) -> usize {
    let changes = view.merge_halls(Millis(now), updates);
    view.refresh_candidates(Millis(now), &settings());
    changes.len()
}

#[test]
fn the_restore_time_of_a_hall_follows_the_most_exact_update() {
    let mut view = view();
    assert_eq!(view.restored_at("hall-a"), None);
    assert_eq!(
        apply_updates(&mut view, 5_000, &updates("hall-a", 1, true, 100)),
        1
    );
    assert!(view.is_evacuated("hall-a") && !view.is_evacuated("hall-b"));
    assert_eq!(view.restored_at("hall-a"), None);
    // The push has no age; a gossip message with the same state has one.
    assert_eq!(
        apply_updates(&mut view, 9_000, &updates("hall-a", 2, false, 0)),
        1
    );
    assert_eq!(view.restored_at("hall-a"), Some(Millis(9_000)));
    assert_eq!(
        apply_updates(&mut view, 9_100, &updates("hall-a", 2, false, 250)),
        0
    );
    assert_eq!(view.restored_at("hall-a"), Some(Millis(8_850)));
    // Older state that arrives late changes nothing.
    assert_eq!(
        apply_updates(&mut view, 9_200, &updates("hall-a", 1, true, 0)),
        0
    );
    assert_eq!(view.restored_at("hall-a"), Some(Millis(8_850)));
    let reported = view.hall_updates(Millis(9_350));
    assert_eq!(reported, updates("hall-a", 2, false, 500));
    assert!(view.has_no_newer_halls_than(&reported));
    assert!(!view.has_no_newer_halls_than(&updates("hall-a", 1, true, 0)));
    assert!(!view.has_no_newer_halls_than(&HallUpdates::new()));
}

#[test]
fn slots_in_an_evacuated_hall_are_not_counted() {
    let mut view = view();
    let needs = Requirements::default();
    let targets = |view: &View| {
        view.services["plain"]
            .targets
            .total_slots(&AllowedRegions::all())
    };
    assert_eq!(targets(&view), 8);
    apply_updates(&mut view, 2_000, &updates("hall-a", 1, true, 0));
    let slots = &view.services["plain"];
    assert_eq!(slots.targets.total_slots(&AllowedRegions::all()), 4);
    assert_eq!(
        slots
            .targets
            .free_slots(Millis(2_000), &AllowedRegions::all()),
        4.0
    );
    assert!(slots.targets.any_eligible(needs) && !slots.targets.all_evacuated(needs));
    for draw in 0..50 {
        match slots.targets.choose(Millis(2_000), needs, draw) {
            Choice::Send(candidate) => assert_eq!(candidate.id.as_str(), "i-bb"),
            other => panic!("{other:?}"),
        }
    }
    // A target that was probed before the update is not chosen either.
    let looked_at: Vec<Candidate> = slots.targets.candidates().to_vec();
    let best = slots.targets.best_of(Millis(2_000), needs, &looked_at);
    assert_eq!(best.unwrap().id.as_str(), "i-bb");
    // A slot that was granted there before is no longer eligible.
    assert!(!slots.targets.is_eligible(&TargetId::new("i-a"), needs));
    assert!(slots.targets.is_eligible(&TargetId::new("i-bb"), needs));
    assert_eq!(slots.targets.count_not_evacuated(), 1);

    apply_updates(&mut view, 3_000, &updates("hall-b", 1, true, 0));
    let slots = &view.services["plain"];
    assert!(slots.targets.all_evacuated(needs) && !slots.targets.any_eligible(needs));
    assert_eq!(
        slots.targets.choose(Millis(3_000), needs, 1),
        Choice::NoTarget
    );
    apply_updates(&mut view, 4_000, &updates("hall-a", 2, false, 0));
    assert_eq!(targets(&view), 4);
}

#[test]
fn a_service_whose_hall_in_the_allowed_region_is_evacuated_is_refused_at_once() {
    let mut view = view();
    apply_updates(&mut view, 2_000, &updates("hall-a", 1, true, 0));
    let targets = &view.services["plain"].targets;
    let elsewhere = AllowedRegions::only([Region::new("other")]);
    let needs = Requirements {
        regions: Some(&elsewhere),
        ..Requirements::default()
    };
    // There is no target at all, which is not an evacuation.
    assert!(!targets.all_evacuated(needs));
    let here = AllowedRegions::only([Region::new("r")]);
    let needs = Requirements {
        regions: Some(&here),
        ..Requirements::default()
    };
    assert!(!targets.all_evacuated(needs), "the other hall has targets");
}

#[test]
fn requests_kept_away_are_counted_by_hall_until_it_is_taken_back() {
    let mut view = view();
    let needs = Requirements::default();
    assert!(view.count_diversions("plain", needs).halls.is_empty());
    apply_updates(&mut view, 2_000, &updates("hall-a", 1, true, 0));
    assert_eq!(view.count_diversions("plain", needs).first.len(), 1);
    for _ in 0..4 {
        let diverted = view.count_diversions("plain", needs);
        assert!(diverted.first.is_empty() && diverted.halls.contains("hall-a"));
    }
    let changes = view.merge_halls(Millis(3_000), &updates("hall-a", 2, false, 0));
    assert_eq!(changes[0].diverted, 5);
    view.refresh_candidates(Millis(3_000), &settings());
    assert!(view.count_diversions("plain", needs).halls.is_empty());
    assert!(view.count_diversions("unknown", needs).halls.is_empty());
}
