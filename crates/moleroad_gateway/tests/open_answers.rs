//! What is learned from answers: how long the next one is likely to take.

use moleroad_config::prelude::{Repeatability, Route};
use moleroad_gateway::clock::Clock;
use moleroad_gateway::connections::open_answers::{OpenAnswer, OpenAnswerGuard, OpenAnswers};
use moleroad_types::prelude::{AllowedRegions, Millis};
use std::sync::Arc;

const ROUTE: &str = "chat";
/// Number of answers of which one more or less does not matter.
const MANY: usize = 200;

fn route() -> Arc<Route> {
    Arc::new(Route {
        name: ROUTE.into(),
        host: "host".into(),
        prefix: "/".into(),
        weighted_services: Vec::new(),
        repeatability: Repeatability::Idempotent,
        streaming: true,
        resumable: true,
        timeout_ms: 6_000,
        target_latency_ms: 300,
        target_pause_ms: 0,
        max_attempts: 2,
        priority: 1,
        public: true,
        allowed_regions: AllowedRegions::all(),
    })
}

/// Begins an answer to a request that arrived `age_ms` ago and was sent to a target.
fn begin(answers: &OpenAnswers, clock: Clock, age_ms: u64) -> OpenAnswerGuard {
    let arrived = Millis(clock.now().0 - age_ms);
    let open = answers.begin(OpenAnswer::new(None, arrived));
    open.set_route(&route(), arrived + 6_000);
    open.progress().record_send(arrived);
    open
}

fn complete_answers(answers: &OpenAnswers, clock: Clock, count: usize, age_ms: u64) {
    for _ in 0..count {
        let open = begin(answers, clock, age_ms);
        open.progress().record_target_answer();
        open.complete();
    }
}

#[test]
fn the_likely_time_is_that_of_nearly_all_answers() {
    let clock = Clock::default();
    let answers = OpenAnswers::new(clock);
    assert_eq!(answers.likely_ms(ROUTE), None);
    complete_answers(&answers, clock, 1, 5_000);
    assert!(answers.likely_ms(ROUTE).expect("a time") >= 5_000);
    complete_answers(&answers, clock, MANY, 2_000);
    let likely_ms = answers.likely_ms(ROUTE).expect("a time");
    assert!((2_000..3_000).contains(&likely_ms), "{likely_ms}");
    assert_eq!(answers.likely_ms("other"), None);
    assert_eq!(answers.count(), 0);
}

// Guards against taking refusals and cut answers for short ones.
#[test]
fn only_whole_answers_of_targets_tell_how_long_they_take() {
    let clock = Clock::default();
    let answers = OpenAnswers::new(clock);
    complete_answers(&answers, clock, MANY, 2_000);
    for _ in 0..100 * MANY {
        begin(&answers, clock, 0).complete();
        let cut = begin(&answers, clock, 0);
        cut.progress().record_target_answer();
        drop(cut);
    }
    assert!(answers.likely_ms(ROUTE).expect("a time") >= 2_000);
}

// Guards against an expectation from before the targets became slower.
#[test]
fn answers_that_are_open_for_longer_raise_the_likely_time() {
    let clock = Clock::default();
    let answers = OpenAnswers::new(clock);
    complete_answers(&answers, clock, MANY, 100);
    let slow = MANY / 20;
    let open: Vec<OpenAnswerGuard> = (0..slow).map(|_| begin(&answers, clock, 4_000)).collect();
    assert!(answers.likely_ms(ROUTE).expect("a time") >= 4_000);
    drop(open);
    assert!(answers.likely_ms(ROUTE).expect("a time") < 1_000);
}
