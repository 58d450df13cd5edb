//! Failures that the control group must tolerate, one test for each.

mod support;

use moleroad_consensus::prelude::*;
use support::{CrashDisk, Group};

#[test]
fn a_cut_off_leader_loses_its_lease_before_another_is_elected() {
    let mut group = Group::new(1, 3, 100);
    let old = group.await_leader();
    let others: Vec<MemberId> = group
        .members
        .keys()
        .copied()
        .filter(|id| *id != old)
        .collect();
    for other in &others {
        group.blocked_links.insert((old, *other));
        group.blocked_links.insert((*other, old));
    }
    // `Group::run` checks at every step that no two members hold a lease.
    group.run(3_000);
    let new = group.leader().expect("the others elect a leader");
    assert_ne!(new, old);
    group.propose_until_accepted(b"after the cut");
    group.blocked_links.clear();
    group.check_nothing_lost();
}

#[test]
fn a_one_way_cut_does_not_stop_the_group() {
    let mut group = Group::new(2, 3, 100);
    let leader = group.await_leader();
    let other = group
        .members
        .keys()
        .copied()
        .find(|id| *id != leader)
        .unwrap();
    group.blocked_links.insert((leader, other));
    group.propose_until_accepted(b"one way");
    group.blocked_links.clear();
    group.blocked_links.insert((other, leader));
    group.propose_until_accepted(b"the other way");
    group.blocked_links.clear();
    group.check_nothing_lost();
}

/// Blocks messages between two members in both directions.
fn block_both_ways(group: &mut Group, one: MemberId, other: MemberId) {
    group.blocked_links.insert((one, other));
    group.blocked_links.insert((other, one));
}

#[test]
fn a_member_that_hears_the_leader_elects_no_other() {
    let mut group = Group::new(8, 3, 100);
    let leader = group.await_leader();
    let other = group
        .members
        .keys()
        .copied()
        .find(|id| *id != leader)
        .unwrap();
    let term = group.members[&leader]
        .running
        .as_ref()
        .unwrap()
        .replica
        .term();
    block_both_ways(&mut group, leader, other);
    group.run(10_000);
    assert_eq!(
        group.leader(),
        Some(leader),
        "the member connected to both others keeps the leader"
    );
    assert_eq!(
        group.members[&leader]
            .running
            .as_ref()
            .unwrap()
            .replica
            .term(),
        term
    );
}

#[test]
fn a_restart_does_not_break_the_promise_behind_a_lease() {
    for seed in 0..20 {
        let mut group = Group::new(100 + seed, 3, 100);
        let leader = group.await_leader();
        let others: Vec<MemberId> = group
            .members
            .keys()
            .copied()
            .filter(|id| *id != leader)
            .collect();
        block_both_ways(&mut group, leader, others[0]);
        group.run(2_000);
        // The member that is connected to both others restarts repeatedly.
        // `Group::run` checks at every step that no two members hold a lease.
        for _ in 0..60 {
            group.kill(others[1], 0);
            group.start(others[1]);
            group.run(60);
        }
    }
}

#[test]
fn a_frozen_leader_holds_no_lease_when_it_goes_on() {
    let mut group = Group::new(3, 3, 100);
    let old = group.await_leader();
    group.propose_until_accepted(b"before");
    group.members.get_mut(&old).unwrap().frozen = true;
    let new = group.await_leader();
    assert_ne!(new, old);
    group.propose_until_accepted(b"meanwhile");
    group.members.get_mut(&old).unwrap().frozen = false;
    let member = &group.members[&old];
    let now = moleroad_types::prelude::Millis(group.now + member.clock_offset);
    let replica = &member.running.as_ref().unwrap().replica;
    assert!(replica.is_leader(), "it still believes that it leads");
    assert!(!replica.holds_lease(now), "but its lease has expired");
    group.check_nothing_lost();
}

#[test]
fn a_lost_disk_never_votes_again_and_is_replaced() {
    let mut group = Group::new(4, 3, 10);
    for round in 0u8..20 {
        group.propose_until_accepted(&[round]);
    }
    let leader = group.await_leader();
    let lost = group
        .members
        .keys()
        .copied()
        .find(|id| *id != leader)
        .unwrap();
    let instance = group.members[&lost].info.instance.to_string();
    group.lose_disk(lost);
    let fresh = group.add_member(77, &instance);
    for _ in 0..20 {
        let leader = group.await_leader();
        group.event(leader, Event::SpareSeen(fresh.clone()));
        group.run(400);
    }
    let leader = group.await_leader();
    let replica = &group.members[&leader].running.as_ref().unwrap().replica;
    let voters = replica.configuration().voters.clone();
    assert!(
        voters.contains(&fresh.id) && !voters.contains(&lost),
        "{voters:?}"
    );
    assert!(!replica.configuration().is_joint());
    group.check_nothing_lost();
}

#[test]
fn a_second_loss_right_after_repair_loses_and_stops_nothing() {
    let mut group = Group::new(5, 3, 10);
    for round in 0u8..30 {
        group.propose_until_accepted(&[round]);
    }
    let leader = group.await_leader();
    let first = group
        .members
        .keys()
        .copied()
        .find(|id| *id != leader)
        .unwrap();
    group.lose_disk(first);
    let spare = group.add_member(9, "spare");
    // Waits until the group reports that it tolerates one loss again.
    let repaired_by = loop {
        let leader = group.await_leader();
        group.event(leader, Event::SpareSeen(spare.clone()));
        group.run(20);
        let Some(leader) = group.leader() else {
            continue;
        };
        let member = &group.members[&leader];
        let now = moleroad_types::prelude::Millis(group.now + member.clock_offset);
        let replica = &member.running.as_ref().unwrap().replica;
        let voters = &replica.configuration().voters;
        if !voters.contains(&first) && replica.status(now).losses_tolerated >= Some(1) {
            break leader;
        }
    };
    group.lose_disk(repaired_by);
    group.propose_until_accepted(b"after the second loss");
    for round in 0u8..30 {
        assert!(group.accepted.values().any(|data| *data == [round]));
    }
    group.check_nothing_lost();
}

#[test]
fn a_member_far_behind_is_caught_up_by_a_snapshot() {
    let mut group = Group::new(6, 3, 10);
    let leader = group.await_leader();
    let behind = group
        .members
        .keys()
        .copied()
        .find(|id| *id != leader)
        .unwrap();
    group.kill(behind, 0);
    for round in 0u16..500 {
        group.propose_until_accepted(&round.to_le_bytes());
    }
    group.start(behind);
    group.check_nothing_lost();
    assert!(group.members[&behind].running.as_ref().unwrap().state.len() >= 500);
}

#[test]
fn clocks_that_differ_do_not_matter() {
    let mut group = Group::new(7, 3, 100);
    for (position, member) in group.members.values_mut().enumerate() {
        member.clock_offset = position as u64 * 3_600_000;
    }
    group.propose_until_accepted(b"whatever the clocks say");
    group.check_nothing_lost();
}

/// One operation on the storage.
type Step = Box<dyn Fn(&mut Storage<CrashDisk>) -> Result<(), StorageError>>;

/// Runs votes, appends, a truncation and a snapshot on `disk` until one fails,
/// and returns the positions of the acknowledged steps.
fn run_storage_steps(disk: CrashDisk) -> Vec<usize> {
    let entry = |index: u64, term: u64, data: &[u8]| Entry {
        index: LogIndex(index),
        term: moleroad_types::prelude::Term(term),
        payload: Payload::Command(data.to_vec()),
    };
    let mut acknowledged = Vec::new();
    let Ok((mut storage, _)) = Storage::open(disk, MemberId(1), "instance-1") else {
        return acknowledged;
    };
    let vote = |term: u64| HardState {
        term: moleroad_types::prelude::Term(term),
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
                term: moleroad_types::prelude::Term(1),
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

#[test]
fn a_group_grows_to_the_wanted_number_of_voters_and_then_stands_two_losses() {
    let mut group = Group::new(11, 3, 10);
    group.desired_voters = 5;
    let ids: Vec<MemberId> = group.members.keys().copied().collect();
    for id in ids {
        group.kill(id, 0);
        group.start(id);
    }
    group.propose_until_accepted(b"before");
    let spares = [
        group.add_member(21, "fourth"),
        group.add_member(22, "fifth"),
    ];
    for _ in 0..40 {
        let leader = group.await_leader();
        for spare in &spares {
            group.event(leader, Event::SpareSeen(spare.clone()));
        }
        group.run(200);
    }
    let leader = group.await_leader();
    let replica = &group.members[&leader].running.as_ref().unwrap().replica;
    assert_eq!(replica.configuration().voters.len(), 5);
    assert!(!replica.configuration().is_joint());
    let lost: Vec<MemberId> = group.members.keys().copied().take(2).collect();
    for id in lost {
        group.lose_disk(id);
    }
    group.propose_until_accepted(b"after two losses");
    assert!(group.accepted.values().any(|data| data == b"before"));
    group.check_nothing_lost();
}

#[test]
fn a_group_of_the_wanted_size_takes_no_spare_member() {
    let mut group = Group::new(12, 3, 10);
    group.desired_voters = 3;
    let ids: Vec<MemberId> = group.members.keys().copied().collect();
    for id in ids {
        group.kill(id, 0);
        group.start(id);
    }
    let spare = group.add_member(21, "fourth");
    for _ in 0..10 {
        let leader = group.await_leader();
        group.event(leader, Event::SpareSeen(spare.clone()));
        group.run(200);
    }
    let leader = group.await_leader();
    let replica = &group.members[&leader].running.as_ref().unwrap().replica;
    assert_eq!(replica.configuration().voters.len(), 3);
    assert!(!replica.configuration().voters.contains(&spare.id));
}
