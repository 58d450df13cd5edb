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

fn life(id: &str, born_ms: u64) -> Responder {
    Responder {
        address: address(1),
        target: TargetId::new(id),
        born_ms,
    }
}

fn candidate(number: u16, rests_until: Option<Millis>) -> Candidate {
    Candidate {
        address: address(number),
        version: None,
        backoff_until: rests_until,
        ..support::target(&format!("t{number}"), 2)
    }
}

fn targets(rests: &[Option<u64>]) -> Targets {
    let mut targets = Targets::default();
    let rests = rests.iter().enumerate();
    let candidates = rests.map(|(number, until)| candidate(number as u16 + 1, until.map(Millis)));
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
    let read = [
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
    for (text, expected) in read {
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
    let mut rests = TargetBackoffs::default();
    rests.record(Millis(100), life("t", 7), ANSWERED, 3_000);
    rests.record(Millis(200), life("t", 7), ANSWERED, 50);
    assert_eq!(rests.until(Millis(300), &life("t", 7)), Some(Millis(3_100)));
    rests.record(Millis(400), life("t", 7), ANSWERED, 5_000);
    assert_eq!(rests.until(Millis(500), &life("t", 7)), Some(Millis(5_400)));
    assert_eq!(rests.until(Millis(5_400), &life("t", 7)), None);
}

#[test]
fn a_backoff_ends_with_the_incarnation_that_requested_it() {
    let mut rests = TargetBackoffs::default();
    rests.record(Millis(100), life("t", 7), ANSWERED, 3_000);
    assert_eq!(rests.until(Millis(200), &life("t", ANSWERED + 1)), None);
    // Another target at the same address, started since.
    assert_eq!(rests.until(Millis(200), &life("u", ANSWERED + 1)), None);
    // The backoff applies only to the address that answered.
    let elsewhere = Responder {
        address: address(2),
        ..life("t", 7)
    };
    assert_eq!(rests.until(Millis(200), &elsewhere), None);
}

#[test]
fn a_backoff_requested_before_the_first_heartbeat_is_kept() {
    let mut rests = TargetBackoffs::default();
    rests.record(Millis(100), life("t", 7), ANSWERED, 3_000);
    let until = Some(Millis(3_100));
    assert_eq!(rests.until(Millis(200), &life("t", ANSWERED - 1)), until);
    assert_eq!(rests.until(Millis(200), &life("u", ANSWERED - 1)), until);
    // A backoff recorded under the previous start time is not shortened by a shorter
    // one.
    rests.record(Millis(300), life("t", ANSWERED - 1), ANSWERED + 200, 10);
    assert_eq!(rests.until(Millis(400), &life("t", ANSWERED - 1)), until);
}

#[test]
fn a_target_without_a_start_time_is_identified_by_its_id() {
    let mut rests = TargetBackoffs::default();
    rests.record(Millis(100), life("t", 0), ANSWERED, 3_000);
    let until = Some(Millis(3_100));
    assert_eq!(rests.until(Millis(200), &life("t", 0)), until);
    assert_eq!(rests.until(Millis(200), &life("t", 9)), until);
    assert_eq!(rests.until(Millis(200), &life("u", 9)), None);
    let record = TargetRecord::new(TargetId::new("t"), "service", address(1));
    assert_eq!(rests.until(Millis(200), &Responder::of(&record)), until);
}

#[test]
fn a_target_in_backoff_is_never_chosen_before_the_backoff_ends() {
    let targets = targets(&[Some(50)]);
    let id = TargetId::new("t1");
    let all = AllowedRegions::all();
    for (now, rests) in [(49, true), (50, false)] {
        let chosen = targets.choose(Millis(now), at(now), 1);
        assert_eq!(matches!(chosen, Choice::Send(_)), !rests);
        let listed = targets.shortlist(Millis(now), at(now), SearchScope::OwnRegion, 1);
        assert_eq!(listed.is_empty(), rests);
        let looked_at = [candidate(1, None)];
        let best = targets.best_of(Millis(now), at(now), &looked_at);
        assert_eq!(best.is_none(), rests, "the current state counts");
        assert_eq!(targets.is_eligible(&id, at(now)), !rests);
        assert_eq!(targets.any_eligible(at(now)), !rests);
        let free = targets.free_slots(Millis(now), &all);
        assert_eq!(free, if rests { 0.0 } else { 2.0 });
    }
}

#[test]
fn the_earliest_end_of_backoff_is_known_when_no_target_serves() {
    let rested = |any, untried: Option<u64>| {
        Some(BackoffEnds {
            any: Millis(any),
            untried: untried.map(Millis),
        })
    };
    assert_eq!(
        targets(&[Some(50), Some(40)]).backoff_ends(at(10)),
        rested(40, Some(40))
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
    assert_eq!(targets.backoff_ends(needs(1)), rested(40, Some(50)));
    assert_eq!(targets.backoff_ends(needs(2)), rested(40, None));
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
