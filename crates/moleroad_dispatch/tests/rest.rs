//! Targets that asked for a backoff: how `Retry-After` is parsed, to which incarnation
//! it applies, and that every path of the choice respects it.

mod support;

use moleroad_directory::prelude::{TargetId, TargetRecord};
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis};
use proptest::prelude::*;
use std::net::SocketAddr;

/// Unix time of the answers, in milliseconds.
const ANSWERED: u64 = 5_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn responder(id: &str, born_ms: u64) -> Responder {
    Responder {
        address: address(1),
        target: TargetId::new(id),
        born_ms,
    }
}

fn candidate(number: u16, backoff_until: Option<Millis>) -> Candidate {
    Candidate {
        address: address(number),
        version: None,
        backoff_until,
        ..support::target(&format!("t{number}"), 2)
    }
}

fn targets(backoffs: &[Option<u64>]) -> Targets {
    let mut targets = Targets::default();
    let backoffs = backoffs.iter().enumerate();
    let candidates =
        backoffs.map(|(number, until)| candidate(number as u16 + 1, until.map(Millis)));
    targets.set(candidates.collect());
    targets
}

fn at(now: u64) -> Requirements<'static> {
    Requirements {
        now: Millis(now),
        ..Requirements::default()
    }
}

#[test]
fn a_backoff_is_parsed_in_seconds_and_fractions() {
    let cases = [
        ("3", Some(3_000)),
        (" 3 ", Some(3_000)),
        ("0", Some(0)),
        ("0.25", Some(250)),
        (".5", Some(500)),
        ("2.", Some(2_000)),
        // Never shorter than requested.
        ("0.0001", Some(1)),
        ("3600", Some(MAX_BACKOFF_MS)),
        ("3601", Some(MAX_BACKOFF_MS)),
        ("99999999999999999999999999", Some(MAX_BACKOFF_MS)),
        ("", None),
        (".", None),
        ("-1", None),
        ("+1", None),
        ("1e3", None),
        ("0x3", None),
        ("3 s", None),
        ("3, 5", None),
        ("1.2.3", None),
        ("NaN", None),
        ("inf", None),
        ("soon", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_retry_after_ms(text), expected, "{text:?}");
    }
    assert_eq!(parse_retry_after_ms(&"9".repeat(400)), Some(MAX_BACKOFF_MS));
}

proptest! {
    #[test]
    fn a_backoff_is_capped_at_the_maximum(text in "\\PC*") {
        prop_assert!(parse_retry_after_ms(&text).is_none_or(|ms| ms <= MAX_BACKOFF_MS));
    }
}

#[test]
fn a_shorter_backoff_does_not_shorten_a_longer_one() {
    let mut backoffs = TargetBackoffs::default();
    backoffs.record(Millis(100), responder("t", 7), ANSWERED, 3_000);
    backoffs.record(Millis(200), responder("t", 7), ANSWERED, 50);
    assert_eq!(
        backoffs.until(Millis(300), &responder("t", 7)),
        Some(Millis(3_100))
    );
    backoffs.record(Millis(400), responder("t", 7), ANSWERED, 5_000);
    assert_eq!(
        backoffs.until(Millis(500), &responder("t", 7)),
        Some(Millis(5_400))
    );
    assert_eq!(backoffs.until(Millis(5_400), &responder("t", 7)), None);
}

#[test]
fn a_backoff_ends_with_the_incarnation_that_requested_it() {
    let mut backoffs = TargetBackoffs::default();
    backoffs.record(Millis(100), responder("t", 7), ANSWERED, 3_000);
    assert_eq!(
        backoffs.until(Millis(200), &responder("t", ANSWERED + 1)),
        None
    );
    // Another target at the same address, started since.
    assert_eq!(
        backoffs.until(Millis(200), &responder("u", ANSWERED + 1)),
        None
    );
    // The backoff applies only to the address that answered.
    let elsewhere = Responder {
        address: address(2),
        ..responder("t", 7)
    };
    assert_eq!(backoffs.until(Millis(200), &elsewhere), None);
}

#[test]
fn a_backoff_requested_before_the_first_heartbeat_is_kept() {
    let mut backoffs = TargetBackoffs::default();
    backoffs.record(Millis(100), responder("t", 7), ANSWERED, 3_000);
    let until = Some(Millis(3_100));
    assert_eq!(
        backoffs.until(Millis(200), &responder("t", ANSWERED - 1)),
        until
    );
    assert_eq!(
        backoffs.until(Millis(200), &responder("u", ANSWERED - 1)),
        until
    );
    // A backoff recorded under the previous start time is not shortened by a shorter
    // one.
    backoffs.record(
        Millis(300),
        responder("t", ANSWERED - 1),
        ANSWERED + 200,
        10,
    );
    assert_eq!(
        backoffs.until(Millis(400), &responder("t", ANSWERED - 1)),
        until
    );
}

#[test]
fn a_target_without_a_start_time_is_identified_by_its_id() {
    let mut backoffs = TargetBackoffs::default();
    backoffs.record(Millis(100), responder("t", 0), ANSWERED, 3_000);
    let until = Some(Millis(3_100));
    assert_eq!(backoffs.until(Millis(200), &responder("t", 0)), until);
    assert_eq!(backoffs.until(Millis(200), &responder("t", 9)), until);
    assert_eq!(backoffs.until(Millis(200), &responder("u", 9)), None);
    let record = TargetRecord::new(TargetId::new("t"), "service", address(1));
    assert_eq!(backoffs.until(Millis(200), &Responder::of(&record)), until);
}

#[test]
fn a_target_in_backoff_is_never_chosen_before_the_backoff_ends() {
    let targets = targets(&[Some(50)]);
    let id = TargetId::new("t1");
    let all = AllowedRegions::all();
    for (now, is_backed_off) in [(49, true), (50, false)] {
        let chosen = targets.choose(Millis(now), at(now), 1);
        assert_eq!(matches!(chosen, Choice::Send(_)), !is_backed_off);
        let listed = targets.shortlist(Millis(now), at(now), SearchScope::OwnRegion, 1);
        assert_eq!(listed.is_empty(), is_backed_off);
        let observed = [candidate(1, None)];
        let best = targets.best_of(Millis(now), at(now), &observed);
        assert_eq!(best.is_none(), is_backed_off, "the current state counts");
        assert_eq!(targets.is_eligible(&id, at(now)), !is_backed_off);
        assert_eq!(targets.any_eligible(at(now)), !is_backed_off);
        let free = targets.free_slots(Millis(now), &all);
        assert_eq!(free, if is_backed_off { 0.0 } else { 2.0 });
    }
}

#[test]
fn the_earliest_end_of_backoff_is_known_when_no_target_serves() {
    let ends = |any, untried: Option<u64>| {
        Some(BackoffEnds {
            any: Millis(any),
            untried: untried.map(Millis),
        })
    };
    assert_eq!(
        targets(&[Some(50), Some(40)]).backoff_ends(at(10)),
        ends(40, Some(40))
    );
    assert_eq!(targets(&[Some(50), None]).backoff_ends(at(10)), None);
    assert_eq!(targets(&[Some(50), Some(40)]).backoff_ends(at(45)), None);
    // A target that got the request before takes it only when the caller retries.
    let tried = [TargetId::new("t2"), TargetId::new("t1")];
    let needs = |count: usize| Requirements {
        tried: &tried[..count],
        ..at(10)
    };
    let targets = targets(&[Some(50), Some(40)]);
    assert_eq!(targets.backoff_ends(needs(1)), ends(40, Some(50)));
    assert_eq!(targets.backoff_ends(needs(2)), ends(40, None));
}

#[test]
fn a_backoff_applies_to_an_already_listed_target() {
    let mut targets = targets(&[None, None]);
    targets.set_backoff(&TargetId::new("t1"), Some(Millis(50)));
    for random in 0..20 {
        let chosen = targets.choose(Millis(10), at(10), random);
        assert!(matches!(chosen, Choice::Send(c) if c.id == TargetId::new("t2")));
    }
    targets.set_backoff(&TargetId::new("t1"), None);
    assert!(targets.is_eligible(&TargetId::new("t1"), at(10)));
}
