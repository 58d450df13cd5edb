//! Grants that an owner issues for targets with named limits, without a network.

use moleroad_directory::prelude::{RequestRate, TargetId};
use moleroad_gateway::limit_grants::LimitGrants;
use moleroad_types::prelude::Millis;

fn id(name: &str) -> TargetId {
    TargetId::new(name)
}

#[test]
fn grants_are_counted_per_target_and_the_fewest_are_reported() {
    let grants = LimitGrants::default();
    assert_eq!(grants.min_available(Millis(1_000)), None);
    let one = RequestRate::per_s(1.0);
    let take = |at, name| grants.take(Millis(at), &id(name), one);
    assert!(take(1_000, "a") && !take(1_000, "a"));
    assert!(take(1_000, "b"), "another target");
    assert_eq!(grants.min_available(Millis(1_500)), Some(0));
    assert!(!take(1_999, "a") && take(2_000, "a"));
    // A bucket that is full again is dropped with the next request.
    assert!(take(60_000, "c"));
    assert_eq!(grants.min_available(Millis(60_000)), Some(0));
    assert_eq!(grants.min_available(Millis(61_000)), Some(1));
}

#[test]
fn a_changed_limit_applies_from_the_next_grant_request() {
    let grants = LimitGrants::default();
    let take = |at, per_s| grants.take(Millis(at), &id("a"), RequestRate::per_s(per_s));
    let given = |at, per_s| (0..50).filter(|_| take(at, per_s)).count();
    assert_eq!(given(1_000, 50.0), 10);
    assert_eq!(given(1_100, 1.0), 1, "accumulated tokens are capped");
    assert_eq!(given(2_100, 1.0), 1);
    assert_eq!(given(2_300, 50.0), 0, "only a fifth of a token accumulated");
    assert_eq!(given(2_400, 50.0), 5);
}
