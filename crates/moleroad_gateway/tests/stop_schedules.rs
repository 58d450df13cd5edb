//! A stopping entry in virtual time: whatever its answers took before, none that it
//! begins is cut, apart from those that the platform excuses.
//!
//! `STOP_SEEDS=10000` plays that many schedules by hand.

use moleroad_gateway::answer_times::AnswerTimes;
use moleroad_gateway::settings::RoleSetting;
use moleroad_gateway::stop::{PendingRequest, StopPlan};
use moleroad_gateway::ticks::Ticks;
use moleroad_types::prelude::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::iter;

const DEFAULT_SEEDS: u64 = 500;
/// The signal is sent then.
const SENT_AT: Millis = Millis(2_000_000);
/// Time from the signal to the end of the process by force, in milliseconds.
const GRACE_MS: u64 = 8_000;
/// A cut is excused if the request was sent within this time of the signal, in
/// milliseconds, and its target still works on it in the last sixth of the grace period.
const EXCUSED_MS: u64 = 3_000;
const LAST_SIXTH_MS: u64 = GRACE_MS * 5 / 6;
/// Interval between the requests after the signal, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Interval between the passes of the process's housekeeping, in milliseconds.
const TICK_MS: u64 = 50;
/// Longest time for which the process stands still around the signal, in milliseconds.
const MAX_FREEZE_MS: u64 = 2_000;
/// Usual duration of an answer, in milliseconds.
const USUAL_MS: u64 = 100;
const ROUTE: &str = "chat";

/// One request and what its target makes of it.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent: Millis,
    limit_ms: u64,
    duration_ms: u64,
    is_idempotent: bool,
}

/// The process around the signal.
struct Process {
    /// It stands still from here to `thawed`, which is the same if it does not.
    frozen: Millis,
    thawed: Millis,
    plan: StopPlan,
    times: AnswerTimes,
}

impl Process {
    fn new(random: &mut StdRng) -> Self {
        let freeze_ms = if random.random_bool(0.5) {
            random.random_range(0..MAX_FREEZE_MS)
        } else {
            random.random_range(0..TICK_MS)
        };
        let before_ms = random.random_range(0..=freeze_ms);
        let frozen = Millis(SENT_AT.0 - before_ms);
        let thawed = frozen + freeze_ms;
        let mut ticks = Ticks::default();
        let phase_ms = random.random_range(0..TICK_MS);
        for back in (0..4).rev() {
            ticks.tick(Millis(frozen.0 - phase_ms - back * TICK_MS));
        }
        if random.random_bool(0.5) {
            ticks.tick(thawed);
        }
        let may_be_sent_at = ticks.earliest_event(thawed);
        assert!(may_be_sent_at <= SENT_AT);
        Self {
            frozen,
            thawed,
            plan: StopPlan::new(thawed, may_be_sent_at, GRACE_MS, RoleSetting::Entry),
            times: earlier_answers(random, thawed),
        }
    }

    /// The process ends then, by itself or by force.
    fn ends_at(&self) -> Millis {
        self.plan.exits_at.min(SENT_AT + GRACE_MS)
    }

    /// Returns when the process reads a request.
    fn reads_at(&self, request: &Request) -> Millis {
        let is_frozen = request.sent >= self.frozen;
        if is_frozen {
            request.sent.max(self.thawed)
        } else {
            request.sent
        }
    }

    fn begins(&mut self, request: &Request, arrived: Millis) -> bool {
        let pending = PendingRequest {
            received: arrived,
            until: arrived + request.limit_ms,
            likely_ms: self.times.likely_ms(arrived, ROUTE, iter::empty()),
            is_idempotent: request.is_idempotent,
        };
        self.plan.may_begin(arrived, pending)
    }
}

/// Answers from before the signal: none, a few or many, all of them short.
fn earlier_answers(random: &mut StdRng, now: Millis) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    let count = [0, 5, 100, 1_000][random.random_range(0..4)];
    for _ in 0..count {
        times.record(now, ROUTE, random.random_range(USUAL_MS / 2..2 * USUAL_MS));
    }
    times
}

fn request(random: &mut StdRng, sent: Millis, slowdown: u64) -> Request {
    let factor = [1, 1, 1, 3, 10, 20, 60][random.random_range(0..7)];
    Request {
        sent,
        limit_ms: [200, 1_500, 6_000, 6_000, 60_000][random.random_range(0..5)],
        duration_ms: USUAL_MS * factor * slowdown,
        is_idempotent: random.random_bool(0.7),
    }
}

/// Plays one stop; returns the number of requests that were begun and cut.
fn play(seed: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let mut process = Process::new(&mut random);
    let slowdown = [1, 8][random.random_range(0..2)];
    let mut cut = 0;
    for after_ms in (0..GRACE_MS).step_by(REQUEST_INTERVAL_MS as usize) {
        let request = request(&mut random, SENT_AT + after_ms, slowdown);
        let arrived = process.reads_at(&request);
        // What is read together with the signal may be handled before it.
        let is_read_first = arrived == process.thawed && random.random_bool(0.5);
        if arrived >= process.ends_at() || !(is_read_first || process.begins(&request, arrived)) {
            continue;
        }
        let work_ends = arrived + request.duration_ms;
        let until = arrived + request.limit_ms;
        if work_ends.min(until) < process.ends_at() {
            continue;
        }
        cut += 1;
        let is_early = request.sent <= SENT_AT + EXCUSED_MS;
        let is_at_work = work_ends >= SENT_AT + LAST_SIXTH_MS;
        assert!(
            is_early && is_at_work,
            "seed {seed}: {request:?} was cut, {} ms after the signal",
            request.sent.since(SENT_AT)
        );
        assert!(
            request.is_idempotent || is_read_first,
            "seed {seed}: {request:?} may run once and was cut"
        );
    }
    cut
}

// Guards against beginning a request whose end is only estimated.
#[test]
fn a_stop_cuts_no_request_that_came_after_the_excused_time() {
    let seeds = std::env::var("STOP_SEEDS").ok();
    let seeds = seeds.map_or(DEFAULT_SEEDS, |text| text.parse().expect("a number"));
    let cut: usize = (0..seeds).map(play).sum();
    println!("{seeds} schedules: {cut} cut, all of them excused");
}
