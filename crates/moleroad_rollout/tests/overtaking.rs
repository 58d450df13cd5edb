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
fn the_rest_of_a_copy_is_waited_for_while_the_origin_gives_nothing_newer() {
    assert!(!stalled_fetch().should_abandon());
}

#[test]
fn a_version_is_given_up_once_the_newer_one_comes() {
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
fn a_version_that_could_hardly_be_served_is_given_up() {
    let late = SupersededFetch {
        usable_ms: 1_500,
        ..stalled_fetch()
    };
    assert!(late.should_abandon());
}

#[test]
fn a_version_whose_rest_stays_away_is_given_up_however_long_it_could_be_served() {
    let stalled = SupersededFetch {
        idle_ms: 11_000,
        usable_ms: 3_600_000,
        ..stalled_fetch()
    };
    assert!(stalled.should_abandon());
}

#[test]
fn a_version_that_the_origin_no_longer_has_is_given_up() {
    let superseded_twice = SupersededFetch {
        newer: 2,
        ..stalled_fetch()
    };
    assert!(superseded_twice.should_abandon());
}

#[test]
fn a_version_of_which_little_is_out_is_given_up_at_once() {
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
