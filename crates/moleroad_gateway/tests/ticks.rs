//! When an event can have occurred that a process notices late.

use moleroad_gateway::ticks::Ticks;
use moleroad_types::prelude::Millis;

const START: Millis = Millis(1_000_000);

#[test]
fn without_two_ticks_an_event_counts_as_handled_at_once() {
    let mut ticks = Ticks::default();
    assert_eq!(ticks.earliest_event(START), START);
    ticks.tick(START);
    assert_eq!(ticks.earliest_event(START + 10), START + 10);
}

#[test]
fn an_event_may_be_as_old_as_the_last_tick_but_one() {
    let mut ticks = Ticks::default();
    for at in [0, 50, 100] {
        ticks.tick(START + at);
    }
    assert_eq!(ticks.earliest_event(START + 120), START + 50);
}

// Guards against taking the tick right after a pause for a sign that the process ran
// before the event.
#[test]
fn an_event_during_a_pause_may_be_as_old_as_the_tick_before_it() {
    let mut ticks = Ticks::default();
    for at in [0, 50, 2_100] {
        ticks.tick(START + at);
    }
    assert_eq!(ticks.earliest_event(START + 2_100), START + 50);
}
