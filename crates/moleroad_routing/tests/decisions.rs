//! Limits, fair queues, ejection, retries and the spread over entries.

use moleroad_routing::prelude::*;
use moleroad_types::prelude::*;
use moleroad_types::target::{Destination, Served};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn route(name: &str, incarnation: u64) -> TargetRoute {
    TargetRoute {
        instance: name.into(),
        data_hall: "hall".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        serves: Served::Service("s".into()),
    }
}

fn router(names: &[&str]) -> Router {
    let mut router = Router::new(RouterSettings::default(), "hall".into(), 3);
    names
        .iter()
        .for_each(|name| router.set_route(Millis(0), (*name).into(), Some(route(name, 1))));
    router
}

fn shape() -> RequestShape {
    RequestShape::new(Destination::Service("s".into()), 1)
}

fn fail(router: &mut Router, now: Millis, route: &TargetRoute) {
    router.started(route, 1);
    router.finished(now, now, route, 1, Finish::Failed);
}

#[test]
fn a_failing_target_is_left_out_and_comes_back_carefully() {
    let mut router = router(&["a", "b"]);
    let bad = route("a", 1);
    fail(&mut router, Millis(100), &bad);
    fail(&mut router, Millis(100), &bad);
    for _ in 0..50 {
        assert_eq!(
            router
                .choose(Millis(200), &shape(), &[])
                .unwrap()
                .instance
                .as_str(),
            "b"
        );
    }
    let back = (0..50).any(|_| {
        router
            .choose(Millis(700), &shape(), &[])
            .unwrap()
            .instance
            .as_str()
            == "a"
    });
    assert!(back, "it is tried again after a while");
    fail(&mut router, Millis(700), &bad);
    let still = (0..50).any(|_| {
        router
            .choose(Millis(1_300), &shape(), &[])
            .unwrap()
            .instance
            .as_str()
            == "a"
    });
    assert!(!still, "a further failure leaves it out for longer");
}

#[test]
fn when_all_targets_failed_one_is_tried_all_the_same() {
    let mut router = router(&["a"]);
    fail(&mut router, Millis(100), &route("a", 1));
    fail(&mut router, Millis(100), &route("a", 1));
    assert!(router.choose(Millis(101), &shape(), &[]).is_some());
    assert!(
        router
            .choose(Millis(101), &shape(), &["a".into()])
            .is_none()
    );
}

#[test]
fn a_target_that_restarts_at_its_address_starts_fresh() {
    let mut router = router(&["a", "b"]);
    let old = route("a", 1);
    router.started(&old, 500);
    fail(&mut router, Millis(10), &old);
    fail(&mut router, Millis(10), &old);
    router.set_route(Millis(20), "a".into(), Some(route("a", 2)));
    // The end of a request to the old process changes nothing for the new one.
    router.finished(Millis(30), Millis(20), &old, 500, Finish::Failed);
    let chosen = (0..50).any(|_| {
        router
            .choose(Millis(30), &shape(), &[])
            .unwrap()
            .incarnation
            == Incarnation(2)
    });
    assert!(chosen, "nothing of the old process counts for the new one");
}

#[test]
fn equal_prompts_share_a_target_until_it_is_loaded() {
    let mut router = router(&["a", "b", "c"]);
    let prefix = Some(PromptPrefix {
        hash: 42,
        tokens: 10,
    });
    let shape = RequestShape { prefix, ..shape() };
    let first = router.choose(Millis(9_000), &shape, &[]).unwrap();
    for _ in 0..20 {
        assert_eq!(
            router.choose(Millis(9_000), &shape, &[]).unwrap().instance,
            first.instance
        );
    }
    router.started(&first, 200);
    assert_ne!(
        router.choose(Millis(9_000), &shape, &[]).unwrap().instance,
        first.instance
    );
}

#[test]
fn limits_refuse_with_a_time_to_come_back_that_holds() {
    let mut limits = AccountLimits::default();
    let account = AccountId::new("pallets");
    let share = LimitShare {
        in_flight: 100,
        milli_requests_per_second: 10_000,
    };
    let mut now = Millis(1_000);
    while limits.start(now, &account, share).is_ok() {}
    let retry_after = limits.start(now, &account, share).unwrap_err();
    now = now + retry_after;
    assert!(
        limits.start(now, &account, share).is_ok(),
        "after {retry_after} ms it is let in"
    );
}

#[test]
fn shares_of_all_entries_cover_the_limit() {
    for entries in 1..20 {
        let share = LimitShare::of(100, 1_000, entries);
        assert!(share.in_flight as usize * entries >= 100);
        assert!(share.milli_requests_per_second * entries as u64 <= 1_000_000);
    }
}

#[test]
fn retries_stay_a_share_of_the_requests() {
    let mut budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.note_request();
        retries += u32::from(budget.take());
    }
    assert!((100..=106).contains(&retries), "{retries}");
}

#[test]
fn entries_get_even_shares_and_a_loaded_one_less() {
    let names: Vec<(InstanceId, u32)> = (0..10)
        .map(|n| (InstanceId::new(format!("e-{n}")), 20))
        .collect();
    assert!(spread(&names).iter().all(|share| share.weight == 10));
    let mut loaded = names;
    loaded[3].1 = 200;
    let shares = spread(&loaded);
    assert!(shares[3].weight < shares[0].weight && shares[3].weight >= shares[0].weight / 4);
}

proptest! {
    #[test]
    fn a_flood_never_keeps_another_account_waiting_behind_it(flood in 1usize..60, places in 1usize..16) {
        let mut queue = FairQueue::new(places, 100);
        let (large, small) = (AccountId::new("large"), AccountId::new("small"));
        let mut large_running = 0;
        for _ in 0..flood + places {
            if let Queued::Runs(_) = queue.enter(&large) {
                large_running += 1;
            }
        }
        match queue.enter(&small) {
            Queued::Runs(_) => {}
            Queued::Waits(ticket) => {
                prop_assert!(large_running > 0);
                prop_assert_eq!(queue.finish(&large), Some(ticket), "the next place is the small account's");
            }
            Queued::Full => prop_assert!(false),
        }
    }

    #[test]
    fn places_are_never_overrun_and_all_are_served(steps in proptest::collection::vec((0u8..2, 0u8..4), 1..200)) {
        let mut queue = FairQueue::new(3, 50);
        let account = |number: u8| AccountId::new(format!("account-{number}"));
        let mut running: Vec<u8> = Vec::new();
        let mut waiting: BTreeMap<QueueTicket, u8> = BTreeMap::new();
        for (what, number) in steps {
            if what == 0 {
                match queue.enter(&account(number)) {
                    Queued::Runs(_) => running.push(number),
                    Queued::Waits(ticket) => drop(waiting.insert(ticket, number)),
                    Queued::Full => {}
                }
            } else if let Some(done) = running.pop() {
                if let Some(ticket) = queue.finish(&account(done)) {
                    running.push(waiting.remove(&ticket).unwrap());
                }
            }
            prop_assert_eq!(queue.running(), running.len());
            prop_assert_eq!(queue.waiting(), waiting.len());
            // Three places, and one that is kept for accounts with none.
            prop_assert!(running.len() <= 4);
        }
        while let Some(done) = running.pop() {
            if let Some(ticket) = queue.finish(&account(done)) {
                running.push(waiting.remove(&ticket).unwrap());
            }
        }
        prop_assert!(waiting.is_empty(), "nobody is forgotten");
    }
}
