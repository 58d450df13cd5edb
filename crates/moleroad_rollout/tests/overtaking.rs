//! When the fetch of a version is abandoned for a newer one.

use moleroad_rollout::prelude::*;

/// 96 pieces, a tenth of them unreleased, a newer version announced, and the origin
/// down for two seconds.
fn stuck() -> SupersededFetch {
    SupersededFetch {
        pieces: 96,
        missing: 10,
        unreleased: 10,
        is_fallback: false,
        idle_ms: 2_000,
        timeouts: TakeoverTimeouts::for_pieces(24_576, 7.3),
        newer: 1,
        newer_released: false,
        usable_ms: 6_000,
        finish_ms: 900,
    }
}

#[test]
fn missing_pieces_are_awaited_while_the_origin_has_nothing_newer() {
    assert!(!stuck().should_abandon());
}

#[test]
fn a_version_is_abandoned_once_a_newer_one_arrives() {
    let comes = SupersededFetch {
        newer_released: true,
        ..stuck()
    };
    assert!(comes.should_abandon());
    // Not while its own pieces still arrive.
    let progress = SupersededFetch {
        idle_ms: 100,
        ..comes
    };
    assert!(!progress.should_abandon());
}

#[test]
fn a_version_with_too_little_serving_time_left_is_abandoned() {
    let late = SupersededFetch {
        usable_ms: 1_500,
        ..stuck()
    };
    assert!(late.should_abandon());
}

#[test]
fn a_version_whose_missing_pieces_never_arrive_is_abandoned() {
    let away = SupersededFetch {
        idle_ms: 11_000,
        usable_ms: 3_600_000,
        ..stuck()
    };
    assert!(away.should_abandon());
}

#[test]
fn a_version_the_origin_no_longer_has_is_abandoned() {
    let overtaken_twice = SupersededFetch {
        newer: 2,
        ..stuck()
    };
    assert!(overtaken_twice.should_abandon());
}

#[test]
fn a_version_with_few_distributed_pieces_is_abandoned_at_once() {
    let little = SupersededFetch {
        missing: 80,
        unreleased: 70,
        idle_ms: 0,
        ..stuck()
    };
    assert!(little.should_abandon());
    let newest = SupersededFetch { newer: 0, ..little };
    assert!(!newest.should_abandon());
}
