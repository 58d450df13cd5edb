//! When the fetch of a version is abandoned for a newer one.

use moleroad_rollout::prelude::*;

/// 96 pieces, a tenth of them unreleased, a newer version announced, and the origin
/// down for two seconds.
fn stalled_fetch() -> SupersededFetch {
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
    assert!(!stalled_fetch().should_abandon());
}

#[test]
fn a_version_is_abandoned_once_a_newer_one_arrives() {
    let newer_available = SupersededFetch {
        newer_released: true,
        ..stalled_fetch()
    };
    assert!(newer_available.should_abandon());
    // Not while its own pieces still arrive.
    let progress = SupersededFetch {
        idle_ms: 100,
        ..newer_available
    };
    assert!(!progress.should_abandon());
}

#[test]
fn a_version_with_too_little_serving_time_left_is_abandoned() {
    let late = SupersededFetch {
        usable_ms: 1_500,
        ..stalled_fetch()
    };
    assert!(late.should_abandon());
}

#[test]
fn a_version_whose_missing_pieces_never_arrive_is_abandoned() {
    let stalled = SupersededFetch {
        idle_ms: 11_000,
        usable_ms: 3_600_000,
        ..stalled_fetch()
    };
    assert!(stalled.should_abandon());
}

#[test]
fn a_version_the_origin_no_longer_has_is_abandoned() {
    let superseded_twice = SupersededFetch {
        newer: 2,
        ..stalled_fetch()
    };
    assert!(superseded_twice.should_abandon());
}

#[test]
fn a_version_with_few_distributed_pieces_is_abandoned_at_once() {
    let little = SupersededFetch {
        missing: 80,
        unreleased: 70,
        idle_ms: 0,
        ..stalled_fetch()
    };
    assert!(little.should_abandon());
    let newest = SupersededFetch { newer: 0, ..little };
    assert!(!newest.should_abandon());
}
