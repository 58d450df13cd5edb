//! Crashes and damage that a member's storage must survive or report.

mod support;

use moleroad_consensus::prelude::*;
use moleroad_types::prelude::Term;
use support::CrashDisk;

/// One operation on the storage.
type Step = Box<dyn Fn(&mut Storage<CrashDisk>) -> Result<(), StorageError>>;

/// Runs votes, appends, a truncation and a snapshot on `disk` until one fails,
/// and returns the positions of the acknowledged steps.
fn run_storage_steps(disk: CrashDisk) -> Vec<usize> {
    let entry = |index: u64, term: u64, data: &[u8]| Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(data.to_vec()),
    };
    let mut acknowledged = Vec::new();
    let Ok((mut storage, _)) = Storage::open(disk, MemberId(1), "instance-1") else {
        return acknowledged;
    };
    let vote = |term: u64| HardState {
        term: Term(term),
        voted_for: Some(MemberId(2)),
    };
    let steps: Vec<Step> = vec![
        Box::new(move |s| s.save_hard_state(vote(1))),
        Box::new(move |s| s.append(&[entry(1, 1, b"one"), entry(2, 1, b"two")])),
        Box::new(move |s| s.append(&[entry(3, 1, b"three")])),
        Box::new(move |s| s.save_hard_state(vote(2))),
        Box::new(move |s| s.truncate(LogIndex(3))),
        Box::new(move |s| s.append(&[entry(3, 2, b"other three"), entry(4, 2, b"four")])),
        Box::new(move |s| {
            let snapshot = Snapshot {
                index: LogIndex(2),
                term: Term(1),
                configuration: Configuration::default(),
                state: std::sync::Arc::new(b"state".to_vec().into()),
            };
            s.save_snapshot(
                &snapshot,
                &[entry(3, 2, b"other three"), entry(4, 2, b"four")],
            )
        }),
        Box::new(move |s| s.append(&[entry(5, 2, b"five")])),
    ];
    for (position, step) in steps.iter().enumerate() {
        if step(&mut storage).is_err() {
            break;
        }
        acknowledged.push(position);
    }
    acknowledged
}

/// Checks that the restored state holds the effects of the first `acknowledged`
/// steps.
fn check_restored(restored: &Restored, acknowledged: usize) {
    let last_term = match acknowledged {
        0 => 0,
        1..=3 => 1,
        _ => 2,
    };
    assert!(restored.hard_state.term.0 >= last_term, "a vote is lost");
    let last_index = restored.entries.last().map_or(0, |entry| entry.index.0);
    let needed = match acknowledged {
        0 | 1 => 0,
        2 => 2,
        3 | 4 => 3,
        5 => 2,
        6 | 7 => 4,
        _ => 5,
    };
    // A truncation or append that was not acknowledged may have taken effect.
    let minimum = if acknowledged == 3 || acknowledged == 4 {
        2
    } else {
        needed
    };
    assert!(
        last_index >= minimum,
        "an acknowledged entry is lost: {last_index} after {acknowledged} steps"
    );
}

#[test]
fn every_crash_point_keeps_what_was_acknowledged() {
    let whole = CrashDisk::default();
    assert_eq!(run_storage_steps(whole.clone()).len(), 8);
    let operations = whole.0.lock().unwrap().operations;
    for crash_at in 0..=operations {
        for kept in [0, 1, 7, 30, 60, 10_000] {
            let disk = CrashDisk::default();
            disk.fail_after(crash_at);
            let acknowledged = run_storage_steps(disk.clone()).len();
            disk.crash(kept);
            let opened = Storage::open(disk, MemberId(1), "instance-1");
            let (_, restored) =
                opened.unwrap_or_else(|error| panic!("crash at {crash_at}, {kept} kept: {error}"));
            check_restored(&restored, acknowledged);
        }
    }
}

#[test]
fn a_torn_last_record_is_cut_and_earlier_damage_is_a_lost_disk() {
    let disk = CrashDisk::default();
    run_storage_steps(disk.clone());
    let length = disk.len("log");
    let torn = disk.clone();
    torn.damage("log", length - 1);
    let (_, restored) = Storage::open(torn, MemberId(1), "instance-1").unwrap();
    assert!(restored.torn_bytes > 0);
    assert_eq!(restored.entries.last().unwrap().index, LogIndex(4));

    let damaged = CrashDisk::default();
    run_storage_steps(damaged.clone());
    damaged.damage("log", 40);
    let opened = Storage::open(damaged, MemberId(1), "instance-1").map(|_| ());
    assert!(
        matches!(opened, Err(StorageError::Damaged(_))),
        "{opened:?}"
    );
}

#[test]
fn random_bytes_in_the_log_never_panic() {
    use rand::{Rng, SeedableRng};
    let mut random = rand::rngs::SmallRng::seed_from_u64(1);
    for _ in 0..500 {
        let mut disk = CrashDisk::default();
        run_storage_steps(disk.clone());
        let junk: Vec<u8> = (0..random.random_range(1..200))
            .map(|_| random.random())
            .collect();
        disk.append("log", &junk).unwrap();
        disk.sync("log").unwrap();
        let _ = Storage::open(disk, MemberId(1), "instance-1");
    }
}
