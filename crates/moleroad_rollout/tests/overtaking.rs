//! When a version is given up for a newer one.

use moleroad_rollout::prelude::*;

/// 96 pieces, a tenth of them not out, a newer version named, the origin away
/// for two seconds.
fn stuck() -> Overtaking {
    Overtaking {
        pieces: 96,
        missing: 10,
        not_out: 10,
        is_fallback: false,
        idle_ms: 2_000,
        patience: Patience::for_pieces(24_576, 7.3),
        newer: 1,
        newer_comes: false,
        usable_ms: 6_000,
        finish_ms: 900,
    }
}

#[test]
fn the_rest_of_a_copy_is_waited_for_while_the_origin_gives_nothing_newer() {
    assert!(!stuck().gives_up());
}

#[test]
fn a_version_is_given_up_once_the_newer_one_comes() {
    let comes = Overtaking {
        newer_comes: true,
        ..stuck()
    };
    assert!(comes.gives_up());
    // Not while its own pieces still come.
    let progress = Overtaking {
        idle_ms: 100,
        ..comes
    };
    assert!(!progress.gives_up());
}

#[test]
fn a_version_that_could_hardly_be_served_is_given_up() {
    let late = Overtaking {
        usable_ms: 1_500,
        ..stuck()
    };
    assert!(late.gives_up());
}

#[test]
fn a_version_whose_rest_stays_away_is_given_up_however_long_it_could_be_served() {
    let away = Overtaking {
        idle_ms: 11_000,
        usable_ms: 3_600_000,
        ..stuck()
    };
    assert!(away.gives_up());
}

#[test]
fn a_version_that_the_origin_no_longer_has_is_given_up() {
    let overtaken_twice = Overtaking {
        newer: 2,
        ..stuck()
    };
    assert!(overtaken_twice.gives_up());
}

#[test]
fn a_version_of_which_little_is_out_is_given_up_at_once() {
    let little = Overtaking {
        missing: 80,
        not_out: 70,
        idle_ms: 0,
        ..stuck()
    };
    assert!(little.gives_up());
    let newest = Overtaking { newer: 0, ..little };
    assert!(!newest.gives_up());
}
