//! Taking places, and refusing requests that need not wait for one.

mod support;

use moleroad_gateway::acquire::acquire;
use std::time::Duration;
use support::{ask, entry, entry_with_disk, in_flight};

/// Longer than a process may go without a look at the clock.
const FREEZE: Duration = Duration::from_millis(1_100);

async fn let_others_run() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_caller_that_leaves_while_its_granted_request_waits_for_news_gives_the_place_back() {
    let node = entry();
    let request = ask(&node, None);
    let first = acquire(&node, &request).await.expect("a free place");
    assert_eq!(in_flight(&node), 1);
    let waiting = tokio::spawn({
        let node = node.clone();
        async move { acquire(&node, &request).await.map(drop) }
    });
    let_others_run().await;
    assert_eq!(node.view().services["plain"].waiting(), 1);
    drop(node.standstill());
    // The place is granted to the one that waits, and the process stands still
    // before that one runs.
    drop(first);
    assert_eq!(in_flight(&node), 1);
    std::thread::sleep(FREEZE);
    let_others_run().await;
    assert!(!waiting.is_finished(), "it waits for news");
    waiting.abort();
    assert!(waiting.await.unwrap_err().is_cancelled());
    assert_eq!(in_flight(&node), 0);
}

#[tokio::test]
async fn an_entry_with_a_disk_begins_by_waiting_for_news_for_a_bounded_time() {
    assert!(!entry().standstill().waits_for_news(entry().clock.now()));
    let node = entry_with_disk("begins");
    let began_at = node.clock.now();
    assert!(node.standstill().waits_for_news(began_at));
    assert!(!node.standstill().reads_backlog(began_at));
    // Nobody answers.
    node.hear_after_standstill().await;
    assert!(node.clock.now().since(node.began_at) >= 1_000);

    let node = entry_with_disk("begins");
    node.standstill().heard(node.clock.now());
    assert!(!node.standstill().waits_for_news(node.began_at));
}
