//! Overdue requests, which wait although their latency target cannot be met: their
//! order, their expected wait, and the slots they leave to others.

mod support;

use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis, Region};

fn waiter(id: u64, class: WaitClass, since: u64) -> Waiter {
    Waiter {
        class,
        id: WaiterId(id),
        priority: 1,
        since: Millis(since),
        latency_deadline: Millis(5_000),
        expires_at: Millis(5_000),
        regions: AllowedRegions::all(),
    }
}

#[test]
fn requests_that_can_meet_their_deadlines_go_first() {
    let mut queue = WaitQueue::default();
    assert!(queue.enter(waiter(1, WaitClass::Overdue, 0)));
    assert!(queue.enter(waiter(2, WaitClass::Overdue, 5)));
    assert!(queue.enter(waiter(3, WaitClass::InTime, 90)));
    assert_eq!(queue.next(Millis(100), &[]), Some(WaiterId(3)));
    assert_eq!(
        queue.count_ahead(WaitClass::Overdue, &AllowedRegions::all()),
        2
    );
    // Each class is searched for slots separately.
    assert!(queue.is_among_first(1, WaiterId(1), Millis(100)));
    assert!(!queue.is_among_first(1, WaiterId(2), Millis(100)));
    assert!(queue.is_among_first(2, WaiterId(2), Millis(100)));
    assert!(queue.is_among_first(1, WaiterId(3), Millis(100)));
    assert!(!queue.is_among_first(1, WaiterId(4), Millis(100)));
}

#[test]
fn the_expected_wait_follows_the_rate_of_freed_slots() {
    let mut estimator = WaitEstimator::default();
    estimator.record_enqueued(Millis(0), 0);
    for at in 1..=20 {
        estimator.record_granted(Millis(at * 300));
    }
    let alone = estimator.expected_wait_ms(Millis(6_000), 0);
    assert!((250.0..=300.0).contains(&alone), "{alone}");
    let behind_four = estimator.expected_wait_ms(Millis(6_000), 4);
    assert!((behind_four - alone * 5.0).abs() < 1.0, "{behind_four}");
}

#[test]
fn the_expected_wait_grows_while_no_slot_is_freed() {
    let mut estimator = WaitEstimator::default();
    estimator.record_enqueued(Millis(0), 0);
    estimator.record_enqueued(Millis(50), 1);
    assert!(estimator.expected_wait_ms(Millis(100), 2) < 1_000.0);
    // Two seconds without a slot: the third request would wait six.
    assert!(estimator.expected_wait_ms(Millis(2_000), 2) >= 6_000.0);
    // A request that arrives when none is waiting starts over.
    assert!(estimator.expected_wait_ms(Millis(9_000), 0) < 1_000.0);
}

fn at_least(version: u64) -> Requirements<'static> {
    Requirements {
        min_version: Some(version),
        ..Requirements::default()
    }
}

#[test]
fn a_request_that_cannot_meet_its_deadline_leaves_the_slot_to_others() {
    let mut targets = Targets::default();
    targets.set(vec![Candidate {
        version: Some(4),
        ..support::target("engine", 3)
    }]);
    let overdue = Requirements {
        reserved_slots: 1,
        ..Requirements::default()
    };
    let engine = TargetId::new("engine");
    targets.started(Millis(0), &engine, 10);
    assert!(matches!(
        targets.choose(Millis(0), overdue, 0),
        Choice::Send(_)
    ));
    targets.started(Millis(0), &engine, 10);
    assert_eq!(targets.choose(Millis(0), overdue, 0), Choice::Full);
    let in_time = Requirements::default();
    assert!(matches!(
        targets.choose(Millis(0), in_time, 0),
        Choice::Send(_)
    ));
    assert_eq!(targets.total_slots(&AllowedRegions::all()), 3);
    assert!(targets.any_eligible(at_least(4)));
    assert!(!targets.any_eligible(at_least(5)));
}

#[test]
fn overdue_requests_yield_when_others_miss_their_deadlines() {
    let mut share = OverdueShare::default();
    // With ten slots, three may run.
    for _ in 0..3 {
        assert!(share.admits(10.0, &AllowedRegions::all()));
        share.started(&Region::new("r"));
    }
    assert!(!share.admits(10.0, &AllowedRegions::all()));
    (0..8).for_each(|_| share.record_miss());
    share.ended(&Region::new("r"));
    assert!(!share.admits(10.0, &AllowedRegions::all()));
    // One may always run.
    share.ended(&Region::new("r"));
    share.ended(&Region::new("r"));
    assert!(share.admits(10.0, &AllowedRegions::all()));
    // No overdue request is running, so that the miss is not caused by one.
    let before = share.clone();
    share.record_miss();
    assert_eq!(share, before);
    (0..100).for_each(|_| share.record_hit());
    (0..2).for_each(|_| share.started(&Region::new("r")));
    assert!(share.admits(10.0, &AllowedRegions::all()));
}
