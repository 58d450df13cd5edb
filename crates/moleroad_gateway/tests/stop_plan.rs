//! Times of a graceful stop: when the process exits and which requests it still takes.

use moleroad_gateway::answer_times::AnswerTimes;
use moleroad_gateway::settings::RoleSetting;
use moleroad_gateway::stop::{PendingRequest, StopPhase, StopPlan, StopSignal};
use moleroad_types::prelude::Millis;

const START: Millis = Millis(1_000_000);
const GRACE_MS: u64 = 8_000;

fn plan(grace_ms: u64, role: RoleSetting) -> StopPlan {
    StopPlan::new(START, START, grace_ms, role)
}

#[test]
fn every_role_exits_within_its_grace_period() {
    for role in [RoleSetting::Entry, RoleSetting::Control, RoleSetting::Agent] {
        for grace_ms in [1_000, 2_000, 8_000, 600_000] {
            let plan = plan(grace_ms, role);
            assert!(START <= plan.callers_leave_at, "{role:?} {grace_ms}");
            assert!(
                plan.callers_leave_at <= plan.exits_at,
                "{role:?} {grace_ms}"
            );
            assert!(plan.exits_at < START + grace_ms, "{role:?} {grace_ms}");
            assert!(plan.answers_end_by < plan.exits_at, "{role:?} {grace_ms}");
        }
    }
}

/// A request that is read `after_ms` after the signal and may take `limit_ms`.
fn request(after_ms: u64, limit_ms: u64, likely_ms: Option<u64>) -> PendingRequest {
    let received = START + after_ms;
    PendingRequest {
        received,
        until: received + limit_ms,
        likely_ms,
        is_idempotent: true,
    }
}

fn may_begin_at_once(request: PendingRequest) -> bool {
    plan(GRACE_MS, RoleSetting::Entry).may_begin(request.received, request)
}

// Guards against an estimate that stands where the end of an answer must be certain.
#[test]
fn a_request_whose_limit_outlasts_the_process_does_not_begin_late() {
    let plan = plan(GRACE_MS, RoleSetting::Entry);
    for after_ms in (3_001..GRACE_MS).step_by(7) {
        for limit_ms in [1, 50, 1_500, 6_000, 600_000] {
            for likely_ms in [None, Some(50), Some(2_000)] {
                let request = request(after_ms, limit_ms, likely_ms);
                let is_certain = request.until < plan.exits_at;
                let begins = may_begin_at_once(request);
                assert!(is_certain || !begins, "{request:?}");
                let has_time = request.until + 100 <= plan.exits_at;
                assert!(begins || !has_time, "{request:?}");
            }
        }
    }
}

#[test]
fn while_lists_name_the_entry_an_answer_must_be_likely_to_end() {
    for (limit_ms, likely_ms, begins) in [
        (6_000, None, false),
        (6_000, Some(1_500), true),
        (6_000, Some(5_500), false),
        (600_000, Some(1_500), true),
        (600_000, None, false),
        (1_000, None, true),
        (1_000, Some(5_500), true),
    ] {
        let request = request(2_500, limit_ms, likely_ms);
        assert_eq!(may_begin_at_once(request), begins, "{request:?}");
    }
}

// Guards against a plan that counts from a signal which was handled late.
#[test]
fn a_signal_that_may_be_old_leaves_less_time_for_requests() {
    let age_ms = 1_900;
    let late = StopPlan::new(START + age_ms, START, GRACE_MS, RoleSetting::Entry);
    let at_once = plan(GRACE_MS, RoleSetting::Entry);
    assert_eq!(late.answers_end_by, at_once.answers_end_by);
    assert_eq!(late.lists_expire_at, at_once.lists_expire_at);
    assert_eq!(at_once.answers_end_by + 100, at_once.exits_at);
    // Answers that are open may still end if the signal is not that old.
    assert_eq!(late.exits_at, at_once.exits_at + age_ms);
    let request = request(age_ms, GRACE_MS - age_ms, None);
    assert!(!late.may_begin(request.received, request));
}

// Guards against cutting a request that its caller can't send again.
#[test]
fn a_request_that_may_run_once_begins_only_if_its_limit_ends_in_time() {
    for (limit_ms, begins) in [(1_500, true), (6_000, false)] {
        let request = PendingRequest {
            is_idempotent: false,
            ..request(2_500, limit_ms, Some(50))
        };
        assert_eq!(may_begin_at_once(request), begins, "{request:?}");
    }
}

#[test]
fn a_request_that_waits_is_refused_once_its_answer_would_come_too_late() {
    let plan = plan(GRACE_MS, RoleSetting::Entry);
    let request = request(2_000, 60_000, Some(1_500));
    assert!(plan.may_begin(plan.exits_at - 1_500, request));
    assert!(!plan.may_begin(plan.exits_at - 1_499, request));
}

/// Asserts that `ms` is `at_least`, rounded up by a quarter at most.
fn assert_rounded_up(ms: Option<u64>, at_least: u64) {
    let ms = ms.expect("a time");
    assert!(
        ms >= at_least && ms <= at_least * 5 / 4 + 1,
        "{ms}, {at_least}"
    );
}

#[test]
fn times_of_answers_are_known_by_share() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.quantile_ms(START, "chat", 0.99), None);
    for ms in 1..=1_000 {
        times.record(START, "chat", ms);
    }
    times.record(START, "chat", 700_000);
    times.record(START, "mail", 1_234);
    assert_rounded_up(times.quantile_ms(START, "chat", 0.5), 500);
    assert_rounded_up(times.quantile_ms(START, "chat", 0.99), 990);
    assert_rounded_up(times.quantile_ms(START, "chat", 1.0), 700_000);
    assert_rounded_up(times.quantile_ms(START, "mail", 0.01), 1_234);
}

#[test]
fn answers_are_remembered_for_one_to_two_minutes() {
    let mut times = AnswerTimes::default();
    times.record(START, "chat", 4_000);
    assert_rounded_up(times.quantile_ms(START + 59_000, "chat", 1.0), 4_000);
    times.record(START + 61_000, "chat", 300);
    assert_rounded_up(times.quantile_ms(START + 61_000, "chat", 1.0), 4_000);
    assert_rounded_up(times.quantile_ms(START + 122_000, "chat", 1.0), 300);
    assert_eq!(times.quantile_ms(START + 500_000, "chat", 1.0), None);
}

#[tokio::test]
async fn a_phase_is_reached_by_itself_and_by_later_ones() {
    let stop = StopSignal::default();
    assert_eq!(stop.phase(), StopPhase::Running);
    stop.begin(plan(GRACE_MS, RoleSetting::Entry));
    assert_eq!(stop.phase(), StopPhase::Leaving);
    stop.reached(StopPhase::Leaving).await;
    stop.enter(StopPhase::ClosingManagement);
    stop.reached(StopPhase::ClosingFront).await;
    stop.reached(StopPhase::ClosingManagement).await;
}
