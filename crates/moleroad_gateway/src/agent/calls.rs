//! HTTP calls of the agent to its engine and to the origin.

use crate::front::pool::Connection;
use crate::interface::OutboundRequest;
use crate::node::Node;
use crate::target_notice::AnswerHead;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Longest pause between looks whether the other side has rested: timers stand
/// still while the machine is suspended, and a new life of an engine ends the rest.
const REST_LOOK: Duration = Duration::from_millis(100);

/// Makes a call on a kept connection, once the other side has rested if it asked for
/// that; `None` when no whole answer came in time.
pub async fn call(
    node: &Node,
    address: SocketAddr,
    outside: OutboundRequest,
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    loop {
        let left = Duration::from_millis(node.backoff_left_ms(address));
        if left.is_zero() {
            break;
        }
        tokio::time::sleep(left.min(REST_LOOK)).await;
    }
    let calling = async {
        let mut connection = match node.pool.take(address) {
            Some(connection) => connection,
            None => node.pool.connect(address).await.ok()?,
        };
        let answer = exchange(node, address, outside, &mut connection).await?;
        if !answer.closes {
            let pool = node.pool.clone();
            tokio::spawn(async move {
                if connection.sender.ready().await.is_ok() {
                    pool.give_back(connection, None);
                }
            });
        }
        Some((answer.status, answer.body))
    };
    tokio::time::timeout(timeout, calling).await.ok().flatten()
}

/// Makes a call on a connection of its own and closes it; `None` when no whole
/// answer came in time, or the other side asked for rest.
///
/// The origin takes fewer connections than there are agents. One that is kept
/// idle, or is left half open by an agent that lost power, keeps another
/// agent out.
pub async fn call_once(
    node: &Node,
    address: SocketAddr,
    outside: OutboundRequest,
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    if node.backoff_left_ms(address) > 0 {
        return None;
    }
    let calling = async {
        let mut connection = node.pool.connect(address).await.ok()?;
        exchange(node, address, outside, &mut connection).await
    };
    let answer = tokio::time::timeout(timeout, calling)
        .await
        .ok()
        .flatten()?;
    Some((answer.status, answer.body))
}

/// A whole answer.
struct Answer {
    status: StatusCode,
    body: Bytes,
    /// Whether the other side closes the connection.
    closes: bool,
}

async fn exchange(
    node: &Node,
    address: SocketAddr,
    outside: OutboundRequest,
    connection: &mut Connection,
) -> Option<Answer> {
    let mut message = Request::new(Full::new(Bytes::from(outside.body)));
    *message.method_mut() = outside.method;
    *message.uri_mut() = outside.path.parse().ok()?;
    let headers = message.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    if outside.is_document {
        let kind = HeaderValue::from_static(node.interface.document_type());
        headers.insert(CONTENT_TYPE, kind);
    }
    let answerer = node.answerer_at(address);
    let response = connection.sender.send_request(message).await.ok()?;
    let (head, body) = response.into_parts();
    node.apply_notice(AnswerHead {
        from: answerer,
        request: "-",
        sent_at: None,
        status: head.status,
        headers: &head.headers,
    });
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?;
    let closing = head.headers.get(hyper::header::CONNECTION);
    Some(Answer {
        status: head.status,
        body: body.to_bytes(),
        closes: closing.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")),
    })
}
