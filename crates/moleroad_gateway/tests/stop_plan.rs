//! Times of a graceful stop: when the process exits and which requests it still takes.

use moleroad_gateway::answer_times::AnswerTimes;
use moleroad_gateway::settings::RoleSetting;
use moleroad_gateway::stop::{StopPhase, StopPlan, StopSignal};
use moleroad_types::prelude::Millis;

const START: Millis = Millis(1_000_000);
const GRACE_MS: u64 = 8_000;

fn plan(grace_ms: u64, role: RoleSetting) -> StopPlan {
    StopPlan::new(START, grace_ms, role)
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
        }
    }
}

#[test]
fn an_answer_that_may_outlast_the_process_is_not_begun() {
    let plan = plan(GRACE_MS, RoleSetting::Entry);
    for (limit_ms, longest_ms) in [
        (6_000, None),
        (1_000, None),
        (6_000, Some(5_000)),
        (6_000, Some(1_500)),
        (600_000, Some(2_000)),
    ] {
        let latest = plan.latest_begin(limit_ms, longest_ms);
        let needs_ms = longest_ms.map_or(limit_ms, |ms: u64| limit_ms.min(2 * ms));
        assert_eq!(
            latest + needs_ms,
            plan.exits_at,
            "{limit_ms} {longest_ms:?}"
        );
    }
    // Without any knowledge, a limit beyond the grace period means not at all.
    assert!(plan.latest_begin(600_000, None) < START);
}

#[test]
fn long_answers_are_remembered_for_one_to_two_minutes() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest_ms(START, "chat"), None);
    times.record(START, "chat", 4_000);
    times.record(START + 10_000, "chat", 900);
    times.record(START + 10_000, "mail", 70);
    assert_eq!(times.longest_ms(START + 59_000, "chat"), Some(4_000));
    assert_eq!(times.longest_ms(START + 59_000, "mail"), Some(70));
    assert_eq!(times.longest_ms(START + 61_000, "chat"), Some(4_000));
    times.record(START + 70_000, "chat", 300);
    assert_eq!(times.longest_ms(START + 122_000, "chat"), Some(300));
    assert_eq!(times.longest_ms(START + 122_000, "mail"), None);
    assert_eq!(times.longest_ms(START + 500_000, "chat"), None);
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
