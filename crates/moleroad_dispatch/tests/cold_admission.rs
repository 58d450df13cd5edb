//! The final check of a target that may be cold, before a send starts.

mod support;

use moleroad_dispatch::division::QUOTA_WINDOW_MS;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use std::sync::Arc;

/// A bound that holds until 5,000 ms.
fn cold(requires_grant: bool, quota: u32) -> ColdTarget {
    ColdTarget {
        bound: RateBound::new(15.0, 1.5, 5.0),
        until: Millis(5_000),
        source: ColdSource::Heartbeat,
        reported_until: Millis(5_000),
        cold_duration_ms: 3_000,
        requires_grant,
        quota,
        quota_from: Millis(0),
    }
}

fn target(cold: Option<ColdTarget>) -> Candidate {
    Candidate {
        agent: Some("127.0.0.1:2".parse().unwrap()),
        cold: cold.map(Arc::new),
        ..support::target("t", 12)
    }
}

fn with(candidate: &Candidate) -> Targets {
    let mut targets = Targets::default();
    targets.set(vec![candidate.clone()]);
    targets
}

fn granted(candidate: &Candidate, until: u64) -> Candidate {
    Candidate {
        granted_until: Some(Millis(until)),
        ..candidate.clone()
    }
}

#[test]
fn a_target_that_turned_cold_after_it_was_chosen_gets_nothing_without_a_grant() {
    let warm = target(None);
    let now_cold = target(Some(cold(true, 0)));
    let now = Millis(4_000);
    assert!(with(&warm).may_still_send(now, &warm));
    assert!(!with(&now_cold).may_still_send(now, &warm));
    assert!(!with(&now_cold).may_still_send(now, &now_cold));
    assert!(with(&now_cold).may_still_send(now, &granted(&now_cold, 4_000)));
    assert!(!with(&now_cold).may_still_send(now, &granted(&now_cold, 3_999)));
    // It is no longer cold.
    assert!(with(&now_cold).may_still_send(Millis(5_000), &warm));
}

#[test]
fn a_cold_report_by_the_agent_stops_a_chosen_send() {
    let known = target(Some(cold(true, 0)));
    let mut targets = with(&known);
    assert!(targets.may_still_send(Millis(6_000), &known));
    targets.agent_reported_cold(&known.id, Millis(7_000));
    assert!(!targets.may_still_send(Millis(6_000), &known));
}

#[test]
fn a_target_that_is_no_longer_listed_gets_nothing() {
    let warm = target(None);
    let targets = Targets::default();
    assert!(!targets.may_still_send(Millis(4_000), &warm));
    assert!(!targets.may_still_send(Millis(4_000), &granted(&warm, 4_100)));
}

#[test]
fn a_target_with_divided_quota_gets_only_counted_requests() {
    let (warm, owned) = (target(None), target(Some(cold(false, 1))));
    let mut targets = with(&owned);
    targets.started(Millis(4_000), &owned.id, 0);
    assert!(!targets.may_still_send(Millis(4_000), &warm));
    assert!(targets.may_still_send(Millis(4_000), &granted(&owned, 4_100)));
    // Meanwhile the quota belongs to another entry.
    let foreign = target(Some(cold(false, 0)));
    assert!(!with(&foreign).may_still_send(Millis(4_000), &granted(&owned, 4_100)));
    // A quota reservation is not a grant.
    let requires_grant = target(Some(cold(true, 0)));
    assert!(!with(&requires_grant).may_still_send(Millis(4_000), &granted(&owned, 4_100)));
}

/// Returns the source of the cold state, and the remaining time that an entry passes on
/// to the agent at 2,000 ms, for a target whose hall returned to service at 1,000 ms
/// and that reported `left_ms` before that.
fn passed_on_after_restore(left_ms: u64) -> (ColdSource, u64) {
    let evidence = ColdEvidence {
        cold_duration_ms: 3_000,
        first_heard: Millis(0),
        last_heartbeat: Millis(900),
        left_ms,
        restored: Some(Millis(1_000)),
    };
    let (until, source) = evidence.until();
    let target = ColdTarget {
        until,
        source,
        reported_until: evidence.reported_until(),
        ..cold(true, 0)
    };
    assert_eq!(until, Millis(4_000));
    (source, target.reported_left_ms(Millis(2_000)))
}

#[test]
fn an_entry_propagates_a_targets_report_but_no_assumption() {
    assert_eq!(passed_on_after_restore(0), (ColdSource::Restored, 0));
    assert_eq!(passed_on_after_restore(1_500), (ColdSource::Restored, 400));
}

#[test]
fn sends_count_toward_the_quota_of_a_briefly_unlisted_target() {
    let owned = target(Some(cold(false, 1)));
    let mut targets = with(&owned);
    targets.started(Millis(3_000), &owned.id, 0);
    targets.prompt_read(&owned.id, 0);
    targets.finished(Millis(3_010), &owned.id, Outcome::Answered);
    targets.set(Vec::new());
    targets.set(vec![owned.clone()]);
    let admission = |targets: &Targets, now| targets.admission(Millis(now), &owned);
    assert_eq!(
        admission(&targets, 3_000 + QUOTA_WINDOW_MS - 1),
        Admission::Denied
    );
    assert_eq!(
        admission(&targets, 3_000 + QUOTA_WINDOW_MS),
        Admission::Quota
    );
    // Expired send times are dropped with the next send to any target.
    targets.started(Millis(3_000 + QUOTA_WINDOW_MS), &owned.id, 0);
    assert_eq!(admission(&targets, 4_500), Admission::Denied);
}

#[test]
fn a_rate_below_one_a_second_has_an_owner() {
    let division = Division::of(RateBound::new(0.5, 1.5, 5.0));
    assert_eq!((division.owners, division.quota), (1, 1));
    assert_eq!(Division::of(RateBound::new(0.0, 1.5, 5.0)).owners, 0);
    assert_eq!(Division::of(RateBound::new(15.0, 1.5, 5.0)).owners, 13);
    // One request per second for each of two owner sets would exceed it.
    assert_eq!(Division::of(RateBound::new(0.5, 1.5, 0.0)).owners, 0);
}
