//! Failures that the control group must tolerate, one test for each.

mod support;

use moleroad_consensus::prelude::*;
use support::Group;

/// Blocks messages between two members in both directions.
fn block_both_ways(group: &mut Group, one: MemberId, other: MemberId) {
    group.blocked_links.insert((one, other));
    group.blocked_links.insert((other, one));
}

/// Proposes the commands `[0]`, `[1]` and so on, `count` of them.
fn propose_rounds(group: &mut Group, count: u8) {
    for round in 0..count {
        group.propose_until_accepted(&[round]);
    }
}

/// Announces `spares` to the leader `times` times, `interval_ms` apart.
fn announce(group: &mut Group, spares: &[&MemberInfo], times: u32, interval_ms: u64) {
    for _ in 0..times {
        let leader = group.await_leader();
        for spare in spares {
            group.event(leader, Event::SpareSeen((*spare).clone()));
        }
        group.run(interval_ms);
    }
}

/// Restarts all members, which then want `voters` voters.
fn restart_with_desired_voters(group: &mut Group, voters: usize) {
    group.desired_voters = voters;
    let ids: Vec<MemberId> = group.members.keys().copied().collect();
    for id in ids {
        group.kill(id, 0);
        group.start(id);
    }
}

#[test]
fn a_cut_off_leader_loses_its_lease_before_another_is_elected() {
    let mut group = Group::new(1, 3, 100);
    let old = group.await_leader();
    for other in group.others(old) {
        block_both_ways(&mut group, old, other);
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
    let other = group.others(leader)[0];
    group.blocked_links.insert((leader, other));
    group.propose_until_accepted(b"one way");
    group.blocked_links.clear();
    group.blocked_links.insert((other, leader));
    group.propose_until_accepted(b"the other way");
    group.blocked_links.clear();
    group.check_nothing_lost();
}

#[test]
fn a_member_that_hears_the_leader_elects_no_other() {
    let mut group = Group::new(8, 3, 100);
    let leader = group.await_leader();
    let other = group.others(leader)[0];
    let term = group.replica(leader).term();
    block_both_ways(&mut group, leader, other);
    group.run(10_000);
    assert_eq!(
        group.leader(),
        Some(leader),
        "the member connected to both others keeps the leader"
    );
    assert_eq!(group.replica(leader).term(), term);
}

#[test]
fn a_restart_does_not_break_the_promise_behind_a_lease() {
    for seed in 0..20 {
        let mut group = Group::new(100 + seed, 3, 100);
        let leader = group.await_leader();
        let others = group.others(leader);
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
    let replica = group.replica(old);
    assert!(replica.is_leader(), "it still believes that it leads");
    let now = group.clock_of(old);
    assert!(!replica.holds_lease(now), "but its lease has expired");
    group.check_nothing_lost();
}

#[test]
fn a_lost_disk_never_votes_again_and_is_replaced() {
    let mut group = Group::new(4, 3, 10);
    propose_rounds(&mut group, 20);
    let leader = group.await_leader();
    let lost = group.others(leader)[0];
    let instance = group.members[&lost].info.instance.to_string();
    group.lose_disk(lost);
    let fresh = group.add_member(77, &instance);
    announce(&mut group, &[&fresh], 20, 400);
    let leader = group.await_leader();
    let replica = group.replica(leader);
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
    propose_rounds(&mut group, 30);
    let leader = group.await_leader();
    let first = group.others(leader)[0];
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
        let replica = group.replica(leader);
        let voters = &replica.configuration().voters;
        let now = group.clock_of(leader);
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
    let behind = group.others(leader)[0];
    group.kill(behind, 0);
    for round in 0u16..500 {
        group.propose_until_accepted(&round.to_le_bytes());
    }
    group.start(behind);
    group.check_nothing_lost();
    assert!(group.running(behind).state.len() >= 500);
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

#[test]
fn a_group_grows_to_the_wanted_number_of_voters_and_then_stands_two_losses() {
    let mut group = Group::new(11, 3, 10);
    restart_with_desired_voters(&mut group, 5);
    group.propose_until_accepted(b"before");
    let spares = [
        group.add_member(21, "fourth"),
        group.add_member(22, "fifth"),
    ];
    announce(&mut group, &spares.each_ref(), 40, 200);
    let leader = group.await_leader();
    let replica = group.replica(leader);
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
    restart_with_desired_voters(&mut group, 3);
    let spare = group.add_member(21, "fourth");
    announce(&mut group, &[&spare], 10, 200);
    let leader = group.await_leader();
    let replica = group.replica(leader);
    assert_eq!(replica.configuration().voters.len(), 3);
    assert!(!replica.configuration().voters.contains(&spare.id));
}
