//! Tests of transferring directory changes between daemons.

use moleroad_directory::delta::MAX_RECORDS;
use moleroad_directory::prelude::*;
use moleroad_types::prelude::*;
use std::net::SocketAddr;

/// Incarnation of the daemon that answers.
const INCARNATION: u64 = 7;
const HALL: &str = "h1";

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2_000 + number))
}

fn daemon(number: u16, hall: &str) -> DaemonRecord {
    let instance = InstanceId::new(format!("{hall}-{number}"));
    DaemonRecord {
        engine: Some(address(number)),
        service: Some("chat".into()),
        report: Some(EngineReport::default()),
        ..DaemonRecord::new(instance, DaemonRole::Agent, address(number), hall)
    }
}

fn target(number: u16) -> TargetRecord {
    TargetRecord::new(
        TargetId::new(format!("i-{number}")),
        "chat",
        address(number),
    )
}

/// The caller's side of exchanges with one directory.
struct Caller {
    name: InstanceId,
    directory: Directory,
    known: SlotTable,
    cursor: Cursor,
}

impl Caller {
    fn new(name: &str) -> Self {
        Self {
            name: InstanceId::new(name),
            directory: Directory::new(),
            known: SlotTable::default(),
            cursor: Cursor::default(),
        }
    }

    fn request(&mut self, now: u64, callee: &Directory, request: DeltaRequest) -> DirectoryDelta {
        let request = DeltaRequest {
            after: self.cursor,
            ..request
        };
        let delta = callee.delta(Millis(now), INCARNATION, HALL, &self.name, request);
        self.cursor = delta.cursor;
        delta
    }

    fn pull(&mut self, now: u64, callee: &Directory, request: DeltaRequest) -> DeltaOutcome {
        let delta = self.request(now, callee, request);
        self.apply(now, delta)
    }

    fn apply(&mut self, now: u64, delta: DirectoryDelta) -> DeltaOutcome {
        let name = self.name.clone();
        self.directory
            .apply_delta(Millis(now), &name, delta, &mut self.known)
    }

    fn last_seen(&self, instance: &str) -> Option<u64> {
        let observed = self.directory.daemon(&InstanceId::new(instance))?;
        Some(observed.last_seen.0)
    }
}

fn all(lives: bool) -> DeltaRequest {
    DeltaRequest {
        scope: Scope::All,
        lives,
        ..DeltaRequest::default()
    }
}

fn of_hall(lives: bool) -> DeltaRequest {
    DeltaRequest {
        scope: Scope::CalleesHall,
        ..all(lives)
    }
}

fn directory_of(daemons: u16, targets: u16) -> Directory {
    let mut directory = Directory::new();
    for number in 0..daemons {
        directory.merge_daemon(Millis(0), daemon(number, HALL), 0);
    }
    for number in 0..targets {
        directory.merge_target(Millis(0), target(number), 0);
    }
    directory
}

#[test]
fn large_updates_are_split_into_several_answers() {
    let mut callee = directory_of(300, 250);
    let mut caller = Caller::new("asker");
    let mut answers = 0;
    loop {
        let delta = caller.request(1, &callee, all(true));
        assert!(delta.daemons.len() + delta.targets.len() <= MAX_RECORDS);
        // Ages are sent only after all daemon records were.
        assert_eq!(delta.ages.is_some(), !delta.has_more);
        answers += 1;
        // Changes made between the answers are not lost.
        let changed = DaemonRecord {
            sequence: 1 + answers,
            state: DaemonState::Leaving,
            ..daemon(answers as u16, HALL)
        };
        callee.merge_daemon(Millis(1), changed, 0);
        let is_last = !delta.has_more;
        assert!(caller.apply(1, delta).is_complete);
        if is_last {
            break;
        }
    }
    assert_eq!(answers, 3);
    caller.pull(2, &callee, all(true));
    for observed in callee.daemons() {
        let known = caller.directory.daemon(&observed.record.instance).unwrap();
        assert_eq!(known.record, observed.record);
    }
    assert_eq!(caller.directory.targets().count(), 250);
    assert_eq!(caller.request(3, &callee, all(false)).daemons, []);
}

#[test]
fn a_load_change_between_two_parts_of_an_answer_is_reported() {
    let mut callee = directory_of(300, 0);
    let mut caller = Caller::new("asker");
    caller.pull(1, &callee, all(false));
    for number in [5, 295] {
        let mut busy = daemon(number, HALL);
        busy.sequence = 2;
        busy.report.as_mut().unwrap().running = 3;
        callee.merge_daemon(Millis(1), busy, 0);
    }
    let outcome = caller.pull(2, &callee, all(false));
    assert!(outcome.is_complete);
    for number in [5, 295] {
        let instance = daemon(number, HALL).instance;
        let known = caller.directory.daemon(&instance).unwrap();
        assert_eq!(known.record.report.as_ref().unwrap().running, 3);
    }
}

#[test]
fn a_starting_daemon_learns_its_contacts_even_if_the_answer_is_truncated() {
    let first = DeltaRequest {
        relays_suffice: true,
        ..all(true)
    };
    let small = directory_of(100, 50);
    let mut caller = Caller::new("asker");
    assert_eq!(caller.request(1, &small, first).daemons.len(), 100);

    let mut large = directory_of(300, 250);
    for number in 300..320 {
        let entry = DaemonRecord {
            role: DaemonRole::Entry,
            ..daemon(number, HALL)
        };
        large.merge_daemon(Millis(0), entry, 0);
    }
    let mut caller = Caller::new("asker");
    let delta = caller.request(1, &large, first);
    let relays = large.relays(Millis(1), HALL);
    let named: Vec<&InstanceId> = delta
        .daemons
        .iter()
        .map(|d| &d.aged.record.instance)
        .collect();
    let expected: Vec<&InstanceId> = relays.iter().map(|relay| &relay.instance).collect();
    assert_eq!(named, expected);
    assert!(delta.targets.is_empty() && !delta.is_complete());
    // The cursor does not cover the omitted records.
    let outcome = caller.apply(1, delta);
    assert!(outcome.is_complete);
    assert!(caller.request(2, &large, all(false)).has_more);
}

#[test]
fn liveness_takes_one_byte_per_daemon_and_never_understates_the_age() {
    let mut callee = directory_of(180, 0);
    let mut caller = Caller::new("asker");
    caller.pull(0, &callee, all(false));
    let before = caller.last_seen("h1-9");
    callee.refresh_daemon(Millis(1_020), &RecordVersion::of(&daemon(9, HALL)), 0);
    let delta = caller.request(1_037, &callee, all(true));
    let bytes = rmp_serde::to_vec(&delta).unwrap().len();
    assert!(bytes < 180 + 40, "{bytes} bytes");
    assert!(caller.apply(1_037, delta).is_complete);
    let after = caller.last_seen("h1-9");
    assert!(before < after && after <= Some(1_020), "{after:?}");
    // A daemon that was silent for long has no age in the answer.
    let delta = caller.request(60_000, &callee, all(true));
    assert_eq!(delta.ages.unwrap().known_ages().count(), 0);
}

#[test]
fn a_forgotten_daemons_number_may_be_reused() {
    let mut callee = directory_of(2, 0);
    let mut caller = Caller::new("asker");
    caller.pull(0, &callee, all(true));
    callee.refresh_daemon(Millis(59_000), &RecordVersion::of(&daemon(0, HALL)), 0);
    callee.expire(Millis(61_000));
    callee.merge_daemon(Millis(61_000), daemon(77, HALL), 0);
    assert!(caller.pull(61_000, &callee, all(true)).is_complete);
    assert_eq!(
        caller.last_seen("h1-1"),
        Some(0),
        "it was not heard from again"
    );
    assert_eq!(caller.last_seen("h1-77"), Some(61_000));
}

#[test]
fn a_caller_that_lacks_a_daemon_requests_a_full_update() {
    let mut callee = directory_of(2, 0);
    let mut caller = Caller::new("asker");
    caller.cursor = Cursor {
        incarnation: INCARNATION,
        position: callee.position(),
    };
    callee.refresh_daemon(Millis(10), &RecordVersion::of(&daemon(0, HALL)), 0);
    assert!(!caller.pull(10, &callee, all(true)).is_complete);
}

#[test]
fn daemon_numbers_of_an_earlier_callee_incarnation_are_invalid() {
    let callee = directory_of(3, 0);
    let mut caller = Caller::new("asker");
    caller.pull(0, &callee, all(true));
    caller.cursor.incarnation = INCARNATION + 1;
    let request = DeltaRequest {
        after: Cursor {
            incarnation: INCARNATION + 1,
            position: callee.position(),
        },
        ..all(true)
    };
    let delta = callee.delta(Millis(5), INCARNATION + 1, HALL, &caller.name, request);
    assert!(delta.ages.is_some() && delta.daemons.is_empty());
    assert!(!caller.apply(5, delta).is_complete);
}

#[test]
fn a_daemon_that_calls_again_after_a_pause_is_reported_to_other_halls_again() {
    let mut callee = directory_of(3, 0);
    let remote_caller = daemon(50, "h2");
    callee.merge_daemon(Millis(0), remote_caller.clone(), 0);
    let mut caller = Caller::new("asker");
    caller.pull(0, &callee, of_hall(true));
    assert_eq!(caller.last_seen("h2-50"), None, "it made no direct call");
    callee.refresh_daemon(Millis(10_000), &RecordVersion::of(&remote_caller), 0);
    callee.record_direct_contact(Millis(10_000), &remote_caller.instance);
    let outcome = caller.pull(10_100, &callee, of_hall(true));
    assert!(outcome.is_complete);
    assert_eq!(caller.last_seen("h2-50"), Some(10_000));
}

#[test]
fn a_weights_subscriber_gets_its_own_engine_and_no_loads() {
    let weights = DeltaRequest {
        interest: Interest::Weights,
        ..all(false)
    };
    let mut callee = directory_of(100, 90);
    let mut caller = Caller::new("h1-4");
    let delta = caller.request(1, &callee, weights);
    assert_eq!(delta.targets.len(), 1);
    assert_eq!(delta.targets[0].record.id, TargetId::new("i-4"));
    assert_eq!(delta.daemons.len(), 99, "the others may serve pieces to it");
    caller.apply(1, delta);
    let mut busy = daemon(9, HALL);
    busy.sequence = 2;
    busy.report.as_mut().unwrap().running = 3;
    callee.merge_daemon(Millis(2), busy, 0);
    let delta = caller.request(2, &callee, weights);
    assert!(delta.loads.is_empty() && delta.daemons.is_empty());
    // Any target may be the engine of a caller that the callee does not know.
    let mut stranger = Caller::new("stranger");
    assert_eq!(stranger.request(3, &callee, weights).targets.len(), 90);
}
