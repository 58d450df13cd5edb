//! Tests how an entry handles a quarantined request, under which targets terminated:
//! on arrival, while it waits for a slot, and while a target runs it.

mod support;

use moleroad_directory::prelude::TargetId;
use moleroad_gateway::acquire::acquire;
use moleroad_gateway::control_state::{ControlCommand, ControlState};
use moleroad_gateway::evacuations::Evacuations;
use moleroad_gateway::front::answer::AnswerBody;
use moleroad_gateway::front::attempt::Attempts;
use moleroad_gateway::front::give_up::GiveUp;
use moleroad_gateway::no_place::NoPlaceCause;
use moleroad_gateway::node::Node;
use moleroad_gateway::operator;
use moleroad_gateway::peer::LeaderHint;
use moleroad_gateway::trial;
use moleroad_quarantine::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use support::{
    REQUEST, entry, entry_with_disk, folder, report_terminations, request, slot_request, suspects,
    termination,
};

/// Timeout for events that must happen.
const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn a_request_is_refused_for_an_hour_after_the_third_crash_but_not_the_second() {
    let node = entry();
    report_terminations(&node, TERMINATIONS_TO_HOLD - 1);
    drop(
        acquire(&node, &slot_request(&node, None))
            .await
            .expect("a free slot"),
    );
    report_terminations(&node, TERMINATIONS_TO_HOLD);
    let mut attempts = Attempts::new(node.clone(), request(&node, 1_500));
    let reason = attempts.next_run(None).await.err().expect("no free slot");
    assert_eq!(attempts.sends(), 0);
    let answer = attempts.give_up(reason);
    assert_eq!(answer.status(), 503);
    let back_in_s: f64 = answer.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    let hour_s = TERMINATION_TTL_MS as f64 / 1_000.0;
    assert!(back_in_s <= hour_s && back_in_s > 0.9 * hour_s);
    let AnswerBody::Whole(Some(body)) = answer.into_body() else {
        panic!("an answer made by the entry has a whole body");
    };
    assert!(body.starts_with(b"MR-6216"));
    // Another request is accepted as before.
    let mut other = slot_request(&node, None);
    other.suspects = suspects(1, &[]);
    assert!(acquire(&node, &other).await.is_ok());
}

#[tokio::test]
async fn a_request_that_waits_for_a_place_is_refused_at_once() {
    let node = entry();
    let mut other = slot_request(&node, None);
    other.suspects = suspects(1, &[]);
    let _only_slot = acquire(&node, &other).await.expect("a free slot");
    let waiting = tokio::spawn({
        let (node, slot_request) = (node.clone(), slot_request(&node, None));
        async move { acquire(&node, &slot_request).await.err() }
    });
    while node.view().services["plain"].waiting() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    report_terminations(&node, TERMINATIONS_TO_HOLD);
    let refused = tokio::time::timeout(TIMEOUT, waiting).await;
    let refused = refused
        .expect("the request stops waiting")
        .expect("no panic");
    assert_eq!(
        refused.expect("no free slot").cause,
        NoPlaceCause::Quarantined
    );
}

#[tokio::test]
async fn a_held_request_is_not_started_at_its_target() {
    let node = entry();
    let attempts = Attempts::new(node.clone(), request(&node, 1_500));
    let slot = acquire(&node, &slot_request(&node, None))
        .await
        .expect("a free slot");
    assert!(!attempts.is_start_forbidden(&slot));
    report_terminations(&node, TERMINATIONS_TO_HOLD);
    assert!(attempts.is_start_forbidden(&slot));
}

#[tokio::test]
async fn a_recently_successful_request_is_not_held_and_its_success_is_propagated() {
    let node = entry();
    node.record_success(&suspects(0, &[]));
    report_terminations(&node, TERMINATIONS_TO_HOLD);
    assert!(acquire(&node, &slot_request(&node, None)).await.is_ok());
    let (reports, _) = node.view().target_ends_since(node.clock.now(), 0);
    assert_eq!(reports.len(), TERMINATIONS_TO_HOLD);
    assert!(reports.iter().all(|termination| termination.is_excused));
}

#[tokio::test]
async fn a_later_success_releases_a_held_request() {
    let node = entry();
    report_terminations(&node, TERMINATIONS_TO_HOLD);
    assert!(acquire(&node, &slot_request(&node, None)).await.is_err());
    node.record_success(&suspects(0, &[]));
    assert!(acquire(&node, &slot_request(&node, None)).await.is_ok());
}

#[test]
fn a_crash_record_is_encoded_in_under_fifty_bytes_and_none_in_one() {
    let none: Vec<TerminationReport> = Vec::new();
    assert_eq!(rmp_serde::to_vec(&none).unwrap().len(), 1);
    let life = TargetIncarnation {
        target: TargetId::new("i-2d563a72ba"),
        born_ms: 1_796_256_000_000,
    };
    let one = TerminationReport {
        life,
        age_ms: 3_000_000,
        ..termination(1)
    };
    let bytes = rmp_serde::to_vec(&one).unwrap().len();
    assert!(bytes < 50, "{bytes}");
}

/// Starts an entry that is the only member of its control group and holds a request.
/// At each termination, another request, which is held too, ran on the same target.
async fn entry_with_doubtful_hold(name: &str) -> Arc<Node> {
    let node = entry_with_disk(&folder(name));
    let control_member = node.control_member.clone().expect("a member with a disk");
    while control_member.read().await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let address = node.settings.peer_address();
    node.view().leader = Some(LeaderHint { term: 1, address });
    report_terminations(&node, TERMINATIONS_TO_HOLD);
    let alongside = (0..TERMINATIONS_TO_HOLD).map(|number| TerminationReport {
        suspect: Suspect::Content(Fingerprint([1; 16])),
        ..termination(number)
    });
    node.receive_target_ends(alongside.collect());
    node
}

/// Commits the hold in the control group.
async fn commit_hold(node: &Arc<Node>) {
    let until = UnixMillis(node.clock.unix_time().0 + TERMINATION_TTL_MS);
    let key = REQUEST;
    let order = ControlCommand::HoldRequest(HoldOrder { key, until });
    assert!(operator::commit(node, order).await);
}

#[tokio::test]
async fn one_copy_of_an_ambiguous_request_is_tried_and_others_get_a_short_retry_time() {
    let node = entry_with_doubtful_hold("one-copy-is-tried").await;
    commit_hold(&node).await;
    let mut first = request(&node, 5_000);
    first.is_trial = trial::obtain(&node, &first).await;
    assert!(first.is_trial);
    for _ in 0..3 {
        assert!(!trial::obtain(&node, &request(&node, 5_000)).await);
    }
    let refused = acquire(&node, &slot_request(&node, None)).await.err();
    let refused = refused.expect("no free slot");
    assert_eq!(refused.cause, NoPlaceCause::Quarantined);
    assert!(refused.retry_after_ms < TERMINATION_TTL_MS / 100);
    let mut tried = slot_request(&node, None);
    tried.is_trial = true;
    let slot = acquire(&node, &tried).await.expect("a free slot");
    let attempts = Attempts::new(node.clone(), first);
    assert!(!attempts.is_start_forbidden(&slot));
}

#[tokio::test]
async fn no_trial_is_made_without_ambiguity_a_leader_and_enough_time() {
    let node = entry_with_doubtful_hold("no-trial").await;
    assert!(!trial::obtain(&node, &request(&node, 100)).await);
    node.view().leader = None;
    assert!(!trial::obtain(&node, &request(&node, 5_000)).await);
    let certain = entry();
    certain.view().leader = Some(LeaderHint {
        term: 1,
        address: certain.settings.peer_address(),
    });
    report_terminations(&certain, TERMINATIONS_TO_HOLD);
    assert!(!trial::obtain(&certain, &request(&certain, 5_000)).await);
}

#[tokio::test]
async fn a_success_releases_the_hold_stored_in_the_control_group() {
    let node = entry_with_doubtful_hold("good-end-releases").await;
    commit_hold(&node).await;
    node.record_success(&suspects(0, &[]));
    assert!(acquire(&node, &slot_request(&node, None)).await.is_ok());
    let now = node.clock.unix_time();
    assert!(node.view().state.hold_left_ms(now, &REQUEST).is_some());
    node.submit_releases();
    let released = async {
        while node.view().state.hold_left_ms(now, &REQUEST).is_some() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let released = tokio::time::timeout(TIMEOUT, released).await;
    released.expect("the control group receives the release");
}

#[test]
fn a_state_without_reviews_is_decoded() {
    #[derive(serde::Serialize)]
    struct Earlier {
        configuration: Option<()>,
        versions: std::collections::BTreeMap<String, u64>,
        evacuations: Evacuations,
        holds: Holds,
    }
    let mut holds = Holds::default();
    let until = UnixMillis(5);
    let key = REQUEST;
    holds.apply(&HoldOrder { key, until });
    let earlier = Earlier {
        configuration: None,
        versions: [("m".to_string(), 3)].into(),
        evacuations: Evacuations::default(),
        holds: holds.clone(),
    };
    let bytes = rmp_serde::to_vec(&earlier).unwrap();
    let state: ControlState = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(state.holds, holds);
    assert_eq!(state.versions["m"], 3);
    assert_eq!(state.reviews, Reviews::default());
}

/// Returns whether a copy that arrives right after the third termination is refused
/// although another entry reports a success at once; `None` if the test was delayed for
/// too long in between.
async fn is_refused_before_decision() -> Option<bool> {
    let node = entry();
    report_terminations(&node, TERMINATIONS_TO_HOLD);
    let started_at = node.clock.now();
    let mut attempts = Attempts::new(node.clone(), request(&node, 5_000));
    let excused = (0..TERMINATIONS_TO_HOLD).map(|number| TerminationReport {
        is_excused: true,
        ..termination(number)
    });
    let report = async {
        node.receive_target_ends(excused.collect());
        node.clock.now()
    };
    let (run, reported_at) = tokio::join!(attempts.next_run(None), report);
    let is_refused = matches!(
        run.err(),
        Some(GiveUp::NoPlace(no_place)) if no_place.cause == NoPlaceCause::Quarantined
    );
    (reported_at.since(started_at) < HOLD_DECISION_MS).then_some(is_refused)
}

#[tokio::test]
async fn a_copy_arriving_while_a_success_is_propagated_is_not_refused() {
    loop {
        if let Some(is_refused) = is_refused_before_decision().await {
            assert!(!is_refused);
            return;
        }
    }
}

/// Reports to the entry that three targets terminated under each of these parts, in
/// requests of the account of [`support::suspects`].
fn report_part_terminations(node: &Node, parts: &[&str]) {
    for part in suspects(0, parts).prompt_parts() {
        let reports = (0..TERMINATIONS_TO_HOLD).map(|number| TerminationReport {
            suspect: part,
            ..termination(number)
        });
        node.receive_target_ends(reports.collect());
    }
}

#[tokio::test]
async fn a_request_with_a_held_prompt_part_is_refused_and_one_without_it_served() {
    let node = entry();
    report_part_terminations(&node, &["deadly"]);
    let mut place = slot_request(&node, None);
    place.suspects = suspects(1, &["common", "deadly"]);
    let refused = acquire(&node, &place).await.err().expect("no free slot");
    assert_eq!(refused.cause, NoPlaceCause::Quarantined);
    place.suspects = suspects(1, &["common"]);
    assert!(acquire(&node, &place).await.is_ok());
}

#[tokio::test]
async fn an_answer_that_goes_on_shows_the_parts_of_its_prompt_sound() {
    let node = entry();
    let mut slot = acquire(&node, &slot_request(&node, None))
        .await
        .expect("a free slot");
    let carried = suspects(1, &["common"]);
    let now = node.clock.now();
    slot.record_send(carried.clone(), now + 1_000);
    assert!(!slot.has_event());
    for after_ms in [0, 499] {
        assert!(!slot.record_event(now + after_ms));
        assert_eq!(slot.suspects(), Some(&carried));
    }
    assert!(slot.record_event(now + 500));
    assert_eq!(slot.suspects(), Some(&carried.without_prompt_parts()));
    assert!(!slot.record_event(now + 600), "it is known already");
    node.record_sound_parts(&carried);
    report_part_terminations(&node, &["common"]);
    assert!(node.hold_left_ms(&node.view(), &carried).is_none());
}

#[tokio::test]
async fn a_request_with_two_held_prompt_parts_is_not_tried_and_one_with_either_is() {
    let node = entry_with_doubtful_hold("two-held-parts").await;
    report_part_terminations(&node, &["common", "deadly"]);
    let mut both = request(&node, 5_000);
    both.suspects = suspects(2, &["common", "deadly"]);
    assert!(!trial::obtain(&node, &both).await);
    let mut one = request(&node, 5_000);
    one.suspects = suspects(2, &["common"]);
    assert!(trial::obtain(&node, &one).await);
    node.record_success(&one.suspects);
    assert!(node.hold_left_ms(&node.view(), &one.suspects).is_none());
    assert!(node.hold_left_ms(&node.view(), &both.suspects).is_some());
}

#[tokio::test]
async fn a_success_releases_a_stored_hold_of_a_prompt_part() {
    let node = entry_with_doubtful_hold("part-released").await;
    let carried = suspects(2, &["common"]);
    report_part_terminations(&node, &["common"]);
    let until = UnixMillis(node.clock.unix_time().0 + TERMINATION_TTL_MS);
    let part = carried.prompt_parts().next().expect("a part");
    for key in part.hold_keys() {
        let order = ControlCommand::HoldRequest(HoldOrder { key, until });
        assert!(operator::commit(&node, order).await);
    }
    node.record_success(&carried);
    node.submit_releases();
    let now = node.clock.unix_time();
    let is_held = || {
        let view = node.view();
        let mut keys = part.hold_keys();
        keys.any(|key| view.state.hold_left_ms(now, &key).is_some())
    };
    let released = async {
        while is_held() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let released = tokio::time::timeout(TIMEOUT, released).await;
    released.expect("the control group receives the releases");
}
