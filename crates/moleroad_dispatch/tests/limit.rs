//! Rate limits advertised by targets: what the owner grants, and which sends need a grant.

mod support;

use moleroad_directory::prelude::RequestRate;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use std::sync::Arc;

/// Window in which a target counts requests, and the maximum lifetime of a grant plus
/// its network delay, in milliseconds.
const WINDOW_MS: u64 = 4_000;
const MAX_LATENESS_MS: u64 = 250;
/// Requests that a target tolerates in a window: 1.5 times the advertised rate, plus five.
fn tolerated(per_s: f64) -> f64 {
    per_s * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0
}

/// Grants that an initially full bucket gives in a window plus the time of late
/// requests.
fn max_granted(per_s: f64) -> u32 {
    let params = limit_bucket_params(RequestRate::per_s(per_s));
    let mut bucket = TokenBucket::full(Millis(0), params);
    let mut granted_count = 0;
    for at in 0..=WINDOW_MS + MAX_LATENESS_MS {
        while bucket.take(Millis(at)) {
            granted_count += 1;
        }
    }
    granted_count
}

#[test]
fn grants_of_an_owner_stay_within_the_tolerated_number_at_any_rate() {
    for milli in [
        0, 1, 50, 300, 700, 1_000, 2_200, 2_400, 7_000, 40_000, 900_000,
    ] {
        let per_s = milli as f64 / 1_000.0;
        let most = max_granted(per_s);
        assert!(f64::from(most) <= tolerated(per_s), "{per_s}: {most}");
        assert!(f64::from(most) >= per_s * 4.0, "{per_s}: {most}");
    }
}

#[test]
fn an_owner_that_takes_over_adds_at_most_one_bucket_to_the_limit() {
    for per_s in [0.5, 1.0, 2.4, 10.0, 100.0] {
        let burst = limit_bucket_params(RequestRate::per_s(per_s)).burst.ceil();
        let both = f64::from(max_granted(per_s)) + burst;
        assert!(both <= tolerated(per_s), "{per_s}: {both}");
    }
}

#[test]
fn a_target_with_a_zero_limit_is_probed_periodically() {
    let params = limit_bucket_params(RequestRate::per_s(0.0));
    let mut bucket = TokenBucket::full(Millis(0), params);
    assert!(bucket.take(Millis(0)));
    assert!(!bucket.take(Millis(9_000)));
    assert!(bucket.take(Millis(10_100)));
}

#[test]
fn entries_agree_on_owners_and_an_added_entry_moves_few_targets() {
    let names: Vec<String> = (0..9).map(|number| format!("entry-{number}")).collect();
    let owner_of = |target: &str, entries: &[String], rotated: usize| {
        let rotated = entries.iter().cycle().skip(rotated).take(entries.len());
        owner(rotated.map(String::as_str), target).map(String::from)
    };
    let mut moved = 0;
    for number in 0..300 {
        let target = format!("i-{number}");
        let known = owner_of(&target, &names, 0);
        assert_eq!(known, owner_of(&target, &names, 4));
        moved += usize::from(known != owner_of(&target, &names[..8], 0));
    }
    assert!((10..90).contains(&moved), "{moved} of 300");
    assert_eq!(owner([].into_iter(), "i-0"), None);
}

fn target(name: &str, per_s: Option<f64>) -> Candidate {
    let limit = per_s.map(|per_s| LimitedTarget {
        rate: RequestRate::per_s(per_s),
        owner: "127.0.0.1:2".parse().unwrap(),
    });
    Candidate {
        limit: limit.map(Arc::new),
        ..support::target(name, 8)
    }
}

fn with(candidates: &[&Candidate]) -> Targets {
    let mut targets = Targets::default();
    targets.set(candidates.iter().copied().cloned().collect());
    targets
}

#[test]
fn a_send_to_a_target_that_named_a_limit_needs_a_grant_until_it_begins() {
    let (free, limited) = (target("t", None), target("t", Some(2.0)));
    let granted = |until| Candidate {
        granted_until: Some(Millis(until)),
        ..limited.clone()
    };
    let now = Millis(1_000);
    assert_eq!(
        with(&[&free]).admission(now, &free),
        Admission::Unrestricted
    );
    let targets = with(&[&limited]);
    assert_eq!(targets.admission(now, &limited), Admission::Grant);
    assert!(!targets.may_still_send(now, &limited), "without a grant");
    assert!(
        !targets.may_still_send(now, &free),
        "chosen before the limit was known"
    );
    assert!(targets.may_still_send(now, &granted(1_000)));
    assert!(!targets.may_still_send(now, &granted(999)), "lapsed");
    // The target no longer advertises a limit.
    assert!(with(&[&free]).may_still_send(now, &limited));
}

#[test]
fn a_cold_target_that_named_a_limit_needs_the_grants_for_both() {
    let cold = ColdTarget {
        bound: RateBound::new(15.0, 1.5, 5.0),
        until: Millis(5_000),
        source: ColdSource::Heartbeat,
        reported_until: Millis(5_000),
        cold_duration_ms: 3_000,
        requires_grant: false,
        quota: 1,
        quota_from: Millis(0),
    };
    let both = Candidate {
        cold: Some(Arc::new(cold)),
        ..target("t", Some(2.0))
    };
    let mut targets = with(&[&both]);
    let now = Millis(1_000);
    assert_eq!(targets.admission(now, &both), Admission::Grant);
    targets.started(now, &both.id, 0);
    assert_eq!(targets.admission(now, &both), Admission::Denied);
    let granted = Candidate {
        granted_until: Some(Millis(1_100)),
        ..both.clone()
    };
    assert!(targets.may_still_send(now, &granted));
    let as_cold_alone = Candidate {
        limit: None,
        ..granted.clone()
    };
    assert!(!targets.may_still_send(now, &as_cold_alone));
    let foreign = ColdTarget { quota: 0, ..cold };
    let foreign = Candidate {
        cold: Some(Arc::new(foreign)),
        ..both
    };
    assert!(!with(&[&foreign]).may_still_send(now, &granted));
}

#[test]
fn only_limited_targets_need_a_grant() {
    let (free, limited) = (target("free", None), target("limited", Some(2.0)));
    let mut targets = with(&[&limited, &free]);
    let (now, needs) = (Millis(1_000), Requirements::default());
    assert!(targets.require_queries() && !targets.have_agents());
    for random in 0..20 {
        let Choice::Send(chosen) = targets.choose(now, needs, random) else {
            panic!("a free target");
        };
        assert_eq!(chosen.id, free.id);
    }
    let asked = |targets: &Targets| targets.grant_candidates(now, needs, 1);
    assert_eq!(asked(&targets).len(), 1);
    assert_eq!(asked(&targets)[0].id, limited.id);
    (0..8).for_each(|_| targets.started(now, &limited.id, 0));
    assert!(asked(&targets).is_empty(), "it has no free slot");
    assert!(!with(&[&free]).require_queries());
}

#[test]
fn the_wait_for_limited_targets_follows_from_their_limits() {
    let (one, four) = (target("one", Some(1.0)), target("four", Some(4.0)));
    let (now, needs) = (Millis(1_000), Requirements::default());
    assert_eq!(
        with(&[&one, &four]).rate_limited_interval_ms(now, needs),
        Some(200.0)
    );
    let free = target("free", None);
    assert_eq!(
        with(&[&one, &free]).rate_limited_interval_ms(now, needs),
        None
    );
}
