//! Evacuations of data halls as replicated state: outcomes of orders, merging of
//! updates, and decoding of data written before evacuations existed.

use moleroad_gateway::control_state::{ConfigDocument, ControlCommand, ControlState};
use moleroad_gateway::evacuations::*;
use moleroad_gateway::halls::{HallUpdate, HallUpdates};
use moleroad_gateway::peer::{Hello, HelloAnswer};
use moleroad_gateway::suspension::SuspensionDetector;
use moleroad_types::prelude::Millis;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const SEEDS: u64 = 4_000;

fn order(hall: &str, evacuated: bool, based_on: u64) -> HallOrder {
    HallOrder {
        hall: hall.into(),
        evacuated,
        based_on: HallRevision(based_on),
    }
}

fn state(evacuated: bool, revision: u64) -> HallState {
    HallState {
        revision: HallRevision(revision),
        evacuated,
    }
}

#[test]
fn a_hall_order_applies_is_already_satisfied_or_is_superseded() {
    use HallOrderOutcome::*;
    let mut halls = Evacuations::default();
    // The order, its outcome, and the state after it.
    let steps = [
        (order("a", false, 0), AlreadySo, state(false, 0)),
        (order("a", true, 0), Changed, state(true, 1)),
        // Sent again after its answer was lost, to a daemon with the old or the new state.
        (order("a", true, 0), AlreadySo, state(true, 1)),
        (order("a", true, 1), AlreadySo, state(true, 1)),
        // Sent by a daemon that does not know of the evacuation.
        (order("a", false, 0), Overtaken, state(true, 1)),
        (order("a", false, 1), Changed, state(false, 2)),
        // Orders that a frozen daemon delayed since the first evacuation.
        (order("a", true, 0), Overtaken, state(false, 2)),
        (order("a", true, 1), Overtaken, state(false, 2)),
        (order("a", true, 2), Changed, state(true, 3)),
        // The group lost its disks, and daemons know of later changes, which would
        // override an order that was taken for already satisfied.
        (order("a", true, 6), Changed, state(true, 7)),
        (order("a", false, 7), Changed, state(false, 8)),
    ];
    for (order, outcome, state) in steps {
        let order_result = halls.apply(&order);
        assert_eq!(
            order_result,
            HallOrderResult { outcome, state },
            "{order:?}"
        );
        assert_eq!(halls.state_of("a"), state);
        assert_eq!(outcome.is_satisfied(), state.evacuated == order.evacuated);
    }
    assert_eq!(halls.state_of("b"), HallState::default());
}

#[test]
fn no_daemon_acknowledges_an_order_from_its_own_view() {
    let mut held = ControlState::default();
    let begin = ControlCommand::OrderHall(order("a", true, 0));
    assert!(held.apply(&begin));
    assert!(!held.includes(&begin));
    assert!(!held.apply(&begin), "a repeated order changes nothing");
}

#[test]
fn hall_states_converge_in_any_order_and_never_revert() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let halls = ["a", "b", "c"];
        // The state of the log after each order, stale ones included.
        let mut log = Evacuations::default();
        let mut history = vec![log.clone()];
        for _ in 0..random.random_range(1..14) {
            let hall = halls[random.random_range(0..halls.len())];
            let before = log.state_of(hall);
            let stale_by = random.random_range(0..3);
            let based_on = before.revision.0.saturating_sub(stale_by);
            let order_result = log.apply(&order(hall, random.random(), based_on));
            let step = u64::from(order_result.outcome == HallOrderOutcome::Changed);
            assert_eq!(order_result.state.revision.0, before.revision.0 + step);
            history.push(log.clone());
        }
        let mut daemons = [Evacuations::default(), Evacuations::default()];
        for daemon in &mut daemons {
            history.shuffle(&mut random);
            for update in &history {
                let before = daemon.clone();
                let changed = daemon.merge(update);
                assert_eq!(changed, *daemon != before);
                for (hall, held) in before.iter() {
                    let after = daemon.state_of(hall);
                    assert!(after.revision >= held.revision, "seed {seed}");
                    assert!(after.revision > held.revision || after == held);
                }
                assert!(
                    !daemon.merge(update),
                    "a second merge of the same state changes nothing"
                );
            }
        }
        assert_eq!(daemons[0], log, "seed {seed}");
        assert_eq!(daemons[1], log, "seed {seed}");
    }
}

/// The state as encoded before evacuations existed.
type FormerState = (Option<ConfigDocument>, BTreeMap<String, u64>);

#[test]
fn a_snapshot_and_a_log_from_before_evacuations_are_read() {
    let document = ConfigDocument::new(moleroad_config::prelude::ConfigVersion(7), b"text");
    let former: FormerState = (
        Some(document.clone()),
        BTreeMap::from([("m".to_string(), 4)]),
    );
    let bytes = rmp_serde::to_vec(&former).unwrap();
    let mut read: ControlState = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read.configuration, Some(document));
    assert_eq!(read.versions["m"], 4);
    assert_eq!(read.evacuations, Evacuations::default());
    assert!(read.apply(&ControlCommand::OrderHall(order("a", true, 0))));

    // Commands of a log, byte for byte as the earlier program wrote them.
    let named = b"\x81\xabNameVersion\x92\xa1m\x05";
    let command: ControlCommand = rmp_serde::from_slice(named).unwrap();
    assert!(read.apply(&command));
    assert_eq!(read.versions["m"], 5);
    assert_eq!(rmp_serde::to_vec(&command).unwrap(), named);

    // A round trip of the current format loses nothing.
    let bytes = rmp_serde::to_vec(&read).unwrap();
    let again: ControlState = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(again, read);
    assert_eq!(again.evacuations.state_of("a"), state(true, 1));
}

#[test]
fn gossip_messages_without_evacuations_or_crash_records_are_decoded() {
    // Removes the last fields of an encoded array; `last` are their encoded bytes.
    let without = |bytes: &[u8], fields: u8, last: &[&[u8]]| {
        let tail = last.concat();
        assert_eq!((bytes[0], bytes.ends_with(&tail)), (0x90 + fields, true));
        let mut former = bytes[..bytes.len() - tail.len()].to_vec();
        former[0] -= last.len() as u8;
        former
    };
    let (no_halls, no_ends): (&[u8], &[u8]) = (b"\x80", b"\x90");
    let (no_position, no_cursor): (&[u8], &[u8]) = (b"\xc0", b"\x92\x00\x00");
    let no_digest: &[u8] = b"\x00";
    let answer = rmp_serde::to_vec(&HelloAnswer::default()).unwrap();
    for last in [
        &[no_halls, no_ends, no_cursor, no_digest][..],
        &[no_ends, no_cursor, no_digest],
    ] {
        let former = without(&answer, 10, last);
        let read: HelloAnswer = rmp_serde::from_slice(&former).unwrap();
        assert!(read.halls.is_empty() && read.ends.is_empty());
    }
    let hello = Hello {
        from: moleroad_membership::prelude::CallerUpdate::Same(
            moleroad_directory::prelude::RecordVersion {
                instance: moleroad_types::prelude::InstanceId::new("a"),
                incarnation: 1,
                sequence: 1,
            },
        ),
        member: None,
        config_version: Default::default(),
        versions: BTreeMap::new(),
        leader: None,
        targets: Vec::new(),
        question: Default::default(),
        catalog_digest: 1,
        halls: HallUpdates::new(),
        ends: Vec::new(),
        ends_after: None,
        config_digest: 0,
    };
    let bytes = rmp_serde::to_vec(&hello).unwrap();
    for last in [
        &[no_halls, no_ends, no_position, no_digest][..],
        &[no_ends, no_position, no_digest],
    ] {
        let read: Hello = rmp_serde::from_slice(&without(&bytes, 12, last)).unwrap();
        assert!(read.halls.is_empty() && read.ends.is_empty() && read.ends_after.is_none());
    }
}

#[test]
fn no_evacuations_are_encoded_in_one_byte() {
    let none = rmp_serde::to_vec(&HallUpdates::new()).unwrap();
    assert_eq!(none.len(), 1);
    let update = HallUpdate {
        state: state(true, 1),
        age_ms: 900,
    };
    let one = rmp_serde::to_vec(&HallUpdates::from([("hall-a".to_string(), update)])).unwrap();
    assert!(one.len() < 24, "{}", one.len());
}

#[test]
fn a_suspended_process_waits_for_updates_requested_after_it_resumed() {
    let mut process = SuspensionDetector::new(Millis(0));
    for now in (50..2_000).step_by(50) {
        assert!(!process.observe(Millis(now)));
    }
    // Late by less than the time after which operators give up a call.
    assert!(!process.observe(Millis(2_900)));
    assert!(
        !process.must_wait_for_updates(Millis(2_900)) && !process.may_read_backlog(Millis(2_900))
    );

    assert!(process.observe(Millis(9_000)));
    assert!(
        process.must_wait_for_updates(Millis(9_000)) && process.may_read_backlog(Millis(9_000))
    );
    // An answer that waited in the sockets of the process has no later changes.
    process.news_received(Millis(2_900));
    assert!(process.must_wait_for_updates(Millis(9_010)));
    process.news_received(Millis(9_005));
    assert!(!process.must_wait_for_updates(Millis(9_020)));
    assert!(process.may_read_backlog(Millis(9_299)));
    assert!(!process.may_read_backlog(Millis(9_300)));

    // A process that reaches no other daemon continues with its known state.
    assert!(process.observe(Millis(20_000)));
    assert!(process.must_wait_for_updates(Millis(20_999)));
    assert!(!process.must_wait_for_updates(Millis(21_000)));
}

#[test]
fn a_process_started_from_stored_state_waits_for_updates_but_not_for_old_calls() {
    let mut process = SuspensionDetector::with_stored_state(Millis(5_000));
    assert!(!process.observe(Millis(5_010)));
    assert!(
        process.must_wait_for_updates(Millis(5_010)) && !process.may_read_backlog(Millis(5_010))
    );
    process.news_received(Millis(5_020));
    assert!(!process.must_wait_for_updates(Millis(5_030)));

    // A process that reaches no other daemon continues with its known state.
    let mut alone = SuspensionDetector::with_stored_state(Millis(5_000));
    for now in (5_000..6_000).step_by(50) {
        assert!(!alone.observe(Millis(now)));
        assert!(alone.must_wait_for_updates(Millis(now)));
    }
    assert!(!alone.must_wait_for_updates(Millis(6_000)));

    let fresh = SuspensionDetector::new(Millis(5_000));
    assert!(!fresh.must_wait_for_updates(Millis(5_000)));
}
