//! Notices in the answers of targets: how they are parsed, and how they affect requests
//! that wait for a slot there.

mod support;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use moleroad_directory::prelude::{RequestRate, TargetId};
use moleroad_dispatch::prelude::Responder;
use moleroad_gateway::acquire::{ReservedSlot, acquire};
use moleroad_gateway::front::attempt::Attempts;
use moleroad_gateway::no_place::{NoPlace, NoPlaceCause};
use moleroad_gateway::node::Node;
use moleroad_gateway::target_notice::{LimitNotice, TargetNotice};
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::{add_target, entry, evacuate, in_flight, request, slot_request};
use tokio::task::JoinHandle;

/// A backoff longer than every wait in these tests, in milliseconds.
const LONG_BACKOFF_MS: u64 = 60_000;
/// A backoff that ends while a request waits, in milliseconds.
const SHORT_BACKOFF_MS: u64 = 150;

fn address_of(last: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], last))
}

/// Records that the target at this address asked the entry to back off.
fn request_backoff(node: &Node, id: &str, port: u16, backoff_ms: u64) -> Option<Millis> {
    let from = Responder {
        address: address_of(port),
        target: TargetId::new(id),
        born_ms: 0,
    };
    let now = node.clock.now();
    node.view().record_backoff(now, from, 1, backoff_ms)
}

/// Refreshes candidates and serves the queue until the request is done, as the process
/// does.
async fn run_housekeeping(node: &Node) {
    loop {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let now = node.clock.now();
        node.view().refresh_candidates(now, &node.settings);
        node.serve_waiting();
    }
}

/// Sends one request to the only target, and queues another that waits for its slot.
async fn send_one_and_queue_one(
    node: &Arc<Node>,
) -> (ReservedSlot, JoinHandle<Result<(), NoPlace>>) {
    let request = slot_request(node, None);
    let first = acquire(node, &request).await.expect("a free slot");
    let waiting = tokio::spawn({
        let node = node.clone();
        async move { acquire(&node, &request).await.map(drop) }
    });
    tokio::task::yield_now().await;
    assert_eq!(node.view().services["plain"].waiting(), 1);
    (first, waiting)
}

fn read(node: &Node, status: u16, headers: &[(HeaderName, &'static str)]) -> TargetNotice {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).unwrap();
    TargetNotice::read(node.interface.headers(), status, &map)
}

#[test]
fn a_leaving_header_with_any_value_but_zero_counts() {
    let node = entry();
    let name = node.interface.headers().leaving.clone();
    let leaves = |values: &[&'static str]| {
        let headers: Vec<_> = values.iter().map(|value| (name.clone(), *value)).collect();
        read(&node, 200, &headers).leaves
    };
    assert!(!leaves(&[]) && !leaves(&["0"]) && !leaves(&["0", "0"]));
    for odd in ["1", "true", "", "-1", "0.5", "99999999999999999999"] {
        assert!(leaves(&[odd]), "{odd:?}");
    }
    assert!(leaves(&["0", "1"]), "one leaving header is enough");
    for status in [200, 206, 400, 421, 429, 500, 503] {
        assert!(read(&node, status, &[(name.clone(), "1")]).leaves);
    }
}

#[test]
fn the_strictest_limit_of_a_response_applies_at_any_status() {
    let node = entry();
    let name = node.interface.headers().limit.clone();
    let limit = |status, values: &[&'static str]| {
        let headers: Vec<_> = values.iter().map(|value| (name.clone(), *value)).collect();
        read(&node, status, &headers).limit
    };
    let named = |per_s| LimitNotice::Named(RequestRate::per_s(per_s));
    for status in [200, 206, 400, 421, 429, 500, 503] {
        assert_eq!(limit(status, &["2.5"]), named(2.5), "{status}");
    }
    assert_eq!(limit(200, &["3", "soon", "1.5"]), named(1.5));
    assert_eq!(limit(200, &[]), LimitNotice::NotNamed);
    assert_eq!(limit(200, &["soon"]), LimitNotice::Unreadable);
    assert_eq!(limit(200, &[""]), LimitNotice::Unreadable);
}

#[test]
fn only_an_unavailable_target_requests_a_backoff() {
    let node = entry();
    for status in [200, 202, 301, 408, 421, 429, 500, 502] {
        let notice = read(&node, status, &[(RETRY_AFTER, "3")]);
        assert_eq!(notice, TargetNotice::default(), "{status}");
    }
    let notice = read(&node, 503, &[(RETRY_AFTER, "3")]);
    assert_eq!(
        (notice.backoff_ms, notice.has_unreadable_backoff),
        (Some(3_000), false)
    );
    assert_eq!(read(&node, 503, &[]), TargetNotice::default());
    let both = [(RETRY_AFTER, "3"), (RETRY_AFTER, "-4"), (RETRY_AFTER, "2")];
    let notice = read(&node, 503, &both);
    assert_eq!(
        (notice.backoff_ms, notice.has_unreadable_backoff),
        (Some(3_000), true)
    );
}

#[tokio::test]
async fn requests_are_refused_until_the_first_backoff_ends_if_all_targets_have_one() {
    let node = entry();
    add_target(&node, "i-b", "hall-a", address_of(2));
    request_backoff(&node, "i-a", 1, 2 * LONG_BACKOFF_MS);
    request_backoff(&node, "i-b", 2, LONG_BACKOFF_MS);
    for key in [None, Some("restricted")] {
        let refused = acquire(&node, &slot_request(&node, key)).await.err();
        let refused = refused.expect("both are in backoff");
        assert_eq!(refused.cause, NoPlaceCause::Resting);
        assert!(refused.retry_after_ms > LONG_BACKOFF_MS - 1_000);
        assert!(refused.retry_after_ms < LONG_BACKOFF_MS + 1_000);
    }
    assert_eq!(node.view().services["plain"].waiting(), 0);
    let mut attempts = Attempts::new(node.clone(), request(&node, 1_500));
    let reason = attempts
        .next_run(None)
        .await
        .err()
        .expect("both are in backoff");
    let answer = attempts.give_up(reason);
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let back_in_s = answer.headers()[RETRY_AFTER].to_str().unwrap();
    assert!(back_in_s.parse::<f64>().unwrap() > (LONG_BACKOFF_MS - 1_000) as f64 / 1_000.0);
}

#[tokio::test]
async fn a_waiting_request_is_refused_when_its_last_target_requests_a_backoff() {
    let node = entry();
    let (first, waiting) = send_one_and_queue_one(&node).await;
    request_backoff(&node, "i-a", 1, LONG_BACKOFF_MS);
    // The released slot is no longer for the waiting request.
    drop(first);
    let refused = waiting
        .await
        .unwrap()
        .expect_err("its target is in backoff");
    assert_eq!(refused.cause, NoPlaceCause::Resting);
    assert_eq!(in_flight(&node, "i-a"), 0);
    assert_eq!(node.view().services["plain"].waiting(), 0);
}

#[tokio::test]
async fn a_slot_granted_before_the_backoff_request_is_returned() {
    let node = entry();
    let (first, waiting) = send_one_and_queue_one(&node).await;
    // The slot is granted, and before the waiting request runs, the target asks for a
    // backoff.
    drop(first);
    assert_eq!(in_flight(&node, "i-a"), 1);
    request_backoff(&node, "i-a", 1, LONG_BACKOFF_MS);
    let refused = waiting
        .await
        .unwrap()
        .expect_err("its target is in backoff");
    assert_eq!(refused.cause, NoPlaceCause::Resting);
    assert_eq!(in_flight(&node, "i-a"), 0);
}

#[tokio::test]
async fn a_backoff_ending_before_the_deadline_is_waited_for() {
    let node = entry();
    let until =
        request_backoff(&node, "i-a", 1, SHORT_BACKOFF_MS).expect("the target is in backoff");
    let request = slot_request(&node, None);
    let slot = tokio::select! {
        slot = acquire(&node, &request) => slot,
        () = run_housekeeping(&node) => unreachable!(),
    };
    assert!(slot.is_ok());
    assert!(node.clock.now() >= until);
}

#[tokio::test]
async fn a_target_heard_again_stays_in_backoff() {
    let node = entry();
    request_backoff(&node, "i-a", 1, LONG_BACKOFF_MS);
    let now = node.clock.now();
    let mut record = node
        .view()
        .directory
        .target_at(address_of(1))
        .unwrap()
        .record
        .clone();
    record.sequence += 1;
    node.view().directory.merge_target(now, record, 0);
    // The backoff also persists while the target is not registered.
    node.view().services.clear();
    node.view().refresh_candidates(now, &node.settings);
    let refused = acquire(&node, &slot_request(&node, None)).await.err();
    assert_eq!(
        refused.expect("the target is in backoff").cause,
        NoPlaceCause::Resting
    );
}

#[tokio::test]
async fn a_request_refused_by_all_known_targets_gets_a_short_retry_time() {
    let node = entry();
    let mut request = slot_request(&node, None);
    request.tried = vec![TargetId::new("i-a")];
    request.was_sent = true;
    let refused = acquire(&node, &request)
        .await
        .err()
        .expect("there is no other target");
    assert_eq!(refused.cause, NoPlaceCause::TurnedAway);
    assert_eq!(refused.retry_after_ms, 150);
    // Another target may still accept it.
    add_target(&node, "i-b", "hall-a", address_of(2));
    assert!(acquire(&node, &request).await.is_ok());
}

#[tokio::test]
async fn a_started_stream_waits_for_another_target() {
    let node = entry();
    let mut request = slot_request(&node, None);
    request.tried = vec![TargetId::new("i-a")];
    (request.was_sent, request.may_have_run) = (true, true);
    request_backoff(&node, "i-a", 1, LONG_BACKOFF_MS);
    let waiting = tokio::spawn({
        let node = node.clone();
        async move { acquire(&node, &request).await.map(drop) }
    });
    tokio::task::yield_now().await;
    assert_eq!(node.view().services["plain"].waiting(), 1);
    add_target(&node, "i-b", "hall-a", address_of(2));
    node.serve_waiting();
    assert!(waiting.await.unwrap().is_ok());
}

#[tokio::test]
async fn an_evacuated_hall_does_not_hide_a_backoff_in_another_hall() {
    let node = entry();
    add_target(&node, "i-b", "hall-b", address_of(2));
    evacuate(&node, "hall-b");
    request_backoff(&node, "i-a", 1, LONG_BACKOFF_MS);
    let refused = acquire(&node, &slot_request(&node, None)).await.err();
    assert_eq!(
        refused.expect("no target is available").cause,
        NoPlaceCause::Resting
    );
}
