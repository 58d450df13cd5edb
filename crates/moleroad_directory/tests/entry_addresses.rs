//! Tests of which entries' addresses callers get.

mod support;

use moleroad_directory::prelude::*;
use moleroad_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use support::entry;

/// Returns how many entries a caller in this hall and region is told of.
fn count(directory: &Directory, now: u64, hall: &str, region: &str) -> usize {
    let all = AllowedRegions::all();
    let addresses = directory.entry_addresses_for(Millis(now), hall, region, &all, 0);
    addresses.len()
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
    assert_eq!(count(&directory, 1, "h1", "r1"), 2);
    assert_eq!(count(&directory, 1, "h2", "r2"), 3);
    let mut leaving = entry("a1", "h1", "r1", 1);
    leaving.state = DaemonState::Leaving;
    leaving.sequence = 2;
    let position = directory.position();
    assert!(directory.merge_daemon(Millis(2), leaving, 0));
    assert_ne!(position, directory.position());
    assert_eq!(count(&directory, 3, "h1", "r1"), 2);
    assert_eq!(count(&directory, 9_000, "h1", "r1"), 0);
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
