//! Choice among engines whose agents are queried, and reachability of targets.

mod support;

use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use support::candidate;

const PREFILL: PrefillSpeed = PrefillSpeed {
    tokens_per_ms: 30.0,
    typical_prompt_tokens: 900.0,
    steps_ms: 40.0,
    tokens_per_pass: 2_048.0,
};

fn engine(name: &str, distance: Distance) -> Candidate {
    Candidate {
        slots: 16,
        max_own: 16,
        share: 2,
        agent: Some("127.0.0.1:2".parse().unwrap()),
        ..candidate(name, distance)
    }
}

/// Six engines in the own region and four in others, all with agents.
fn engines() -> Targets {
    let near = (0..6).map(|index| engine(&format!("near-{index}"), Distance::SameHall));
    let far = (0..4).map(|index| engine(&format!("far-{index}"), Distance::OtherRegion));
    let mut targets = Targets::default();
    targets.prefill = Some(PREFILL);
    targets.set(near.chain(far).collect());
    targets
}

#[test]
fn a_shortlist_holds_a_few_engines_of_one_search_scope() {
    let targets = engines();
    assert!(targets.have_agents());
    let mut sampled = std::collections::BTreeSet::new();
    for random in 0..200_u64 {
        let random = random.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let near = targets.shortlist(
            Millis(0),
            Requirements::default(),
            SearchScope::OwnRegion,
            random,
        );
        let far = targets.shortlist(
            Millis(0),
            Requirements::default(),
            SearchScope::OtherRegions,
            random,
        );
        assert_eq!((near.len(), far.len()), (3, 2));
        assert!(near.iter().all(|c| c.id.as_str().starts_with("near")));
        assert!(far.iter().all(|c| c.id.as_str().starts_with("far")));
        sampled.extend(near.into_iter().chain(far).map(|c| c.id));
    }
    assert_eq!(sampled.len(), 10, "every engine is sampled");
}

#[test]
fn a_fresh_report_overrides_the_slot_shares_and_a_stale_one_does_not() {
    let mut targets = engines();
    let only = [engine("near-0", Distance::SameHall)];
    let id = &only[0].id;
    targets.record_report(Millis(0), id, 14, 0);
    // Beyond its own two slots, an entry sends only on a current report.
    targets.started(Millis(0), id, 100);
    targets.started(Millis(0), id, 100);
    targets.record_report(Millis(10), id, 14, 0);
    let best =
        |targets: &Targets, now| targets.best_of(Millis(now), Requirements::default(), &only);
    assert!(best(&targets, 20).is_some());
    assert!(best(&targets, 200).is_none());
    targets.record_report(Millis(300), id, 16, 0);
    assert!(best(&targets, 301).is_none(), "no slot is free");
}

#[test]
fn the_engine_with_the_smallest_prefill_backlog_is_chosen() {
    let mut targets = engines();
    let shortlisted: Vec<Candidate> = (0..3)
        .map(|index| engine(&format!("near-{index}"), Distance::SameHall))
        .collect();
    for (candidate, queued) in shortlisted.iter().zip([2, 0, 1]) {
        targets.record_report(Millis(0), &candidate.id, 8, queued);
    }
    let best = targets.best_of(Millis(1), Requirements::default(), &shortlisted);
    let best = best.expect("slots are free");
    assert_eq!(best.id.as_str(), "near-1");
    assert!(targets.is_good_enough(Millis(1), &best));
    assert!(!targets.is_good_enough(Millis(1), &shortlisted[0]));
}

#[test]
fn a_silent_agent_is_not_asked_until_it_is_heard_again() {
    let mut targets = engines();
    let id = TargetId::new("near-0");
    targets.agent_timed_out(Millis(0), &id);
    assert!(targets.load(&id).agent_is_backed_off(Millis(299)));
    assert!(!targets.load(&id).agent_is_backed_off(Millis(300)));
    targets.agent_timed_out(Millis(400), &id);
    targets.record_report(Millis(410), &id, 0, 0);
    assert!(!targets.load(&id).agent_is_backed_off(Millis(420)));
}

/// Returns whether the only target is reachable at `now`, after sends with these
/// outcomes.
fn is_reachable(ends: &[(u64, Outcome)], now: u64) -> bool {
    let mut targets = Targets::default();
    targets.set(vec![candidate("a", Distance::SameHall)]);
    for (at, outcome) in ends {
        targets.started(Millis(*at), &TargetId::new("a"), 0);
        targets.finished(Millis(*at), &TargetId::new("a"), *outcome);
    }
    targets.any_reachable(Millis(now), Requirements::default())
}

#[test]
fn a_target_is_unreachable_while_connections_fail_and_is_tried_again_soon() {
    use Outcome::*;
    // Concurrent failed connections count as one failure.
    assert!(is_reachable(&[(0, Unreachable), (10, Unreachable)], 20));
    let failing = [(0, Unreachable), (450, Unreachable)];
    assert!(!is_reachable(&failing, 460));
    assert!(!is_reachable(&failing, 1_249));
    assert!(is_reachable(&failing, 1_250));
    assert!(!is_reachable(
        &[failing[0], failing[1], (1_300, Unreachable)],
        1_310
    ));
    // A target that answers, even with a failure, is reachable.
    for outcome in [Answered, Failed, Broken, Rejected] {
        assert!(is_reachable(&[failing[0], failing[1], (455, outcome)], 460));
    }
    assert!(!is_reachable(
        &[failing[0], failing[1], (455, Abandoned)],
        460
    ));
}

#[test]
fn a_target_with_a_silent_agent_does_not_count_as_idle() {
    let mut targets = engines();
    let shortlisted = [0, 1].map(|index| engine(&format!("near-{index}"), Distance::SameHall));
    let [silent, busy] = [&shortlisted[0].id, &shortlisted[1].id];
    targets.record_report(Millis(0), silent, 4, 0);
    // Its report has expired, while an engine with some load answers.
    for at in [5_000, 5_300, 5_600] {
        targets.agent_timed_out(Millis(at), silent);
    }
    targets.record_report(Millis(5_600), busy, 8, 1);
    let best = |targets: &Targets| {
        let best = targets.best_of(Millis(5_601), Requirements::default(), &shortlisted);
        best.map(|candidate| candidate.id)
    };
    assert_eq!(best(&targets).as_ref(), Some(busy));
    targets.record_report(Millis(5_601), silent, 4, 0);
    assert_eq!(
        best(&targets).as_ref(),
        Some(silent),
        "its agent answers again"
    );
    assert!(
        targets
            .best_of(Millis(5_601), Requirements::default(), &shortlisted[..1])
            .is_some(),
        "better than none"
    );
}

#[test]
fn an_unreachable_target_is_not_used_when_the_others_are_full() {
    let mut targets = engines();
    let shortlisted = [0, 1].map(|index| engine(&format!("near-{index}"), Distance::SameHall));
    let [silent, full] = [&shortlisted[0].id, &shortlisted[1].id];
    targets.record_report(Millis(300), full, 16, 4);
    let sent = |targets: &Targets, shortlisted: &[Candidate]| {
        let best = targets.best_of(Millis(301), Requirements::default(), shortlisted);
        best.map(|candidate| candidate.id)
    };
    targets.agent_timed_out(Millis(0), silent);
    assert_eq!(
        sent(&targets, &shortlisted).as_ref(),
        Some(silent),
        "one answer may be lost"
    );
    targets.agent_timed_out(Millis(10), silent);
    assert_eq!(
        sent(&targets, &shortlisted).as_ref(),
        Some(silent),
        "concurrent timeouts count once"
    );
    targets.agent_timed_out(Millis(300), silent);
    assert_eq!(sent(&targets, &shortlisted), None);
    assert_eq!(
        sent(&targets, &shortlisted[..1]).as_ref(),
        Some(silent),
        "all candidates are presumed unreachable"
    );
    targets.record_report(Millis(301), silent, 0, 0);
    assert_eq!(
        sent(&targets, &shortlisted).as_ref(),
        Some(silent),
        "its agent answers again"
    );
}

#[test]
fn an_unreachable_target_is_shortlisted_again_when_its_agent_may_be_asked() {
    let mut targets = engines();
    let id = TargetId::new("near-0");
    let is_sampled = |targets: &Targets, now| {
        (0..200).any(|random| {
            let sampled = targets.shortlist(
                Millis(now),
                Requirements::default(),
                SearchScope::OwnRegion,
                random,
            );
            sampled.iter().any(|candidate| candidate.id == id)
        })
    };
    targets.agent_refused(Millis(0), &id);
    targets.agent_refused(Millis(300), &id);
    assert!(is_sampled(&targets, 301), "its agent is being started");
    targets.agent_timed_out(Millis(600), &id);
    assert!(is_sampled(&targets, 601));
    targets.agent_timed_out(Millis(900), &id);
    assert!(!is_sampled(&targets, 901));
    assert!(is_sampled(&targets, 1_200));
}

#[test]
fn a_target_is_reachable_again_when_its_agent_is_no_longer_asked() {
    let mut targets = engines();
    let shortlisted = [0, 1].map(|index| engine(&format!("near-{index}"), Distance::SameHall));
    let [silent, full] = [&shortlisted[0].id, &shortlisted[1].id];
    for at in [0, 300] {
        targets.agent_timed_out(Millis(at), silent);
    }
    let sent = |targets: &mut Targets, now| {
        targets.record_report(Millis(now), full, 16, 4);
        let best = targets.best_of(Millis(now), Requirements::default(), &shortlisted);
        best.map(|candidate| candidate.id)
    };
    assert_eq!(sent(&mut targets, 3_299), None);
    assert_eq!(sent(&mut targets, 3_300).as_ref(), Some(silent));
    // Expired timeouts do not add to a new one.
    targets.agent_timed_out(Millis(3_400), silent);
    assert_eq!(sent(&mut targets, 3_401).as_ref(), Some(silent));
}
