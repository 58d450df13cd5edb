//! When an engine is ordered to load staged weights: single decisions, and schedules of
//! faults around every step in virtual time.

mod engine_model;

use engine_model::{Faults, ReadTimes, Schedule, play};
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::Millis;
use rand::SeedableRng;
use rand::rngs::StdRng;

const PIECES: usize = 4;
/// Longest time for which a piece may have been corrupt when it is loaded.
const MAX_CORRUPT_MS: u64 = 3_000;

/// Returns the proof of a check that began at `began`.
fn intact(began: Millis) -> Option<StagedCheck> {
    let mut reads = CheckReads::begin(began, PIECES);
    for piece in 0..PIECES as u32 {
        reads.record(piece, PieceRead::Intact);
    }
    reads.finish()
}

/// Returns a switch whose engine was checked at `now` and is out of service.
fn withdrawn(now: Millis) -> Switch {
    let mut switch = Switch::new(PIECES);
    let check = switch.next(now, EngineObservation::Ready, true);
    assert_eq!(check, SwitchStep::Check { parallel_reads: 1 });
    switch.record_check(now, intact(now));
    let step = switch.next(now, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Withdraw);
    switch
}

#[test]
fn a_recent_check_permits_one_order() {
    let now = Millis(10_000);
    let mut switch = withdrawn(now);
    let step = switch.next(now + 800, EngineObservation::Ready, true);
    assert!(matches!(step, SwitchStep::Order(_)), "{step:?}");
    let step = switch.next(now + 840, EngineObservation::Busy, true);
    assert_eq!(step, SwitchStep::Wait);
    let step = switch.next(now + 1_200, EngineObservation::Serving, true);
    assert_eq!(step, SwitchStep::Done);
}

/// Guards against layers loaded from pieces that turned bad after their check.
#[test]
fn an_old_check_permits_no_order() {
    let now = Millis(10_000);
    let mut switch = withdrawn(now);
    for busy in [500, 2_000, 4_000] {
        let step = switch.next(now + busy, EngineObservation::Busy, true);
        assert_eq!(step, SwitchStep::Wait);
    }
    let step = switch.next(now + 4_500, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Check { parallel_reads: 1 });
    let checked = now + 4_600;
    switch.record_check(checked, intact(now + 4_500));
    let step = switch.next(checked, EngineObservation::Ready, true);
    assert!(matches!(step, SwitchStep::Order(_)), "{step:?}");
}

/// Guards against an order on a check that another life of the engine passed.
#[test]
fn a_check_ends_with_the_engine_that_passed_it() {
    let now = Millis(10_000);
    let mut switch = withdrawn(now);
    let step = switch.next(now + 100, EngineObservation::Silent, true);
    assert_eq!(step, SwitchStep::Restore);
    let step = switch.next(now + 200, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Check { parallel_reads: 1 });
}

/// Guards against an engine that is kept out of service since its store does not answer.
#[test]
fn an_engine_whose_store_does_not_answer_is_put_back_into_service() {
    let now = Millis(10_000);
    let mut switch = withdrawn(now);
    let step = switch.next(now + 3_000, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Check { parallel_reads: 1 });
    switch.record_check(now + 3_100, None);
    let step = switch.next(now + 3_100, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Restore);
    let step = switch.next(now + 3_140, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Check { parallel_reads: 1 });
    switch.record_check(now + 3_200, None);
    let step = switch.next(now + 3_200, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Wait);
}

#[test]
fn an_engine_that_leaves_is_not_ordered_any_more() {
    let now = Millis(10_000);
    let mut switch = withdrawn(now);
    let step = switch.next(now + 100, EngineObservation::Leaving, true);
    assert_eq!(step, SwitchStep::Restore);
    let step = switch.next(now + 200, EngineObservation::Leaving, true);
    assert_eq!(step, SwitchStep::Wait);
}

#[test]
fn an_order_without_effect_is_repeated_only_after_a_new_check() {
    let now = Millis(10_000);
    let mut switch = withdrawn(now);
    let step = switch.next(now, EngineObservation::Ready, true);
    assert!(matches!(step, SwitchStep::Order(_)), "{step:?}");
    let step = switch.next(now + 1_000, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Wait);
    let step = switch.next(now + 1_600, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Restore);
    let step = switch.next(now + 1_640, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Check { parallel_reads: 1 });
}

#[test]
fn a_check_that_is_old_when_it_ends_is_repeated_with_more_reads_at_a_time() {
    let mut now = Millis(10_000);
    let mut switch = Switch::new(PIECES);
    for expected in [1, 2, 4] {
        let step = switch.next(now, EngineObservation::Ready, true);
        assert_eq!(
            step,
            SwitchStep::Check {
                parallel_reads: expected
            }
        );
        let began = now;
        now = now + 5_000;
        switch.record_check(now, intact(began));
    }
    // More at a time is not possible: an engine out of service may be faster.
    let step = switch.next(now, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Withdraw);
    let step = switch.next(now, EngineObservation::Ready, true);
    assert_eq!(step, SwitchStep::Check { parallel_reads: 4 });
}

#[test]
fn only_reads_of_all_pieces_make_a_check() {
    let now = Millis(10_000);
    let mut reads = CheckReads::begin(now, 2);
    assert_eq!(reads.unproven(), vec![0, 1]);
    reads.record(0, PieceRead::Intact);
    assert_eq!(reads.finish(), None);
    reads.record(1, PieceRead::Corrupt);
    assert_eq!(reads.finish(), None);
    assert_eq!(reads.with(PieceRead::Corrupt), vec![1]);
    reads.record(1, PieceRead::Intact);
    let check = reads.finish().expect("all pieces were read intact");
    assert_eq!(check.age_ms(now + 700), 700);
}

/// Plays schedules and returns the longest time for which a loaded piece had been corrupt.
fn play_schedules(seeds: std::ops::Range<u64>, faults: Faults) -> u64 {
    let mut worst_ms = 0;
    for seed in seeds {
        let mut random = StdRng::seed_from_u64(seed);
        let schedule = Schedule::random(&mut random, faults);
        let outcome = play(&schedule, &mut random);
        assert!(
            outcome.is_served,
            "seed {seed}: not served after the faults ended"
        );
        worst_ms = worst_ms.max(outcome.longest_corrupt_ms);
        assert!(
            outcome.longest_corrupt_ms <= MAX_CORRUPT_MS,
            "seed {seed}: a piece had been corrupt for {} ms when it was loaded",
            outcome.longest_corrupt_ms
        );
    }
    worst_ms
}

/// Guards against layers loaded from pieces that had been corrupt for longer than allowed,
/// whatever fails between which steps of a switch.
#[test]
fn no_schedule_of_faults_makes_an_engine_load_a_piece_that_was_corrupt_for_long() {
    let faults = Faults {
        read_times: ReadTimes::Fast,
    };
    play_schedules(0..3_000, faults);
}

#[test]
fn a_slow_store_delays_a_switch_and_lets_no_corrupt_piece_through() {
    let faults = Faults {
        read_times: ReadTimes::Slow,
    };
    play_schedules(10_000..13_000, faults);
}
