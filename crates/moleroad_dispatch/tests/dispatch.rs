//! Unit tests of choice, health, queue and budget.

mod support;

use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis};

fn candidate(name: &str, distance: Distance) -> Candidate {
    Candidate {
        distance,
        ..support::target(name, 4)
    }
}

fn chosen(targets: &Targets, now: u64) -> Option<String> {
    match targets.choose(Millis(now), Requirements::default(), 0) {
        Choice::Send(candidate) => Some(candidate.id.to_string()),
        _ => None,
    }
}

fn near_and_far() -> Targets {
    let mut targets = Targets::default();
    targets.set(vec![
        candidate("near", Distance::SameHall),
        candidate("far", Distance::OtherRegion),
    ]);
    targets
}

#[test]
fn a_near_target_is_preferred_until_it_is_too_loaded() {
    let mut targets = near_and_far();
    assert_eq!(chosen(&targets, 0).as_deref(), Some("near"));
    targets.started(Millis(0), &TargetId::new("near"), 0);
    assert_eq!(chosen(&targets, 0).as_deref(), Some("far"));
}

#[test]
fn a_full_set_of_targets_makes_requests_wait() {
    let mut targets = near_and_far();
    for name in ["near", "far"] {
        targets.record_report(Millis(0), &TargetId::new(name), 4, 0);
    }
    assert_eq!(
        targets.choose(Millis(1), Requirements::default(), 0),
        Choice::Full
    );
    assert_eq!(targets.free_slots(Millis(1), &AllowedRegions::all()), 0.0);
    // An old report loses weight.
    assert!(matches!(
        targets.choose(Millis(5_000), Requirements::default(), 0),
        Choice::Send(_)
    ));
}

#[test]
fn requests_of_other_entries_are_the_reported_ones_minus_own() {
    let mut load = TargetLoad::default();
    load.started(Millis(0), 0);
    load.record_report(Millis(0), 2, 1);
    assert_eq!(load.requests(Millis(10)), 3.0);
    load.started(Millis(0), 0);
    assert_eq!(load.requests(Millis(10)), 4.0);
    load.finished();
    load.finished();
    assert_eq!(load.requests(Millis(10)), 2.0);
}

#[test]
fn a_quick_refusal_does_not_attract_requests() {
    let mut targets = near_and_far();
    for _ in 0..2 {
        targets.started(Millis(0), &TargetId::new("near"), 0);
        targets.finished(Millis(1), &TargetId::new("near"), Outcome::Rejected);
    }
    assert_eq!(chosen(&targets, 2).as_deref(), Some("far"));
}

#[test]
fn a_target_that_cannot_be_reached_is_avoided_and_tried_again() {
    let mut targets = near_and_far();
    targets.started(Millis(0), &TargetId::new("near"), 0);
    targets.finished(Millis(0), &TargetId::new("near"), Outcome::Unreachable);
    assert!(
        targets
            .load(&TargetId::new("near"))
            .health
            .is_avoided(Millis(399))
    );
    assert_eq!(chosen(&targets, 10).as_deref(), Some("far"));
    assert_eq!(chosen(&targets, 20_000).as_deref(), Some("near"));
}

#[test]
fn one_target_is_used_when_all_are_avoided() {
    let mut targets = Targets::default();
    targets.set(vec![candidate("only", Distance::SameHall)]);
    targets.started(Millis(0), &TargetId::new("only"), 0);
    targets.finished(Millis(0), &TargetId::new("only"), Outcome::Unreachable);
    assert_eq!(chosen(&targets, 1).as_deref(), Some("only"));
}

#[test]
fn a_target_below_the_wanted_version_gets_nothing() {
    let version_2 = Requirements {
        min_version: Some(2),
        ..Requirements::default()
    };
    let mut targets = near_and_far();
    assert_eq!(targets.choose(Millis(0), version_2, 0), Choice::NoTarget);
    let mut newer = candidate("far", Distance::OtherRegion);
    newer.version = Some(2);
    targets.set(vec![candidate("near", Distance::SameHall), newer]);
    let choice = targets.choose(Millis(0), version_2, 0);
    assert!(matches!(choice, Choice::Send(c) if c.id.as_str() == "far"));
}

#[test]
fn a_target_about_to_change_its_weights_is_avoided() {
    let mut near = candidate("near", Distance::SameHall);
    near.switching = true;
    let mut targets = Targets::default();
    targets.set(vec![near, candidate("far", Distance::OtherRegion)]);
    assert_eq!(chosen(&targets, 0).as_deref(), Some("far"));
}

#[test]
fn health_recovers_after_a_success_and_failures_decay() {
    let mut health = Health::default();
    health.record(Millis(0), Outcome::Unreachable);
    assert!(!health.is_avoided(Millis(400)));
    health.record(Millis(400), Outcome::Unreachable);
    assert!(health.is_avoided(Millis(1_199)));
    health.record(Millis(1_200), Outcome::Answered);
    assert!(!health.is_avoided(Millis(1_200)));
    assert!(health.failure_rate(Millis(30_000)) < 0.01);
}

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

#[test]
fn repeats_of_all_entries_stay_within_the_bound_in_every_window() {
    let params = RetryBudgetParams {
        ratio: 0.2,
        slack: 100.0,
        window_ms: 10_000,
    };
    let entries = 9;
    let mut budgets: Vec<SharedRetryBudget> = (0..entries)
        .map(|_| SharedRetryBudget::new(params))
        .collect();
    let mut sent_requests: Vec<(u64, bool)> = Vec::new();
    for now in 0..60_000_u64 {
        let budget = &mut budgets[(now % entries as u64) as usize];
        if now % 5 == 0 {
            budget.note_request(Millis(now));
            sent_requests.push((now, false));
        }
        if budget.try_take(Millis(now), entries) {
            sent_requests.push((now, true));
        }
    }
    for start in (0..50_000).step_by(500) {
        let in_window = |at: u64| (start..start + 10_000).contains(&at);
        let retries = sent_requests
            .iter()
            .filter(|(at, is_retry)| in_window(*at) && *is_retry);
        let retries = retries.count();
        let requests = sent_requests
            .iter()
            .filter(|(at, is_retry)| in_window(*at) && !*is_retry);
        let requests = requests.count();
        let bound = 0.2 * requests as f64 + 100.0;
        assert!(retries as f64 <= bound, "at {start}: {retries}");
    }
}

#[test]
fn waiting_prompts_weigh_more_than_running_requests() {
    let mut targets = Targets::default();
    targets.prefill = Some(PrefillSpeed {
        tokens_per_ms: 30.0,
        typical_prompt_tokens: 1_000.0,
        steps_ms: 50.0,
        tokens_per_pass: 2_000.0,
    });
    targets.set(vec![
        candidate("reading", Distance::SameHall),
        candidate("running", Distance::SameHall),
    ]);
    targets.started(Millis(0), &TargetId::new("reading"), 3_000);
    for _ in 0..2 {
        targets.started(Millis(0), &TargetId::new("running"), 3_000);
        targets.prompt_read(&TargetId::new("running"), 3_000);
    }
    assert_eq!(chosen(&targets, 0).as_deref(), Some("running"));
    // Prompts of other entries count with the typical length.
    targets.record_report(Millis(0), &TargetId::new("running"), 2, 1);
    targets.prompt_read(&TargetId::new("reading"), 3_000);
    assert_eq!(chosen(&targets, 0).as_deref(), Some("reading"));
}

#[test]
fn a_target_that_cannot_answer_in_time_is_passed_over() {
    let mut targets = Targets::default();
    targets.prefill = Some(PrefillSpeed {
        tokens_per_ms: 10.0,
        typical_prompt_tokens: 1_000.0,
        steps_ms: 50.0,
        tokens_per_pass: 2_000.0,
    });
    targets.set(vec![candidate("only", Distance::SameHall)]);
    targets.started(Millis(0), &TargetId::new("only"), 2_000);
    let within = |first_event_within_ms| Requirements {
        prompt_tokens: 1_000,
        first_event_within_ms,
        ..Requirements::default()
    };
    // Half of a pass of 250 ms, 3,000 tokens at 10 per millisecond, and the steps of
    // two passes: 525 ms.
    let at = |first_event_within_ms| targets.choose(Millis(0), within(first_event_within_ms), 0);
    assert_eq!(at(Some(524)), Choice::Full);
    assert!(matches!(at(Some(525)), Choice::Send(_)));
    assert!(matches!(at(None), Choice::Send(_)));
}

#[test]
fn all_slots_of_a_target_are_shared_out() {
    let names: Vec<String> = (0..10).map(|index| format!("entry-{index}")).collect();
    let demands = |per_s: fn(usize) -> f64| -> Vec<EntryDemand<'_>> {
        let demand = |(index, name)| EntryDemand {
            entry: name,
            requests_per_s: per_s(index),
        };
        names
            .iter()
            .map(String::as_str)
            .enumerate()
            .map(demand)
            .collect()
    };
    for entries in [demands(|_| 20.0), demands(|index| index as f64 * 7.0)] {
        let mut totals = vec![0; names.len()];
        for target in 0..200 {
            let target = format!("target-{target}");
            let shares: Vec<u32> = names
                .iter()
                .map(|name| SlotShares::new(name, entries.clone()).of(&target, 16))
                .collect();
            assert_eq!(shares.iter().sum::<u32>(), 16, "{shares:?}");
            totals.iter_mut().zip(&shares).for_each(|(t, s)| *t += s);
        }
        // Over many targets, each entry's slots match its demand.
        assert!(totals.iter().all(|total| *total > 0), "{totals:?}");
        assert!(totals[9] >= totals[1], "{totals:?}");
    }
    let alone = SlotShares::new("entry-0", demands(|_| 1.0).into_iter().take(1));
    assert_eq!(alone.of("target", 16), 16);
}

#[test]
fn entry_demands_are_computed_once_for_all_targets() {
    let names: Vec<String> = (0..500).map(|index| format!("entry-{index}")).collect();
    let read = std::cell::Cell::new(0);
    let demands = names.iter().map(|name| {
        read.set(read.get() + 1);
        EntryDemand {
            entry: name,
            requests_per_s: 2.0,
        }
    });
    let shares = SlotShares::new("entry-7", demands);
    let slots: u32 = (0..4_000)
        .map(|n| shares.of(&format!("target-{n}"), 8))
        .sum();
    assert_eq!(read.get(), names.len());
    // One in 500 of 32,000 slots, within rounding.
    assert!((44..=84).contains(&slots), "{slots} slots");
}

#[test]
fn a_nearly_full_target_is_left_to_entries_with_free_slots() {
    let mut mine = candidate("target", Distance::SameHall);
    mine.slots = 10;
    mine.max_own = 10;
    mine.share = 1;
    let mut targets = Targets::default();
    targets.set(vec![mine]);
    let id = TargetId::new("target");
    let takes = |targets: &Targets| {
        matches!(
            targets.choose(Millis(1), Requirements::default(), 0),
            Choice::Send(_)
        )
    };
    targets.record_report(Millis(0), &id, 6, 0);
    assert!(takes(&targets), "it is not nearly full");
    targets.record_report(Millis(0), &id, 8, 0);
    assert!(takes(&targets), "one of the last slots is its own");
    targets.started(Millis(1), &id, 0);
    assert!(!takes(&targets), "its own slot is used");
    targets.finished(Millis(1), &id, Outcome::Answered);
    targets.record_report(Millis(1), &id, 11, 0);
    assert!(!takes(&targets), "the target has more requests than slots");
}

#[test]
fn a_newly_free_target_is_not_flooded() {
    let mut idle = candidate("fresh", Distance::SameHall);
    idle.slots = 100;
    idle.max_own = 100;
    idle.share = 2;
    let mut targets = Targets::default();
    targets.prefill = Some(PrefillSpeed {
        tokens_per_ms: 30.0,
        typical_prompt_tokens: 1_000.0,
        steps_ms: 50.0,
        tokens_per_pass: 2_000.0,
    });
    targets.set(vec![idle]);
    let id = TargetId::new("fresh");
    let takes = |targets: &Targets, now| {
        let choice = targets.choose(Millis(now), Requirements::default(), 0);
        matches!(choice, Choice::Send(_))
    };
    for _ in 0..2 {
        assert!(takes(&targets, 10));
        targets.started(Millis(10), &id, 100);
    }
    assert!(!takes(&targets, 10));
    // A report, or enough time for one, makes room for more.
    targets.record_report(Millis(20), &id, 2, 0);
    assert!(takes(&targets, 20));
}

#[test]
fn many_entries_with_the_same_reports_do_not_all_send_to_the_same_target() {
    let names: Vec<String> = (0..25).map(|index| format!("t{index}")).collect();
    let mut targets = Targets::default();
    targets.set(
        names
            .iter()
            .map(|name| Candidate {
                slots: 16,
                max_own: 16,
                ..candidate(name, Distance::SameHall)
            })
            .collect(),
    );
    for (index, name) in names.iter().enumerate() {
        let running = 3 + (index as u32 * 7) % 6;
        targets.record_report(Millis(0), &TargetId::new(name), running, 0);
    }
    // Each of 40 entries decides on the same reports with its own random value.
    let mut sent = std::collections::BTreeMap::<String, u32>::new();
    for entry in 0..40_u64 {
        let random = (entry + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        match targets.choose(Millis(1), Requirements::default(), random) {
            Choice::Send(candidate) => *sent.entry(candidate.id.to_string()).or_default() += 1,
            other => panic!("{other:?}"),
        }
    }
    let most = sent.values().max().copied().unwrap_or_default();
    assert!(most <= 8, "{sent:?}");
}
