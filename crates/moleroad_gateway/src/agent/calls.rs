//! HTTP calls from the agent to its engine and to the origin.

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

/// Largest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Longest time between two checks whether a requested backoff has ended.
/// Timers do not advance while the machine is suspended, and a restart of the
/// engine ends its backoff early.
const BACKOFF_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Makes a call on a pooled connection, after any backoff that the other side
/// requested. Returns `None` if no complete response arrived within `timeout`.
pub async fn call(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    loop {
        let left = Duration::from_millis(node.backoff_left_ms(address));
        if left.is_zero() {
            break;
        }
        tokio::time::sleep(left.min(BACKOFF_CHECK_INTERVAL)).await;
    }
    call_pooled(node, address, request, timeout, || true).await
}

/// Makes a call on a pooled connection at once. Returns `None` if no complete
/// response arrived within `timeout`, the other side requested a backoff that has not
/// ended, or `may_send` denied the call right before it was to be sent.
pub async fn call_undelayed(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    timeout: Duration,
    may_send: impl Fn() -> bool,
) -> Option<(StatusCode, Bytes)> {
    if node.backoff_left_ms(address) > 0 {
        return None;
    }
    call_pooled(node, address, request, timeout, may_send).await
}

async fn call_pooled(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    timeout: Duration,
    may_send: impl Fn() -> bool,
) -> Option<(StatusCode, Bytes)> {
    let calling = async {
        let mut connection = match node.pool.take(address) {
            Some(connection) => connection,
            // The engine must not get a call late that this agent has given up.
            None => node.pool.connect_discarding(address).await.ok()?,
        };
        if !may_send() {
            return None;
        }
        let answer = exchange(node, address, request, &mut connection).await?;
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

/// Makes a call on a new connection and closes it. Returns `None` if no
/// complete response arrived within `timeout`, or the other side requested a
/// backoff that has not ended.
///
/// The origin accepts fewer connections than there are agents. A connection
/// that is kept idle, or left half open by an agent that lost power, blocks
/// another agent.
pub async fn call_once(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    if node.backoff_left_ms(address) > 0 {
        return None;
    }
    let calling = async {
        let mut connection = node.pool.connect(address).await.ok()?;
        exchange(node, address, request, &mut connection).await
    };
    let answer = tokio::time::timeout(timeout, calling)
        .await
        .ok()
        .flatten()?;
    Some((answer.status, answer.body))
}

/// A complete response.
struct Response {
    status: StatusCode,
    body: Bytes,
    /// Whether the other side closes the connection.
    closes: bool,
}

async fn exchange(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    connection: &mut Connection,
) -> Option<Response> {
    let mut message = Request::new(Full::new(Bytes::from(request.body)));
    *message.method_mut() = request.method;
    *message.uri_mut() = request.path.parse().ok()?;
    let headers = message.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    if request.is_document {
        let kind = HeaderValue::from_static(node.interface.document_type());
        headers.insert(CONTENT_TYPE, kind);
    }
    let responder = node.responder_at(address);
    let response = connection.sender.send_request(message).await.ok()?;
    let (head, body) = response.into_parts();
    node.apply_notice(AnswerHead {
        from: responder,
        request: "-",
        sent_at: None,
        status: head.status,
        headers: &head.headers,
    });
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .ok()?;
    let closing = head.headers.get(hyper::header::CONNECTION);
    Some(Response {
        status: head.status,
        body: body.to_bytes(),
        closes: closing.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")),
    })
}
