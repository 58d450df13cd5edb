//! Whom a daemon greets, from what it knows.

use moleroad_directory::prelude::*;
use moleroad_gateway::greeting::contacts::{Contact, Standing};
use moleroad_types::prelude::*;
use std::collections::HashSet;
use std::net::SocketAddr;

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn daemon(number: u16, hall: &str, role: DaemonRole) -> DaemonRecord {
    DaemonRecord {
        instance: InstanceId::new(format!("{hall}-{number}")),
        incarnation: 1,
        sequence: 1,
        role,
        state: DaemonState::Ready,
        peer: peer(number),
        frontend: None,
        control: None,
        has_log: false,
        requests_per_s: 0.0,
        hall: hall.into(),
        region: hall.into(),
        engine: None,
        service: Some("chat".into()),
        pieces: Vec::new(),
        report: Some(EngineReport::default()),
    }
}

/// Three halls with eight entries and twenty agents each.
fn three_halls() -> Directory {
    let mut directory = Directory::new();
    for (hall, first) in [("a", 100), ("b", 200), ("c", 300)] {
        for number in 0..28 {
            let role = if number < 8 {
                DaemonRole::Entry
            } else {
                DaemonRole::Agent
            };
            directory.hear_daemon(Millis(0), daemon(first + number, hall, role), 0);
        }
    }
    directory
}

fn contacts(directory: &Directory, own: &DaemonRecord, resting: &[SocketAddr]) -> Vec<Contact> {
    let resting: HashSet<SocketAddr> = resting.iter().copied().collect();
    let standing = Standing {
        now: Millis(1),
        directory,
        own,
        seeds: &[peer(100)],
        resting: &resting,
        is_busy: true,
        is_ignorant: false,
        is_young: false,
        is_lost: false,
    };
    standing.contacts()
}

fn asked(contacts: &[Contact]) -> Vec<&Contact> {
    let asked = contacts.iter().filter(|c| c.scope != Scope::Nothing);
    asked.collect()
}

#[test]
fn an_entry_greets_its_relay_and_a_relay_one_of_each_other_hall() {
    let directory = three_halls();
    let relays: Vec<SocketAddr> = directory
        .relays(Millis(1), "a")
        .iter()
        .map(|relay| relay.peer)
        .collect();
    for number in 100..108 {
        let own = daemon(number, "a", DaemonRole::Entry);
        let contacts = contacts(&directory, &own, &[]);
        if relays.contains(&own.peer) {
            // Two fellow relays and two other halls.
            assert_eq!(contacts.len(), 4);
            let far = contacts.iter().filter(|c| c.scope == Scope::CalleesHall);
            assert_eq!(far.count(), 2);
        } else {
            assert_eq!(contacts.len(), 1);
            assert!(relays.contains(&contacts[0].address));
            assert_eq!(contacts[0].scope, Scope::All);
        }
    }
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
fn an_agent_asks_one_relay_and_greets_no_other_agent() {
    let directory = three_halls();
    let own = daemon(110, "a", DaemonRole::Agent);
    let contacts = contacts(&directory, &own, &[]);
    assert_eq!(asked(&contacts).len(), 1);
    // The three relays of its hall; other agents get offers of pieces.
    let mut greeted: Vec<SocketAddr> = contacts.iter().map(|c| c.address).collect();
    let relays = directory.relays(Millis(1), "a").into_iter();
    let mut relays: Vec<SocketAddr> = relays.map(|relay| relay.peer).collect();
    greeted.sort();
    relays.sort();
    assert_eq!(greeted, relays);
}

#[test]
fn a_control_daemon_asks_one_relay_tells_the_members_and_relays_nothing() {
    let mut directory = three_halls();
    let member = |number: u16, hall: &str| DaemonRecord {
        has_log: true,
        ..daemon(number, hall, DaemonRole::Control)
    };
    for (number, hall) in [(150, "a"), (151, "a"), (250, "b"), (350, "c")] {
        directory.hear_daemon(Millis(0), member(number, hall), 0);
    }
    let contacts = contacts(&directory, &member(150, "a"), &[]);
    let relays = directory.relays(Millis(1), "a");
    assert!(relays.iter().all(|relay| relay.role == DaemonRole::Entry));
    let asked = asked(&contacts);
    assert_eq!(asked.len(), 1);
    assert!(relays.iter().any(|relay| relay.peer == asked[0].address));
    let told: Vec<SocketAddr> = contacts
        .iter()
        .filter(|contact| contact.scope == Scope::Nothing)
        .map(|contact| contact.address)
        .collect();
    assert_eq!(told, [peer(151), peer(250), peer(350)]);
}

#[test]
fn a_control_daemon_without_entries_in_its_hall_turns_to_other_halls() {
    let directory = three_halls();
    let own = daemon(400, "d", DaemonRole::Control);
    let contacts = contacts(&directory, &own, &[]);
    assert_eq!(asked(&contacts).len(), 1);
}

#[test]
fn an_agent_without_entries_in_its_hall_turns_to_other_halls() {
    let mut directory = Directory::new();
    for number in 200..208 {
        directory.hear_daemon(Millis(0), daemon(number, "b", DaemonRole::Entry), 0);
    }
    let own = daemon(110, "a", DaemonRole::Agent);
    directory.hear_daemon(Millis(0), own.clone(), 0);
    let contacts = contacts(&directory, &own, &[]);
    assert_eq!(contacts.len(), 2);
    assert_eq!(asked(&contacts).len(), 1);
}

#[test]
fn an_agent_asks_more_often_while_it_fetches() {
    let mut directory = three_halls();
    let mut own = daemon(110, "a", DaemonRole::Agent);
    let at_rest = contacts(&directory, &own, &[]);
    let every = |contacts: &[Contact]| asked(contacts)[0].every_ms;

    let mut map = PieceMap::empty("m", 2, 48);
    map.set(5, true);
    own.pieces = vec![map];
    own.sequence = 2;
    directory.hear_daemon(Millis(1), own.clone(), 0);
    let fetching = contacts(&directory, &own, &[]);
    assert!(every(&fetching) < every(&at_rest));
    assert_eq!(fetching.len(), at_rest.len());

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
    directory.hear_daemon(Millis(1), own.clone(), 0);
    let done = contacts(&directory, &own, &[]);
    assert_eq!(every(&done), every(&at_rest));
}
