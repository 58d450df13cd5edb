//! For how long a source that refused is left alone.

use moleroad_rollout::prelude::*;
use moleroad_types::prelude::Millis;

#[test]
fn a_source_that_refuses_gets_an_increasing_backoff() {
    let mut backoff = Backoff::default();
    let mut now = Millis(0);
    let mut calls = 0;
    while now < Millis(10_000) {
        if !backoff.is_active(now) {
            calls += 1;
            backoff.record_result(now, false, 0);
        }
        now = now + 10;
    }
    assert!(calls < 25, "{calls} calls");
    assert!(calls > 8, "{calls} calls");
    backoff.record_result(now, true, 0);
    assert!(!backoff.is_active(now));
}

#[test]
fn an_origin_backoff_lasts_as_requested_and_can_be_ended() {
    let mut backoff = Backoff::with_max(400);
    for _ in 0..10 {
        backoff.record_result(Millis(0), false, 399);
        backoff.reset();
    }
    let mut now = Millis(0);
    for _ in 0..10 {
        while backoff.is_active(now) {
            now = now + 1;
        }
        backoff.record_result(now, false, 399);
    }
    // Half of the maximum, plus the random part.
    assert!(backoff.is_active(now + 590) && !backoff.is_active(now + 600));
    backoff.reset();
    assert!(!backoff.is_active(now));
}
