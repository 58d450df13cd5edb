//! Tests of the choice of contacts from the directory.

use moleroad_directory::prelude::*;
use moleroad_membership::prelude::{Contact, ContactPlanner};
use moleroad_types::prelude::*;
use std::collections::HashSet;
use std::net::SocketAddr;

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn daemon(number: u16, hall: &str, role: DaemonRole) -> DaemonRecord {
    let instance = InstanceId::new(format!("{hall}-{number}"));
    DaemonRecord {
        service: Some("chat".into()),
        report: Some(EngineReport::default()),
        ..DaemonRecord::new(instance, role, peer(number), hall)
    }
}

/// Returns a directory of three halls with eight entries and twenty agents each.
fn three_halls() -> Directory {
    let mut directory = Directory::new();
    for (hall, first) in [("a", 100), ("b", 200), ("c", 300)] {
        for number in 0..28 {
            let role = if number < 8 {
                DaemonRole::Entry
            } else {
                DaemonRole::Agent
            };
            directory.merge_daemon(Millis(0), daemon(first + number, hall, role), 0);
        }
    }
    directory
}

fn contacts(directory: &Directory, own: &DaemonRecord, backed_off: &[SocketAddr]) -> Vec<Contact> {
    let backed_off: HashSet<SocketAddr> = backed_off.iter().copied().collect();
    let planner = ContactPlanner {
        now: Millis(1),
        directory,
        own,
        seeds: &[peer(100)],
        backed_off: &backed_off,
        is_busy: true,
        lacks_configuration: false,
        is_starting_up: false,
        is_isolated: false,
    };
    planner.contacts()
}

fn pulled(contacts: &[Contact]) -> Vec<&Contact> {
    let pulled = contacts.iter().filter(|c| c.scope != Scope::Nothing);
    pulled.collect()
}

fn relays_of(directory: &Directory, hall: &str) -> Vec<DaemonRecord> {
    let relays = directory.relays(Millis(1), hall).into_iter();
    relays.cloned().collect()
}

/// Returns the halls other than `a` that a relay queries, from its contacts.
fn remote_halls(contacts: &[Contact]) -> Vec<u16> {
    let remote = contacts.iter().filter(|c| c.scope == Scope::CalleesHall);
    remote.map(|contact| contact.address.port() / 100).collect()
}

#[test]
fn an_entry_gossips_with_its_relay_and_one_relay_asks_each_other_hall() {
    let directory = three_halls();
    let relays = relays_of(&directory, "a");
    let mut queried_halls = Vec::new();
    for number in 100..108 {
        let own = daemon(number, "a", DaemonRole::Entry);
        let contacts = contacts(&directory, &own, &[]);
        if relays.iter().any(|relay| relay.peer == own.peer) {
            let other_relays = contacts.iter().filter(|c| c.scope == Scope::All);
            assert_eq!(other_relays.count(), 2);
            queried_halls.extend(remote_halls(&contacts));
        } else {
            assert_eq!(contacts.len(), 1);
            assert!(relays.iter().any(|relay| relay.peer == contacts[0].address));
            assert_eq!(contacts[0].scope, Scope::All);
        }
    }
    queried_halls.sort();
    assert_eq!(queried_halls, [2, 3]);
}

#[test]
fn a_hall_is_asked_by_another_relay_when_the_one_whose_turn_it_is_does_not_answer() {
    let directory = three_halls();
    let relays = relays_of(&directory, "a");
    let queries = |relay: &DaemonRecord, backed_off: &[SocketAddr]| {
        remote_halls(&contacts(&directory, relay, backed_off)).contains(&2)
    };
    let first = relays.iter().find(|relay| queries(relay, &[])).unwrap();
    let others = relays.iter().filter(|relay| relay.peer != first.peer);
    assert_eq!(
        others.filter(|relay| queries(relay, &[first.peer])).count(),
        1
    );
}

#[test]
fn every_relay_contacts_a_silent_hall() {
    let mut directory = three_halls();
    for number in 100..128 {
        let own = daemon(number, "a", DaemonRole::Entry);
        directory.refresh_daemon(Millis(1_600), &RecordVersion::of(&own), 0);
    }
    for number in 300..328 {
        let remote = daemon(number, "c", DaemonRole::Entry);
        directory.refresh_daemon(Millis(1_600), &RecordVersion::of(&remote), 0);
    }
    let mut queried_halls = Vec::new();
    for relay in relays_of(&directory, "a") {
        let planner = ContactPlanner {
            now: Millis(1_600),
            directory: &directory,
            own: &relay,
            seeds: &[],
            backed_off: &HashSet::new(),
            is_busy: false,
            lacks_configuration: false,
            is_starting_up: false,
            is_isolated: false,
        };
        queried_halls.extend(remote_halls(&planner.contacts()));
    }
    queried_halls.sort();
    assert_eq!(queried_halls, [2, 2, 2, 3]);
}

#[test]
fn the_number_of_relays_grows_with_the_hall() {
    let mut directory = Directory::new();
    for (count, relays) in [(28, 3), (96, 3), (200, 7), (400, 13)] {
        for number in 0..count {
            let role = if number % 2 == 0 {
                DaemonRole::Entry
            } else {
                DaemonRole::Agent
            };
            directory.merge_daemon(Millis(0), daemon(number, "a", role), 0);
        }
        assert_eq!(relays_of(&directory, "a").len(), relays);
    }
}

#[test]
fn a_daemon_without_contacts_asks_the_seeds() {
    let own = daemon(101, "a", DaemonRole::Entry);
    let mut directory = Directory::new();
    directory.merge_daemon(Millis(0), own.clone(), 0);
    let planner = ContactPlanner {
        now: Millis(1),
        directory: &directory,
        own: &own,
        seeds: &[peer(100), peer(200)],
        backed_off: &HashSet::new(),
        is_busy: false,
        lacks_configuration: true,
        is_starting_up: true,
        is_isolated: true,
    };
    let contacts = planner.contacts();
    assert_eq!(contacts.len(), 2);
    assert!(contacts.iter().all(|contact| contact.relays_suffice));
    // A daemon that was answered and considers itself a relay queries a seed for all
    // records while it is starting up.
    let planner = ContactPlanner {
        is_isolated: false,
        ..planner
    };
    let contacts = planner.contacts();
    assert!(contacts.iter().any(|contact| contact.scope == Scope::All));
    assert!(contacts.iter().all(|contact| !contact.relays_suffice));
}

#[test]
fn an_agent_reports_load_changes_only_to_its_relay() {
    let mut directory = three_halls();
    let mut own = daemon(110, "a", DaemonRole::Agent);
    let position = directory.position();
    own.sequence = 2;
    own.report.as_mut().unwrap().running = 3;
    directory.merge_daemon(Millis(1), own.clone(), 0);
    let with_changes = |contacts: &[Contact]| {
        let changed = contacts.iter().filter(|c| c.changed_position > position);
        changed.map(|contact| contact.scope).collect::<Vec<_>>()
    };
    assert_eq!(with_changes(&contacts(&directory, &own, &[])), [Scope::All]);
    // A due change of weights is sent to all relays immediately.
    own.sequence = 3;
    own.report.as_mut().unwrap().switching = true;
    directory.merge_daemon(Millis(1), own.clone(), 0);
    assert_eq!(with_changes(&contacts(&directory, &own, &[])).len(), 3);
}

#[test]
fn a_relay_that_does_not_answer_is_replaced_at_once() {
    let directory = three_halls();
    let relays = directory.relays(Millis(1), "a");
    let plain = (100..108)
        .map(|number| daemon(number, "a", DaemonRole::Entry))
        .find(|own| relays.iter().all(|relay| relay.peer != own.peer))
        .unwrap();
    let first = contacts(&directory, &plain, &[])[0].address;
    let second = contacts(&directory, &plain, &[first])[0].address;
    assert_ne!(first, second);
    assert!(relays.iter().any(|relay| relay.peer == second));
}

#[test]
fn an_agent_gossips_with_one_relay_and_no_other_agent() {
    let directory = three_halls();
    let own = daemon(110, "a", DaemonRole::Agent);
    let contacts = contacts(&directory, &own, &[]);
    assert_eq!(pulled(&contacts).len(), 1);
    // The three relays of its hall; other agents only receive offers of pieces.
    let mut peers: Vec<SocketAddr> = contacts.iter().map(|c| c.address).collect();
    let relays = directory.relays(Millis(1), "a").into_iter();
    let mut relays: Vec<SocketAddr> = relays.map(|relay| relay.peer).collect();
    peers.sort();
    relays.sort();
    assert_eq!(peers, relays);
}

#[test]
fn a_control_daemon_asks_one_relay_tells_the_members_and_relays_nothing() {
    let mut directory = three_halls();
    let member = |number: u16, hall: &str| DaemonRecord {
        has_log: true,
        ..daemon(number, hall, DaemonRole::Control)
    };
    for (number, hall) in [(150, "a"), (151, "a"), (250, "b"), (350, "c")] {
        directory.merge_daemon(Millis(0), member(number, hall), 0);
    }
    let contacts = contacts(&directory, &member(150, "a"), &[]);
    let relays = directory.relays(Millis(1), "a");
    assert!(relays.iter().all(|relay| relay.role == DaemonRole::Entry));
    let pulled = pulled(&contacts);
    assert_eq!(pulled.len(), 1);
    assert!(relays.iter().any(|relay| relay.peer == pulled[0].address));
    let pushed: Vec<SocketAddr> = contacts
        .iter()
        .filter(|contact| contact.scope == Scope::Nothing)
        .map(|contact| contact.address)
        .collect();
    assert_eq!(pushed, [peer(151), peer(250), peer(350)]);
}

#[test]
fn a_control_daemon_without_entries_in_its_hall_turns_to_other_halls() {
    let directory = three_halls();
    let own = daemon(400, "d", DaemonRole::Control);
    let contacts = contacts(&directory, &own, &[]);
    assert_eq!(pulled(&contacts).len(), 1);
}

#[test]
fn an_agent_without_entries_in_its_hall_turns_to_other_halls() {
    let mut directory = Directory::new();
    for number in 200..208 {
        directory.merge_daemon(Millis(0), daemon(number, "b", DaemonRole::Entry), 0);
    }
    let own = daemon(110, "a", DaemonRole::Agent);
    directory.merge_daemon(Millis(0), own.clone(), 0);
    let contacts = contacts(&directory, &own, &[]);
    assert_eq!(contacts.len(), 2);
    assert_eq!(pulled(&contacts).len(), 1);
}

#[test]
fn an_agent_asks_more_often_while_it_fetches() {
    let mut directory = three_halls();
    let mut own = daemon(110, "a", DaemonRole::Agent);
    let idle = contacts(&directory, &own, &[]);
    let interval = |contacts: &[Contact]| pulled(contacts)[0].interval_ms;

    let mut map = PieceMap::empty("m", 2, 48);
    map.set(5, true);
    own.pieces = vec![map];
    own.sequence = 2;
    directory.merge_daemon(Millis(1), own.clone(), 0);
    let fetching = contacts(&directory, &own, &[]);
    assert!(interval(&fetching) < interval(&idle));
    assert_eq!(fetching.len(), idle.len());

    let holding = Holding {
        model: "m".into(),
        from: 0,
        to: 16,
        version: 2,
    };
    own.report = Some(EngineReport {
        holdings: vec![holding],
        ..EngineReport::default()
    });
    own.sequence = 3;
    directory.merge_daemon(Millis(1), own.clone(), 0);
    let done = contacts(&directory, &own, &[]);
    assert_eq!(interval(&done), interval(&idle));
}
