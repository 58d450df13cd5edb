//! Merging what targets and daemons say.

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

fn life_of(directory: &Directory, id: &str) -> Option<TargetLifecycle> {
    let heard = directory.target(&TargetId::new(id))?;
    Some(heard.record.life)
}

#[test]
fn a_late_heartbeat_does_not_bring_a_leaving_target_back() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    let mut leaving = target("a", 1, 5);
    leaving.life = TargetLifecycle::Draining;
    assert_eq!(
        directory.merge_target(Millis(10), leaving, 0),
        TargetChange::Changed
    );
    assert_eq!(
        directory.merge_target(Millis(20), target("a", 1, 4), 0),
        TargetChange::Stale
    );
    directory.merge_target(Millis(30), target("a", 1, 6), 0);
    assert_eq!(life_of(&directory, "a"), Some(TargetLifecycle::Draining));
}

#[test]
fn a_new_life_at_an_address_ends_the_old_one() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("old", 1, 9), 0);
    directory.merge_target(Millis(100), target("new", 1, 1), 0);
    assert_eq!(life_of(&directory, "old"), Some(TargetLifecycle::Gone));
    assert_eq!(life_of(&directory, "new"), Some(TargetLifecycle::Ready));
    // News of the old life that arrives by way of another daemon changes nothing.
    directory.merge_target(Millis(120), target("old", 1, 10), 90);
    assert_eq!(life_of(&directory, "old"), Some(TargetLifecycle::Gone));
}

#[test]
fn a_target_stays_gone() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    assert!(directory.target_gone(Millis(5), &TargetId::new("a")));
    assert!(!directory.target_gone(Millis(6), &TargetId::new("a")));
    directory.merge_target(Millis(7), target("a", 1, 2), 0);
    assert_eq!(life_of(&directory, "a"), Some(TargetLifecycle::Gone));
}

#[test]
fn the_same_words_again_are_a_renewal() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(0), target("a", 1, 1), 0);
    let change = directory.merge_target(Millis(1_000), target("a", 1, 2), 0);
    assert_eq!(change, TargetChange::Renewed);
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
            .addresses_for(Millis(1), "h1", "r1", &AllowedRegions::all(), 0)
            .len(),
        2
    );
    assert_eq!(
        directory
            .addresses_for(Millis(1), "h2", "r2", &AllowedRegions::all(), 0)
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
            .addresses_for(Millis(3), "h1", "r1", &AllowedRegions::all(), 0)
            .len(),
        2
    );
    assert!(
        directory
            .addresses_for(Millis(9_000), "h1", "r1", &AllowedRegions::all(), 0)
            .is_empty()
    );
}

#[test]
fn a_restarted_daemon_replaces_its_earlier_life_in_any_order() {
    let mut directory = Directory::new();
    let mut restarted = entry("a", "h", "r", 1);
    restarted.incarnation = 2;
    directory.merge_daemon(Millis(1_000), restarted.clone(), 0);
    // The earlier life, as another daemon remembers it.
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
fn that_a_target_turns_cold_is_news_and_that_time_passes_is_not() {
    let mut directory = Directory::new();
    let told = |sequence, cold_left_ms| TargetRecord {
        cold_left_ms,
        ..target("a", 1, sequence)
    };
    let hear =
        |directory: &mut Directory, at: u64, record| directory.merge_target(Millis(at), record, 0);
    hear(&mut directory, 0, told(1, 0));
    let before = directory.position();
    assert_eq!(
        hear(&mut directory, 1_000, told(2, 3_000)),
        TargetChange::Changed
    );
    assert!(directory.position() > before);
    // As long as was said, give or take what a call takes on its way.
    for (at, sequence, left_ms) in [(2_000, 3, 2_100), (4_200, 4, 0)] {
        let change = hear(&mut directory, at, told(sequence, left_ms));
        assert_eq!(change, TargetChange::Renewed);
    }
    // Cold again while it is still cold.
    assert_eq!(
        hear(&mut directory, 5_000, told(5, 3_000)),
        TargetChange::Changed
    );
    assert_eq!(
        hear(&mut directory, 6_000, told(6, 3_000)),
        TargetChange::Changed
    );
}

/// Entries in the halls and regions `h1`/`r1` to `h4`/`r4`, at ports of their
/// own, except in those that are left out.
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

/// The regions, by number, of the entries that are named to a caller in `h1`
/// whose requests may be served in these regions.
fn named_regions(directory: &Directory, allowed: &[&str]) -> Vec<u16> {
    let allowed = AllowedRegions::only(allowed.iter().map(|name| Region::new(*name)));
    let named = directory.addresses_for(Millis(1), "h1", "r1", &allowed, 0);
    let mut regions: Vec<u16> = named.iter().map(|a| (a.port() - 1_000) / 10).collect();
    regions.sort_unstable();
    regions.dedup();
    regions
}

#[test]
fn entries_of_allowed_regions_are_named_before_all_others() {
    // The caller's own hall holds nothing that it must not.
    let whole = entries_in_four_regions(&[]);
    assert_eq!(named_regions(&whole, &["r2", "r3"]), [1]);
    let without_own = entries_in_four_regions(&[1]);
    assert_eq!(named_regions(&without_own, &["r2", "r3"]), [2, 3]);
    assert_eq!(named_regions(&without_own, &["r4"]), [4]);
}

#[test]
fn entries_elsewhere_are_named_when_there_are_no_others() {
    let without_allowed = entries_in_four_regions(&[1, 2]);
    assert_eq!(named_regions(&without_allowed, &["r2"]), [3, 4]);
}

#[test]
fn one_entry_of_an_allowed_region_is_enough() {
    let mut directory = entries_in_four_regions(&[1, 2]);
    directory.merge_daemon(Millis(0), entry("only", "h2", "r2", 20), 0);
    assert_eq!(named_regions(&directory, &["r2"]), [2]);
}

/// A hall with `entries` entries and twice as many agents.
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

/// How often each address is named in that many answers.
fn times_named(directory: &Directory, answers: u64) -> HashMap<SocketAddr, u64> {
    let mut times = HashMap::new();
    for draw in 0..answers {
        let all = AllowedRegions::all();
        for address in directory.addresses_for(Millis(1), "h1", "r1", &all, draw) {
            *times.entry(address).or_default() += 1;
        }
    }
    times
}

#[test]
fn where_more_entries_are_ready_than_an_answer_names_all_are_named_alike() {
    let directory = hall(200);
    let relays = directory.relays(Millis(1), "h1").len() as u64;
    let times = times_named(&directory, 1_000);
    assert_eq!(times.len() as u64, 200 - relays);
    let fair = 64_000 / (200 - relays);
    for times in times.values() {
        assert!(
            (fair * 4 / 5..fair * 6 / 5).contains(times),
            "{times} of {fair}"
        );
    }
}

#[test]
fn relays_are_not_named_where_others_can_take_their_callers() {
    for (entries, are_named) in [(8, true), (16, true), (48, false), (200, false)] {
        let directory = hall(entries);
        let times = times_named(&directory, 100);
        for relay in directory.relays(Millis(1), "h1") {
            let is_named = times.contains_key(&relay.frontend.unwrap());
            assert_eq!(is_named, are_named, "of {entries} entries");
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
fn a_later_birth_begins_a_life_that_knows_nothing_of_the_former() {
    let mut directory = Directory::new();
    let former = TargetRecord {
        life: TargetLifecycle::Draining,
        holdings: Some(Vec::new()),
        ..born(1_000, 40)
    };
    directory.merge_target(Millis(100), former, 0);
    let change = directory.merge_target(Millis(200), born(2_000, 1), 0);
    assert_eq!(change, TargetChange::Changed);
    let heard = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(heard.record, born(2_000, 1));
}

#[test]
fn late_news_of_a_former_life_changes_nothing() {
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
    assert_eq!(life_of(&directory, "t-1"), Some(TargetLifecycle::Ready));
    assert_eq!(directory.position(), position);
}

#[test]
fn a_target_that_does_not_tell_its_birth_is_in_the_life_that_is_known() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    assert_eq!(
        directory.merge_target(Millis(200), born(0, 4), 0),
        TargetChange::Stale
    );
    let heard = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(heard.record, born(2_000, 5));
}

#[test]
fn a_word_without_a_birth_does_not_make_the_birth_forgotten() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    directory.merge_target(Millis(200), born(0, 6), 0);
    directory.merge_target(Millis(300), born(3_000, 1), 0);
    let heard = directory.target(&TargetId::new("t-1")).unwrap();
    assert_eq!(heard.record, born(3_000, 1), "another life began");
}

#[test]
fn a_target_that_said_in_an_answer_that_it_leaves_is_never_ready_again() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    let id = TargetId::new("t-1");
    let position = directory.position();
    assert!(directory.target_leaves(Millis(200), &id, 2_000));
    assert!(directory.position() > position, "others are told");
    assert!(!directory.target_leaves(Millis(210), &id, 2_000), "no news");
    directory.merge_target(Millis(300), born(2_000, 6), 0);
    directory.merge_target(Millis(400), born(0, 7), 0);
    assert_eq!(life_of(&directory, "t-1"), Some(TargetLifecycle::Draining));
    // Its next life is ready.
    directory.merge_target(Millis(500), born(3_000, 1), 0);
    assert_eq!(life_of(&directory, "t-1"), Some(TargetLifecycle::Ready));
}

#[test]
fn a_late_answer_of_a_former_life_says_nothing_of_the_present_one() {
    let mut directory = Directory::new();
    directory.merge_target(Millis(100), born(2_000, 5), 0);
    let id = TargetId::new("t-1");
    assert!(!directory.target_leaves(Millis(200), &id, 1_000));
    assert!(!directory.target_leaves(Millis(200), &TargetId::new("unknown"), 0));
    assert_eq!(life_of(&directory, "t-1"), Some(TargetLifecycle::Ready));
    directory.target_gone(Millis(300), &id);
    assert!(!directory.target_leaves(Millis(400), &id, 2_000));
    assert_eq!(life_of(&directory, "t-1"), Some(TargetLifecycle::Gone));
}

#[test]
fn that_a_target_leaves_reaches_others_though_its_heartbeat_did_not_change() {
    let mut told = Directory::new();
    let mut teller = Directory::new();
    for directory in [&mut told, &mut teller] {
        directory.merge_target(Millis(100), born(2_000, 5), 0);
    }
    let id = TargetId::new("t-1");
    teller.target_leaves(Millis(200), &id, 2_000);
    let news = teller.target(&id).unwrap().aged(Millis(250));
    let change = told.merge_target(Millis(1_000), news.record, news.age_ms);
    assert_eq!(change, TargetChange::Changed);
    assert_eq!(life_of(&told, "t-1"), Some(TargetLifecycle::Draining));
}
