//! Unit tests of the queue of requests that wait for a slot.

use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis};

fn waiter(id: u64, priority: u8, since: u64, latency_deadline: u64) -> Waiter {
    Waiter {
        class: WaitClass::InTime,
        id: WaiterId(id),
        priority,
        since: Millis(since),
        latency_deadline: Millis(latency_deadline),
        expires_at: Millis(1_000),
        regions: AllowedRegions::all(),
    }
}

#[test]
fn urgent_requests_that_can_be_in_time_go_first() {
    let mut queue = WaitQueue::default();
    assert!(queue.enter(waiter(1, 1, 0, 100)));
    assert!(queue.enter(waiter(2, 1, 10, 300)));
    assert!(queue.enter(waiter(3, 0, 20, 300)));
    assert_eq!(queue.next(Millis(50), &[]), Some(WaiterId(3)));
    queue.leave(WaiterId(3));
    assert_eq!(queue.next(Millis(50), &[]), Some(WaiterId(1)));
    assert_eq!(queue.next(Millis(200), &[]), Some(WaiterId(2)));
    queue.leave(WaiterId(2));
    assert_eq!(queue.next(Millis(200), &[]), Some(WaiterId(1)));
    assert_eq!(queue.next(Millis(1_000), &[]), None);
    assert_eq!(queue.expired(Millis(1_000)), vec![WaiterId(1)]);
}

#[test]
fn the_queue_is_bounded() {
    let mut queue = WaitQueue::default();
    for id in 0..moleroad_dispatch::queue::MAX_WAITING as u64 {
        assert!(queue.enter(waiter(id, 1, 0, 100)));
    }
    assert!(!queue.enter(waiter(9_999, 0, 0, 100)));
}
