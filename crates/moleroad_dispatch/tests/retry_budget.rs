//! Unit tests of the retry budget that entries share.

use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;

#[test]
fn repeats_of_all_entries_stay_within_the_bound_in_every_window() {
    let params = RetryBudgetParams {
        ratio: 0.2,
        slack: 100.0,
        window_ms: 10_000,
    };
    let entries = 9;
    let mut budgets: Vec<SharedRetryBudget> = (0..entries)
        .map(|_| SharedRetryBudget::new(params))
        .collect();
    let mut sent_requests: Vec<(u64, bool)> = Vec::new();
    for now in 0..60_000_u64 {
        let budget = &mut budgets[(now % entries as u64) as usize];
        if now % 5 == 0 {
            budget.note_request(Millis(now));
            sent_requests.push((now, false));
        }
        if budget.try_take(Millis(now), entries) {
            sent_requests.push((now, true));
        }
    }
    for start in (0..50_000).step_by(500) {
        let in_window = |is_retry| {
            let window = start..start + params.window_ms;
            let sent = sent_requests.iter();
            sent.filter(|(at, retry)| window.contains(at) && *retry == is_retry)
                .count()
        };
        let (retries, requests) = (in_window(true), in_window(false));
        let bound = params.ratio * requests as f64 + params.slack;
        assert!(retries as f64 <= bound, "at {start}: {retries}");
    }
}
