//! A send whose target stays silent while another target is looked for.

mod support;

use moleroad_config::prelude::Route;
use moleroad_gateway::front::attempt::Attempts;
use moleroad_gateway::front::request::AcceptedRequest;
use moleroad_gateway::node::Node;
use moleroad_quarantine::prelude::TERMINATIONS_TO_HOLD;
use std::sync::Arc;
use support::{add_target, entry, report_terminations, request};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Time limit of the request, in milliseconds; its targets are silent after 0.8 s.
const LIMIT_MS: u64 = 20_000;

/// Returns a request for a stream that another target may take over.
fn stream_request(node: &Node) -> AcceptedRequest {
    let request = request(node, LIMIT_MS);
    let route = Route {
        streaming: true,
        resumable: true,
        target_latency_ms: 10,
        max_attempts: 2,
        ..(*request.route).clone()
    };
    AcceptedRequest {
        route: Arc::new(route),
        ..request
    }
}

/// Adds a target that answers nothing. The channel gets a message when a connection
/// begins to send, and another one when it is closed.
async fn add_silent_target(node: &Node, id: &str, events: mpsc::UnboundedSender<&'static str>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let events = events.clone();
            tokio::spawn(async move {
                let mut bytes = [0; 4_096];
                if connection.read(&mut bytes).await.unwrap_or(0) == 0 {
                    return;
                }
                let _ = events.send("begun");
                while connection.read(&mut bytes).await.unwrap_or(0) > 0 {}
                let _ = events.send("closed");
            });
        }
    });
    add_target(node, id, "hall-a", address);
}

// Guards against a request that begins at a silent target after it was quarantined.
#[tokio::test]
async fn a_silent_send_ends_when_the_request_must_not_begin_any_more() {
    let node = entry();
    let (sender, mut events) = mpsc::unbounded_channel();
    for id in ["i-b", "i-c"] {
        add_silent_target(&node, id, sender.clone()).await;
    }
    let request = stream_request(&node);
    let until = request.until;
    let mut attempts = Attempts::new(node.clone(), request);
    let hold = async {
        for _ in 0..2 {
            assert_eq!(events.recv().await, Some("begun"));
        }
        report_terminations(&node, TERMINATIONS_TO_HOLD);
        for _ in 0..2 {
            assert_eq!(events.recv().await, Some("closed"));
        }
        node.clock.now()
    };
    let (run, closed_at) = tokio::join!(attempts.next_run(None), hold);
    assert!(run.is_err());
    assert!(closed_at < until);
    assert_eq!(attempts.sends(), 2);
}
