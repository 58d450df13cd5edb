//! Unit tests of the choice of a target and of its health.

mod support;

use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis};
use support::candidate;

/// How engines read prompts in these tests.
const PREFILL: PrefillSpeed = PrefillSpeed {
    tokens_per_ms: 30.0,
    typical_prompt_tokens: 1_000.0,
    steps_ms: 50.0,
    tokens_per_pass: 2_000.0,
};

/// Returns the name of the target that a request goes to now.
fn chosen(targets: &Targets, now: u64) -> Option<String> {
    match targets.choose(Millis(now), Requirements::default(), 0) {
        Choice::Send(candidate) => Some(candidate.id.to_string()),
        _ => None,
    }
}

/// Returns whether some target takes a request now.
fn takes_request(targets: &Targets, now: u64) -> bool {
    chosen(targets, now).is_some()
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

#[test]
fn waiting_prompts_weigh_more_than_running_requests() {
    let mut targets = Targets::default();
    targets.prefill = Some(PREFILL);
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
        ..PREFILL
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
fn a_nearly_full_target_is_left_to_entries_with_free_slots() {
    let mut mine = candidate("target", Distance::SameHall);
    mine.slots = 10;
    mine.max_own = 10;
    mine.share = 1;
    let mut targets = Targets::default();
    targets.set(vec![mine]);
    let id = TargetId::new("target");
    targets.record_report(Millis(0), &id, 6, 0);
    assert!(takes_request(&targets, 1), "it is not nearly full");
    targets.record_report(Millis(0), &id, 8, 0);
    assert!(
        takes_request(&targets, 1),
        "one of the last slots is its own"
    );
    targets.started(Millis(1), &id, 0);
    assert!(!takes_request(&targets, 1), "its own slot is used");
    targets.finished(Millis(1), &id, Outcome::Answered);
    targets.record_report(Millis(1), &id, 11, 0);
    assert!(
        !takes_request(&targets, 1),
        "the target has more requests than slots"
    );
}

#[test]
fn a_newly_free_target_is_not_flooded() {
    let mut idle = candidate("fresh", Distance::SameHall);
    idle.slots = 100;
    idle.max_own = 100;
    idle.share = 2;
    let mut targets = Targets::default();
    targets.prefill = Some(PREFILL);
    targets.set(vec![idle]);
    let id = TargetId::new("fresh");
    for _ in 0..2 {
        assert!(takes_request(&targets, 10));
        targets.started(Millis(10), &id, 100);
    }
    assert!(!takes_request(&targets, 10));
    // A report, or enough time for one, makes room for more.
    targets.record_report(Millis(20), &id, 2, 0);
    assert!(takes_request(&targets, 20));
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
