//! Tests of storing and merging the rate limits that targets advertise.

use moleroad_directory::prelude::*;
use moleroad_types::prelude::Millis;

fn id() -> TargetId {
    TargetId::new("i-0")
}

fn record(sequence: u64, born_ms: u64) -> TargetRecord {
    TargetRecord {
        sequence,
        born_ms,
        ..TargetRecord::new(id(), "plain", "127.0.0.1:80".parse().unwrap())
    }
}

/// Returns a directory that knows the target.
fn directory_with_target() -> Directory {
    let mut directory = Directory::new();
    directory.merge_target(Millis(10), record(1, 1_000), 0);
    directory
}

fn rate(per_s: f64) -> Option<RequestRate> {
    Some(RequestRate::per_s(per_s))
}

fn limit(directory: &Directory) -> AdvertisedLimit {
    directory.target(&id()).unwrap().record.limit
}

/// Applies, at `now`, the limit in a response to a request sent at `sent_at`.
fn advertise(directory: &mut Directory, now: u64, sent_at: u64, rate: Option<RequestRate>) -> bool {
    let sent_at = Some(Millis(sent_at));
    directory.update_target_limit(Millis(now), &id(), 1_000, sent_at, rate)
}

#[test]
fn a_rate_is_a_decimal_number() {
    for (text, per_s) in [("1", 1.0), (" 2.25 ", 2.25), ("0", 0.0), (".5", 0.5)] {
        assert_eq!(RequestRate::parse(text), rate(per_s), "{text:?}");
    }
    assert_eq!(RequestRate::parse("0.0004"), rate(0.0));
    for odd in [
        "", ".", "-1", "+1", "1e3", "NaN", "inf", "1,5", "1/s", "many",
    ] {
        assert_eq!(RequestRate::parse(odd), None, "{odd:?}");
    }
    let huge = RequestRate::parse(&"9".repeat(400)).unwrap();
    assert!(huge > RequestRate::per_s(1e12));
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_request_lacks_it() {
    let mut directory = directory_with_target();
    assert!(advertise(&mut directory, 100, 90, rate(2.0)));
    assert!(!advertise(&mut directory, 110, 100, rate(2.0)), "no change");
    // The request was sent before the limit was known, so the response may be older than
    // it.
    assert!(!advertise(&mut directory, 120, 99, None));
    assert!(!advertise(&mut directory, 120, 99, rate(3.0)));
    assert!(
        advertise(&mut directory, 120, 99, rate(1.0)),
        "a stricter limit counts"
    );
    assert_eq!(limit(&directory).rate, rate(1.0));
    let unknown = directory.update_target_limit(Millis(130), &id(), 1_000, None, None);
    assert!(!unknown, "the sending time is unknown");
    assert!(advertise(&mut directory, 130, 120, None));
    assert_eq!(limit(&directory).rate, None);
}

#[test]
fn heartbeats_do_not_change_the_limit_of_a_target() {
    let mut directory = directory_with_target();
    advertise(&mut directory, 100, 90, rate(2.0));
    for sequence in [2, 1] {
        directory.merge_target(Millis(200), record(sequence, 1_000), 0);
        assert_eq!(limit(&directory).rate, rate(2.0));
    }
    directory.merge_target(Millis(300), record(3, 0), 0);
    assert_eq!(limit(&directory).rate, rate(2.0));
}

#[test]
fn a_new_incarnation_does_not_inherit_a_limit() {
    let mut directory = directory_with_target();
    advertise(&mut directory, 100, 90, rate(2.0));
    let former = directory.target(&id()).unwrap().record.clone();
    directory.merge_target(Millis(200), record(1, 2_000), 0);
    assert_eq!(limit(&directory), AdvertisedLimit::default());
    // The former incarnation advertised it; the record arrives late.
    assert!(!advertise(&mut directory, 210, 205, rate(1.0)));
    directory.merge_target(Millis(220), former, 0);
    assert_eq!(limit(&directory), AdvertisedLimit::default());
}

#[test]
fn directories_converge_to_one_limit_in_any_order_of_updates() {
    let with_limit = |revision, per_s: Option<f64>| TargetRecord {
        limit: AdvertisedLimit {
            revision,
            rate: per_s.map(RequestRate::per_s),
        },
        ..record(1, 1_000)
    };
    let records = [
        with_limit(1, Some(2.0)),
        with_limit(2, None),
        with_limit(2, Some(3.0)),
        with_limit(2, Some(1.5)),
    ];
    for first in 0..records.len() {
        let mut directory = directory_with_target();
        for at in 0..records.len() {
            let received = records[(first + at) % records.len()].clone();
            directory.merge_target(Millis(100 + at as u64), received, 0);
        }
        let known = limit(&directory);
        assert_eq!((known.revision, known.rate), (2, rate(1.5)), "{first}");
    }
}

#[test]
fn a_changed_limit_is_propagated() {
    let mut directory = directory_with_target();
    let before = directory.position();
    advertise(&mut directory, 100, 90, rate(2.0));
    assert!(directory.position() > before);
    let forwarded = directory.target(&id()).unwrap().record.clone();
    let mut other = directory_with_target();
    let change = other.merge_target(Millis(500), forwarded.clone(), 0);
    assert_eq!(change, TargetChange::Changed);
    assert_eq!(
        other.merge_target(Millis(600), forwarded, 0),
        TargetChange::Refreshed
    );
    assert_eq!(limit(&other).rate, rate(2.0));
}
