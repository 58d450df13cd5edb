//! Tests of merging the records of targets and daemons, and of choosing entry
//! addresses.

use moleroad_directory::prelude::*;
use moleroad_directory::target::complete_version;
use moleroad_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

fn target(id: &str, port: u16, sequence: u64) -> TargetRecord {
    let address = format!("127.0.0.1:{port}").parse().unwrap();
    TargetRecord {
        sequence,
        ..TargetRecord::new(TargetId::new(id), "chat", address)
    }
}

fn entry(name: &str, hall: &str, region: &str, port: u16) -> DaemonRecord {
    let peer = format!("127.0.0.1:{port}").parse().unwrap();
    DaemonRecord {
        frontend: Some(format!("127.0.0.1:{}", port + 1000).parse().unwrap()),
        region: region.into(),
        ..DaemonRecord::new(InstanceId::new(name), DaemonRole::Entry, peer, hall)
    }
}

fn lifecycle_of(directory: &Directory, id: &str) -> Option<TargetLifecycle> {
    let observed = directory.target(&TargetId::new(id))?;
    Some(directory.lifecycle(observed))
}

#[test]
fn a_late_heartbeat_does_not_bring_a_leaving_target_back() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    let mut draining = target("a", 1, 5);
    draining.life = TargetLifecycle::Draining;
    assert_eq!(
        directory.merge_target(Millis(10), draining, 0),
        TargetChange::Changed
    );
    assert_eq!(
        directory.merge_target(Millis(20), target("a", 1, 4), 0),
        TargetChange::Stale
    );
    directory.merge_target(Millis(30), target("a", 1, 6), 0);
    assert_eq!(
        lifecycle_of(&directory, "a"),
        Some(TargetLifecycle::Draining)
    );
}

#[test]
fn a_new_incarnation_at_an_address_replaces_the_old_one() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("old", 1, 9), 0);
    directory.merge_target(Millis(100), target("new", 1, 1), 0);
    assert_eq!(lifecycle_of(&directory, "old"), Some(TargetLifecycle::Gone));
    assert_eq!(
        lifecycle_of(&directory, "new"),
        Some(TargetLifecycle::Ready)
    );
    // A record of the old incarnation that arrives through another daemon changes
    // nothing.
    directory.merge_target(Millis(120), target("old", 1, 10), 90);
    assert_eq!(lifecycle_of(&directory, "old"), Some(TargetLifecycle::Gone));
}

#[test]
fn a_target_stays_gone() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    assert!(directory.mark_target_gone(Millis(5), &TargetId::new("a")));
    assert!(!directory.mark_target_gone(Millis(6), &TargetId::new("a")));
    directory.merge_target(Millis(7), target("a", 1, 2), 0);
    assert_eq!(lifecycle_of(&directory, "a"), Some(TargetLifecycle::Gone));
}

#[test]
fn a_repeated_record_counts_as_a_renewal() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    let change = directory.merge_target(Millis(1_000), target("a", 1, 2), 0);
    assert_eq!(change, TargetChange::Refreshed);
}

#[test]
fn callers_get_the_entries_of_their_hall_first() {
    let mut directory = Directory::new();
    for (name, hall, region, port) in [
        ("a1", "h1", "r1", 1),
        ("a2", "h1", "r1", 2),
        ("b1", "h2", "r2", 3),
    ] {
        directory.merge_daemon(Millis(0), entry(name, hall, region, port), 0);
    }
    assert_eq!(
        directory
            .entry_addresses_for(Millis(1), "h1", "r1", &AllowedRegions::all(), 0)
            .len(),
        2
    );
    assert_eq!(
        directory
            .entry_addresses_for(Millis(1), "h2", "r2", &AllowedRegions::all(), 0)
            .len(),
        3
    );
    let mut leaving = entry("a1", "h1", "r1", 1);
    leaving.state = DaemonState::Leaving;
    leaving.sequence = 2;
    let position = directory.position();
    assert!(directory.merge_daemon(Millis(2), leaving, 0));
    assert_ne!(position, directory.position());
    assert_eq!(
        directory
            .entry_addresses_for(Millis(3), "h1", "r1", &AllowedRegions::all(), 0)
            .len(),
        2
    );
    assert!(
        directory
            .entry_addresses_for(Millis(9_000), "h1", "r1", &AllowedRegions::all(), 0)
            .is_empty()
    );
}

#[test]
fn a_restarted_daemon_replaces_its_earlier_incarnation_in_any_order() {
    let mut directory = Directory::new();
    let mut restarted = entry("a", "h", "r", 1);
    restarted.incarnation = 2;
    directory.merge_daemon(Millis(1_000), restarted.clone(), 0);
    // The earlier incarnation, as another daemon still has it.
    assert!(!directory.merge_daemon(Millis(1_001), entry("a", "h", "r", 1), 700));
    let known = directory.daemon(&InstanceId::new("a")).unwrap();
    assert_eq!(known.record, restarted);
}

#[test]
fn only_layers_of_one_version_without_gaps_make_a_whole_model() {
    let holding = |from, to, version| Holding {
        model: "m".into(),
        from,
        to,
        version,
    };
    assert_eq!(complete_version(&[holding(0, 16, 2)], "m", 16), Some(2));
    assert_eq!(
        complete_version(&[holding(8, 16, 2), holding(0, 8, 2)], "m", 16),
        Some(2)
    );
    assert_eq!(
        complete_version(&[holding(0, 8, 2), holding(8, 16, 1)], "m", 16),
        None
    );
    assert_eq!(
        complete_version(&[holding(0, 8, 2), holding(9, 16, 2)], "m", 16),
        None
    );
    assert_eq!(complete_version(&[holding(0, 15, 2)], "m", 16), None);
    assert_eq!(complete_version(&[], "m", 16), None);
}

#[test]
fn pieces_are_counted() {
    let mut pieces = PieceMap::empty("m", 1, 70);
    pieces.set(0, true);
    pieces.set(69, true);
    pieces.set(500, true);
    assert!(pieces.has(69) && !pieces.has(68) && !pieces.has(500));
    assert_eq!(pieces.count(), 2);
    pieces.set(0, false);
    assert_eq!(pieces.count(), 1);
}

#[test]
fn a_target_turning_cold_is_propagated_but_its_countdown_is_not() {
    let mut directory = Directory::new();
    let cold_record = |sequence, cold_left_ms| TargetRecord {
        cold_left_ms,
        ..target("a", 1, sequence)
    };
    let merge =
        |directory: &mut Directory, at: u64, record| directory.merge_target(Millis(at), record, 0);
    merge(&mut directory, 0, cold_record(1, 0));
    let before = directory.position();
    assert_eq!(
        merge(&mut directory, 1_000, cold_record(2, 3_000)),
        TargetChange::Changed
    );
    assert!(directory.position() > before);
    // The remaining time counts down as announced, up to the latency of a call.
    for (at, sequence, left_ms) in [(2_000, 3, 2_100), (4_200, 4, 0)] {
        let change = merge(&mut directory, at, cold_record(sequence, left_ms));
        assert_eq!(change, TargetChange::Refreshed);
    }
    // The cold period is extended while the target is still cold.
    assert_eq!(
        merge(&mut directory, 5_000, cold_record(5, 3_000)),
        TargetChange::Changed
    );
    assert_eq!(
        merge(&mut directory, 6_000, cold_record(6, 3_000)),
        TargetChange::Changed
    );
}

/// Returns two entries in each of the halls and regions `h1`/`r1` to `h4`/`r4`, with
/// distinct ports, except for the regions in `left_out`.
fn entries_in_four_regions(left_out: &[u16]) -> Directory {
    let mut directory = Directory::new();
    for region in (1..=4u16).filter(|region| !left_out.contains(region)) {
        for number in 0..2 {
            let (hall, name) = (format!("h{region}"), format!("r{region}"));
            let port = region * 10 + number;
            let record = entry(&format!("{hall}-{number}"), &hall, &name, port);
            directory.merge_daemon(Millis(0), record, 0);
        }
    }
    directory
}

/// Returns the numbers of the regions whose entries are returned to a caller in `h1`
/// whose requests may be served in the `allowed` regions.
fn returned_regions(directory: &Directory, allowed: &[&str]) -> Vec<u16> {
    let allowed = AllowedRegions::only(allowed.iter().map(|name| Region::new(*name)));
    let returned = directory.entry_addresses_for(Millis(1), "h1", "r1", &allowed, 0);
    let mut regions: Vec<u16> = returned.iter().map(|a| (a.port() - 1_000) / 10).collect();
    regions.sort_unstable();
    regions.dedup();
    regions
}

#[test]
fn entries_of_allowed_regions_are_named_before_all_others() {
    // The caller's own hall is always an acceptable destination.
    let whole = entries_in_four_regions(&[]);
    assert_eq!(returned_regions(&whole, &["r2", "r3"]), [1]);
    let without_own = entries_in_four_regions(&[1]);
    assert_eq!(returned_regions(&without_own, &["r2", "r3"]), [2, 3]);
    assert_eq!(returned_regions(&without_own, &["r4"]), [4]);
}

#[test]
fn entries_elsewhere_are_named_when_there_are_no_others() {
    let without_allowed = entries_in_four_regions(&[1, 2]);
    assert_eq!(returned_regions(&without_allowed, &["r2"]), [3, 4]);
}

#[test]
fn one_entry_of_an_allowed_region_is_enough() {
    let mut directory = entries_in_four_regions(&[1, 2]);
    directory.merge_daemon(Millis(0), entry("only", "h2", "r2", 20), 0);
    assert_eq!(returned_regions(&directory, &["r2"]), [2]);
}

/// Returns a hall with `entries` entries and twice as many agents.
fn hall(entries: u16) -> Directory {
    let mut directory = Directory::new();
    for number in 0..entries * 3 {
        let name = format!("h1-{number}");
        let record = DaemonRecord {
            role: if number < entries {
                DaemonRole::Entry
            } else {
                DaemonRole::Agent
            },
            frontend: (number < entries).then(|| ([127, 0, 0, 1], 5_000 + number).into()),
            ..entry(&name, "h1", "r1", number + 1)
        };
        directory.merge_daemon(Millis(0), record, 0);
    }
    directory
}

/// Counts how often each address is returned in `answers` answers.
fn times_returned(directory: &Directory, answers: u64) -> HashMap<SocketAddr, u64> {
    let mut times = HashMap::new();
    for random in 0..answers {
        let all = AllowedRegions::all();
        for address in directory.entry_addresses_for(Millis(1), "h1", "r1", &all, random) {
            *times.entry(address).or_default() += 1;
        }
    }
    times
}

#[test]
fn entries_are_named_equally_often_when_an_answer_cannot_hold_all() {
    let directory = hall(200);
    let relays = directory.relays(Millis(1), "h1").len() as u64;
    let times = times_returned(&directory, 1_000);
    assert_eq!(times.len() as u64, 200 - relays);
    let fair = 64_000 / (200 - relays);
    for times in times.values() {
        assert!(
            (fair * 4 / 5..fair * 6 / 5).contains(times),
            "returned {times} times, expected about {fair}"
        );
    }
}

#[test]
fn relays_are_not_named_where_others_can_take_their_callers() {
    for (entries, are_returned) in [(8, true), (16, true), (48, false), (200, false)] {
        let directory = hall(entries);
        let times = times_returned(&directory, 100);
        for relay in directory.relays(Millis(1), "h1") {
            let is_returned = times.contains_key(&relay.frontend.unwrap());
            assert_eq!(is_returned, are_returned, "with {entries} entries");
        }
    }
}

fn born(born_ms: u64, sequence: u64) -> TargetRecord {
    TargetRecord {
        born_ms,
        ..target("t-1", 9001, sequence)
    }
}

#[test]
fn a_later_start_time_begins_an_incarnation_without_earlier_state() {
    let mut directory = Directory::new();
    let former = TargetRecord {
        life: TargetLifecycle::Draining,
        holdings: Some(Vec::new()),
        ..born(1_000, 40)
    };
    directory.merge_target(Millis(100), former, 0);
    let change = directory.merge_target(Millis(200), born(2_000, 1), 0);
    assert_eq!(change, TargetChange::Changed);
    let observed = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(observed.record, born(2_000, 1));
}

#[test]
fn late_updates_of_an_earlier_incarnation_are_ignored() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 1), 0);
    let position = directory.position();
    let late = TargetRecord {
        life: TargetLifecycle::Draining,
        ..born(1_000, 40)
    };
    assert_eq!(
        directory.merge_target(Millis(200), late, 0),
        TargetChange::Stale
    );
    assert_eq!(
        lifecycle_of(&directory, "t-1"),
        Some(TargetLifecycle::Ready)
    );
    assert_eq!(directory.position(), position);
}

#[test]
fn a_target_without_a_start_time_belongs_to_the_known_incarnation() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    assert_eq!(
        directory.merge_target(Millis(200), born(0, 4), 0),
        TargetChange::Stale
    );
    let observed = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(observed.record, born(2_000, 5));
}

#[test]
fn a_record_without_a_start_time_keeps_the_known_start_time() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    directory.merge_target(Millis(200), born(0, 6), 0);
    directory.merge_target(Millis(300), born(3_000, 1), 0);
    let observed = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(
        observed.record,
        born(3_000, 1),
        "another incarnation started"
    );
}

#[test]
fn a_target_that_said_in_an_answer_that_it_leaves_is_never_ready_again() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    let id = TargetId::new("t-1");
    let position = directory.position();
    assert!(directory.mark_target_draining(&id, 2_000));
    assert!(directory.position() > position, "the change is forwarded");
    assert!(!directory.mark_target_draining(&id, 2_000), "no change");
    directory.merge_target(Millis(300), born(2_000, 6), 0);
    directory.merge_target(Millis(400), born(0, 7), 0);
    assert_eq!(
        lifecycle_of(&directory, "t-1"),
        Some(TargetLifecycle::Draining)
    );
    // The next incarnation is ready.
    directory.merge_target(Millis(500), born(3_000, 1), 0);
    assert_eq!(
        lifecycle_of(&directory, "t-1"),
        Some(TargetLifecycle::Ready)
    );
}

#[test]
fn a_late_answer_of_an_earlier_incarnation_does_not_affect_the_current_one() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    let id = TargetId::new("t-1");
    assert!(!directory.mark_target_draining(&id, 1_000));
    assert!(!directory.mark_target_draining(&TargetId::new("unknown"), 0));
    assert_eq!(
        lifecycle_of(&directory, "t-1"),
        Some(TargetLifecycle::Ready)
    );
    directory.mark_target_gone(Millis(300), &id);
    assert!(!directory.mark_target_draining(&id, 2_000));
    assert_eq!(lifecycle_of(&directory, "t-1"), Some(TargetLifecycle::Gone));
}

#[test]
fn a_leaving_target_is_propagated_without_a_changed_heartbeat() {
    let mut receiver = Directory::new();
    let mut sender = Directory::new();
    for directory in [&mut receiver, &mut sender] {
        directory.merge_target(Millis(100), born(2_000, 5), 0);
    }
    let id = TargetId::new("t-1");
    sender.mark_target_draining(&id, 2_000);
    let update = sender.target(&id).unwrap().aged(Millis(250));
    let change = receiver.merge_target(Millis(1_000), update.record, update.age_ms);
    assert_eq!(change, TargetChange::Changed);
    assert_eq!(
        lifecycle_of(&receiver, "t-1"),
        Some(TargetLifecycle::Draining)
    );
}
