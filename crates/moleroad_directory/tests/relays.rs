//! Tests that records given to the relays reach every daemon, and that only
//! differences are transferred.

use moleroad_directory::prelude::*;
use moleroad_types::prelude::*;

fn daemon(name: &str, hall: &str, role: DaemonRole, port: u16) -> DaemonRecord {
    let peer = format!("127.0.0.1:{port}").parse().unwrap();
    DaemonRecord::new(InstanceId::new(name), role, peer, hall)
}

fn agent(name: &str, hall: &str, port: u16) -> DaemonRecord {
    DaemonRecord {
        pieces: vec![PieceMap::empty("m", 1, 48)],
        report: Some(EngineReport::default()),
        ..daemon(name, hall, DaemonRole::Agent, port)
    }
}

fn all_since(cursor: Cursor) -> DeltaRequest {
    DeltaRequest {
        scope: Scope::All,
        after: cursor,
        pieces: true,
        ..DeltaRequest::default()
    }
}

const RELAY: u64 = 7;

fn caller() -> InstanceId {
    InstanceId::new("asker")
}

fn delta(directory: &Directory, at: u64, request: DeltaRequest) -> DirectoryDelta {
    directory.delta(Millis(at), RELAY, "h1", &caller(), request)
}

/// Returns a directory with two entries and one agent in each of two data halls.
fn two_halls() -> Directory {
    let mut directory = Directory::new();
    for (at, hall) in ["h1", "h2"].into_iter().enumerate() {
        let port = at as u16 * 10;
        for number in 0..2 {
            let name = format!("{hall}-entry-{number}");
            let entry = daemon(&name, hall, DaemonRole::Entry, port + number);
            directory.merge_daemon(Millis(0), entry, 0);
        }
        let name = format!("{hall}-agent");
        directory.merge_daemon(Millis(0), agent(&name, hall, port + 5), 0);
    }
    directory
}

#[test]
fn a_repeated_request_gets_only_changes() {
    let mut directory = two_halls();
    let first = delta(&directory, 1, all_since(Cursor::default()));
    assert_eq!(first.daemons.len(), 6);
    let second = delta(&directory, 2, all_since(first.cursor));
    assert!(second.daemons.is_empty() && second.loads.is_empty());

    let mut busy = agent("h1-agent", "h1", 5);
    busy.sequence = 2;
    busy.report = Some(EngineReport {
        running: 9,
        ..EngineReport::default()
    });
    assert!(directory.merge_daemon(Millis(3), busy.clone(), 0));
    let third = delta(&directory, 4, all_since(second.cursor));
    assert!(third.daemons.is_empty());
    assert_eq!(third.loads.len(), 1);

    // The deltas bring another directory to the same record.
    let mut other = Directory::new();
    let mut slots = SlotTable::default();
    for delta in [first, third] {
        let outcome = other.apply_delta(Millis(5), &caller(), delta, &mut slots);
        assert!(outcome.is_complete);
        assert!(outcome.loads.contains(&busy.instance));
    }
    let known = other.daemon(&busy.instance).unwrap();
    assert_eq!(known.record, busy);
}

#[test]
fn a_restarted_relay_sends_a_full_update() {
    let directory = two_halls();
    let first = delta(&directory, 1, all_since(Cursor::default()));
    let restarted = directory.delta(
        Millis(2),
        RELAY + 1,
        "h1",
        &caller(),
        all_since(first.cursor),
    );
    assert_eq!(restarted.daemons.len(), 6);
}

#[test]
fn another_hall_is_told_of_this_halls_daemons_and_callers() {
    let mut directory = two_halls();
    let request = DeltaRequest {
        scope: Scope::CalleesHall,
        ..all_since(Cursor::default())
    };
    assert_eq!(delta(&directory, 1, request).daemons.len(), 3);
    directory.record_direct_contact(Millis(1), &InstanceId::new("h2-agent"));
    assert_eq!(delta(&directory, 2, request).daemons.len(), 4);
    // Only temporarily: by then the daemon calls a relay of its own hall.
    assert_eq!(delta(&directory, 5_000, request).daemons.len(), 3);
}

#[test]
fn an_entry_without_interest_in_pieces_gets_none() {
    let mut directory = two_halls();
    let first = delta(&directory, 1, all_since(Cursor::default()));
    let mut fetching = agent("h1-agent", "h1", 5);
    fetching.sequence = 2;
    fetching.pieces[0].set(3, true);
    assert!(directory.merge_daemon(Millis(2), fetching.clone(), 0));
    let without = DeltaRequest {
        pieces: false,
        ..all_since(first.cursor)
    };
    assert!(delta(&directory, 3, without).daemons.is_empty());
    let with = delta(&directory, 3, all_since(first.cursor));
    assert_eq!(with.daemons[0].aged.record, fetching);
}

#[test]
fn a_record_without_pieces_keeps_the_known_pieces() {
    let mut directory = two_halls();
    let mut without_pieces = agent("h1-agent", "h1", 5);
    without_pieces.pieces.clear();
    assert!(!directory.merge_daemon(Millis(1), without_pieces, 0));
    let known = directory.daemon(&InstanceId::new("h1-agent")).unwrap();
    assert_eq!(known.record.pieces.len(), 1);
}

#[test]
fn liveness_updates_keep_daemons_from_expiring() {
    let mut relay = two_halls();
    let mut entry = Directory::new();
    let mut slots = SlotTable::default();
    let first = delta(&relay, 1, all_since(Cursor::default()));
    entry.apply_delta(Millis(1), &caller(), first, &mut slots);
    for at in [1_000, 2_000, 3_000, 4_000] {
        let now = Millis(at);
        let observed: Vec<DaemonRecord> = relay.daemons().map(|d| d.record.clone()).collect();
        for record in observed {
            relay.merge_daemon(now, record, 0);
        }
        let request = DeltaRequest {
            lives: true,
            ..all_since(Cursor {
                incarnation: RELAY,
                position: relay.position(),
            })
        };
        let delta = delta(&relay, at + 100, request);
        assert!(delta.daemons.is_empty());
        let outcome = entry.apply_delta(Millis(at + 100), &caller(), delta, &mut slots);
        assert!(outcome.is_complete);
    }
    assert_eq!(entry.ready_entries(Millis(4_500)).count(), 4);
    let unknown = RecordVersion {
        instance: InstanceId::new("stranger"),
        incarnation: 1,
        sequence: 1,
    };
    assert!(!entry.refresh_daemon(Millis(5_000), &unknown, 0));
}

#[test]
fn targets_are_reported_on_change_and_periodically() {
    let mut directory = Directory::new();
    let record = |sequence| TargetRecord {
        sequence,
        ..TargetRecord::new(TargetId::new("t"), "chat", "127.0.0.1:1".parse().unwrap())
    };
    directory.merge_target(Millis(0), record(1), 0);
    let first = delta(&directory, 1, all_since(Cursor::default()));
    assert_eq!(first.targets.len(), 1);
    directory.merge_target(Millis(1_200), record(2), 0);
    assert!(
        delta(&directory, 1_201, all_since(first.cursor))
            .targets
            .is_empty()
    );
    directory.merge_target(Millis(12_000), record(3), 0);
    assert_eq!(
        delta(&directory, 12_001, all_since(first.cursor))
            .targets
            .len(),
        1
    );
    let second = delta(&directory, 12_002, all_since(first.cursor));
    directory.mark_target_gone(Millis(12_003), &TargetId::new("t"));
    let third = delta(&directory, 12_004, all_since(second.cursor));
    assert_eq!(third.targets[0].record.life, TargetLifecycle::Gone);
}

#[test]
fn all_daemons_agree_on_the_relays_and_silent_ones_are_replaced() {
    let mut directory = Directory::new();
    for number in 0..8 {
        let name = format!("e{number}");
        directory.merge_daemon(Millis(0), daemon(&name, "h", DaemonRole::Entry, number), 0);
    }
    let names = |directory: &Directory, at| -> Vec<String> {
        let relays = directory.relays(Millis(at), "h");
        relays.iter().map(|r| r.instance.to_string()).collect()
    };
    let first = names(&directory, 1);
    assert_eq!(first.len(), 3);
    // All daemons except the first relay are heard from again.
    let others: Vec<DaemonRecord> = directory
        .daemons()
        .map(|observed| observed.record.clone())
        .filter(|record| record.instance.to_string() != first[0])
        .collect();
    for record in others {
        directory.merge_daemon(Millis(3_000), record, 0);
    }
    let second = names(&directory, 3_001);
    assert_eq!(second.len(), 3);
    assert!(!second.contains(&first[0]));
    assert_eq!(second[..2], first[1..]);
}
