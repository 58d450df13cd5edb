//! How an entry handles requests while it waits for updates from other daemons,
//! and when no target is eligible for them.

mod support;

use hyper::StatusCode;
use moleroad_config::prelude::ConfigVersion;
use moleroad_directory::prelude::TargetId;
use moleroad_gateway::acquire::acquire;
use moleroad_gateway::front::answer::AnswerBody;
use moleroad_gateway::front::attempt::Attempts;
use moleroad_gateway::front::sends::Sends;
use moleroad_gateway::gossip::run_gossip;
use moleroad_gateway::no_place::NoPlaceCause;
use moleroad_gateway::node::Node;
use std::net::SocketAddr;
use std::time::Duration;
use support::{
    add_target, entry, entry_with_configuration, entry_with_disk, evacuate, folder, in_flight,
    request, restarted_entry, slot_request,
};

/// Longer than the time between two clock observations above which a process
/// counts as suspended.
const SUSPENSION: Duration = Duration::from_millis(1_100);

/// Time limit for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

async fn wait_until(event: &str, mut has_happened: impl FnMut() -> bool) {
    let wait = async {
        while !has_happened() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = tokio::time::timeout(MAX_WAIT, wait).await;
    result.unwrap_or_else(|_| panic!("timed out waiting for {event}"));
}

async fn yield_to_other_tasks() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_caller_leaving_during_the_wait_for_updates_frees_its_slot() {
    let node = entry();
    let request = slot_request(&node, None);
    let first = acquire(&node, &request).await.expect("a free slot");
    assert_eq!(in_flight(&node, "i-a"), 1);
    let waiting = tokio::spawn({
        let node = node.clone();
        async move { acquire(&node, &request).await.map(drop) }
    });
    yield_to_other_tasks().await;
    assert_eq!(node.view().services["plain"].waiting(), 1);
    drop(node.suspension_detector());
    // The slot is granted to the waiting request, and the process is suspended
    // before that request's task runs.
    drop(first);
    assert_eq!(in_flight(&node, "i-a"), 1);
    std::thread::sleep(SUSPENSION);
    yield_to_other_tasks().await;
    assert!(!waiting.is_finished(), "it waits for updates");
    waiting.abort();
    assert!(waiting.await.unwrap_err().is_cancelled());
    assert_eq!(in_flight(&node, "i-a"), 0);
}

#[tokio::test]
async fn an_entry_with_old_state_first_waits_for_updates_for_a_bounded_time() {
    let node = restarted_entry("begins").await;
    let lacks_updates = |node: &Node| {
        node.suspension_detector()
            .must_wait_for_updates(node.started_at)
    };
    assert!(lacks_updates(&node));
    assert!(!node.suspension_detector().may_read_backlog(node.started_at));
    // No daemon answers.
    node.catch_up_after_suspension().await;
    assert!(node.clock.now().since(node.started_at) >= 1_000);

    let node = restarted_entry("begins-and-hears").await;
    node.suspension_detector().news_received(node.clock.now());
    assert!(!lacks_updates(&node));

    // Entries without stored state have nothing that could be outdated.
    assert!(!lacks_updates(&entry()));
    assert!(!lacks_updates(&entry_with_disk(&folder("begins-first"))));
}

#[tokio::test]
async fn an_answer_counts_as_an_update_only_once_its_contents_were_fetched() {
    let node = restarted_entry("fetches").await;
    let other = entry_with_configuration();
    evacuate(&other, "hall-a");
    node.replace_seeds(vec![other.settings.peer_address()]);
    // Another fetch is in flight, so the answer does not start one.
    let fetching = node.begin_pull().expect("nothing is fetched yet");
    tokio::spawn(run_gossip(node.clone()));
    let has_answer = || node.view().is_evacuated("hall-a");
    wait_until("an answer", has_answer).await;
    yield_to_other_tasks().await;
    let lacks_updates = || {
        node.suspension_detector()
            .must_wait_for_updates(node.started_at)
    };
    assert!(lacks_updates());
    drop(fetching);
    wait_until("updates", || !lacks_updates()).await;
    assert!(node.view().state.config_version() == ConfigVersion(1));
}

#[tokio::test]
async fn a_request_barred_before_it_is_sent_is_counted_once() {
    let node = entry();
    // Connections are accepted, but requests are not answered.
    let listeners = [(); 2].map(|()| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    for (listener, (id, hall)) in listeners.iter().zip([("i-a", "hall-a"), ("i-b", "hall-b")]) {
        add_target(&node, id, hall, listener.local_addr().unwrap());
    }
    let mut attempts = Attempts::new(node.clone(), request(&node, 1_500));
    let orders = async {
        // The slot is taken, and the connection is not established yet.
        let hall = match in_flight(&node, "i-a") {
            0 => "hall-b",
            _ => "hall-a",
        };
        assert_eq!(in_flight(&node, "i-a") + in_flight(&node, "i-b"), 1);
        evacuate(&node, hall);
    };
    let (sent, ()) = tokio::join!(attempts.next_run(None), orders);
    assert!(sent.is_err(), "no answer came");
    let sends = |outcome: &str| node.metrics.sends.with_label_values(&[outcome]).get();
    assert_eq!((sends("barred"), sends("timed_out")), (1, 1));
    assert_eq!(node.metrics.wait_s.get_sample_count(), 1);
}

#[test]
fn a_repeat_is_taken_once_for_each_send_that_is_made() {
    let mut sends = Sends::default();
    assert!(sends.is_first() && !sends.needs_repeat());
    assert!(sends.claim_in_time_count() && sends.claim_first_count());
    // The slot was released before anything was sent.
    assert!(!sends.claim_in_time_count() && !sends.claim_first_count());
    assert!(sends.is_first() && !sends.needs_repeat());
    sends.reached_target();
    assert!(sends.made() == 1 && sends.needs_repeat());
    sends.took_repeat();
    assert!(!sends.needs_repeat(), "the repeat has not been sent yet");
    assert!(!sends.claim_in_time_count() && !sends.claim_first_count());
    sends.reached_target();
    assert!(sends.made() == 2 && sends.needs_repeat());
}

#[tokio::test]
async fn a_request_with_only_evacuated_targets_is_refused_at_once() {
    let node = entry();
    evacuate(&node, "hall-a");
    let refused = acquire(&node, &slot_request(&node, None)).await.err();
    let refused = refused.expect("no eligible target");
    assert_eq!(refused.cause, NoPlaceCause::Evacuated);
    let mut attempts = Attempts::new(node.clone(), request(&node, 1_500));
    let reason = attempts.next_run(None).await.err().expect("no target");
    assert_eq!(attempts.sends(), 0);
    let answer = attempts.give_up(reason);
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let AnswerBody::Whole(Some(body)) = answer.into_body() else {
        panic!("an answer of the entry itself is complete");
    };
    assert!(String::from_utf8_lossy(&body).contains("MR-6215"));
    assert_eq!(node.view().services["plain"].waiting(), 0);
}

#[tokio::test]
async fn a_request_already_sent_to_its_only_allowed_target_gets_a_short_retry_time() {
    let node = entry();
    let mut restricted = slot_request(&node, Some("restricted"));
    restricted.tried = vec![TargetId::new("i-a")];
    // No connection was established, so no target rejected the request.
    let refused = acquire(&node, &restricted).await.err().expect("no target");
    assert!(matches!(refused.cause, NoPlaceCause::EmptyRegions(_)));
    restricted.was_sent = true;
    let refused = acquire(&node, &restricted).await.err().expect("no target");
    assert_eq!(refused.cause, NoPlaceCause::TurnedAway);
    assert_eq!(refused.retry_after_ms, 150);
    // With an additional evacuated target, the cause is the empty regions
    // again.
    let address = SocketAddr::from(([127, 0, 0, 2], 2));
    add_target(&node, "i-b", "hall-b", address);
    evacuate(&node, "hall-b");
    let refused = acquire(&node, &restricted).await.err().expect("no target");
    assert!(matches!(refused.cause, NoPlaceCause::EmptyRegions(_)));
    assert!(refused.retry_after_ms >= 1_000);
}
