//! HTTP calls from the agent to its engine and to the origin.

use crate::front::pool::Connection;
use crate::interface::OutboundRequest;
use crate::node::Node;
use crate::target_notice::AnswerHead;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer without content that is accepted, in bytes.
pub const MAX_ACKNOWLEDGEMENT_BYTES: usize = 64 << 10;

/// Reason why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Nothing was sent, or no complete answer arrived in time.
    NoAnswer,
    /// The body of the answer exceeds its limit.
    TooLarge,
}

/// Bounds of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Longest time until the answer is complete.
    pub timeout: Duration,
    /// Largest body of the answer, in bytes.
    pub max_bytes: usize,
}

/// Longest time between two checks whether a requested backoff has ended.
/// Timers do not advance while the machine is suspended, and a restart of the
/// engine ends its backoff early.
const BACKOFF_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Makes a call on a pooled connection, after any backoff that the other side
/// requested.
///
/// # Errors
/// Returns a [`CallFailure`] if no complete response arrived within the limits.
pub async fn call(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    limits: CallLimits,
) -> Result<(StatusCode, Bytes), CallFailure> {
    loop {
        let left = Duration::from_millis(node.backoff_left_ms(address));
        if left.is_zero() {
            break;
        }
        tokio::time::sleep(left.min(BACKOFF_CHECK_INTERVAL)).await;
    }
    call_pooled(node, address, request, limits, || true).await
}

/// Makes a call on a pooled connection at once.
///
/// # Errors
/// Returns a [`CallFailure`] if no complete response arrived within the limits. Nothing
/// was sent if the other side requested a backoff that has not ended, or if `may_send`
/// denied the call right before it was to be sent.
pub async fn call_undelayed(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    limits: CallLimits,
    may_send: impl Fn() -> bool,
) -> Result<(StatusCode, Bytes), CallFailure> {
    if node.backoff_left_ms(address) > 0 {
        return Err(CallFailure::NoAnswer);
    }
    call_pooled(node, address, request, limits, may_send).await
}

async fn call_pooled(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    limits: CallLimits,
    may_send: impl Fn() -> bool,
) -> Result<(StatusCode, Bytes), CallFailure> {
    let calling = async {
        let mut connection = match node.pool.take(address) {
            Some(connection) => connection,
            // The engine must not get a call late that this agent has given up.
            None => node
                .pool
                .connect_discarding(address)
                .await
                .map_err(no_answer)?,
        };
        if !may_send() {
            return Err(CallFailure::NoAnswer);
        }
        let answer = exchange(node, address, request, limits.max_bytes, &mut connection).await?;
        if !answer.closes {
            let pool = node.pool.clone();
            tokio::spawn(async move {
                if connection.sender.ready().await.is_ok() {
                    pool.give_back(connection, None);
                }
            });
        }
        Ok((answer.status, answer.body))
    };
    let called = tokio::time::timeout(limits.timeout, calling).await;
    called.unwrap_or(Err(CallFailure::NoAnswer))
}

/// Makes a call on a new connection and closes it.
///
/// # Errors
/// Returns a [`CallFailure`] if no complete response arrived within the limits, or the
/// other side requested a backoff that has not ended.
///
/// The origin accepts fewer connections than there are agents. A connection
/// that is kept idle, or left half open by an agent that lost power, blocks
/// another agent.
pub async fn call_once(
    node: &Node,
    address: SocketAddr,
    request: OutboundRequest,
    limits: CallLimits,
) -> Result<(StatusCode, Bytes), CallFailure> {
    if node.backoff_left_ms(address) > 0 {
        return Err(CallFailure::NoAnswer);
    }
    let calling = async {
        let mut connection = node.pool.connect(address).await.map_err(no_answer)?;
        exchange(node, address, request, limits.max_bytes, &mut connection).await
    };
    let called = tokio::time::timeout(limits.timeout, calling).await;
    let answer = called.unwrap_or(Err(CallFailure::NoAnswer))?;
    Ok((answer.status, answer.body))
}

fn no_answer<E>(_: E) -> CallFailure {
    CallFailure::NoAnswer
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
    max_bytes: usize,
    connection: &mut Connection,
) -> Result<Response, CallFailure> {
    let mut message = Request::new(Full::new(Bytes::from(request.body)));
    *message.method_mut() = request.method;
    *message.uri_mut() = request.path.parse().map_err(no_answer)?;
    let headers = message.headers_mut();
    headers.insert(
        HOST,
        HeaderValue::from_str(&address.to_string()).map_err(no_answer)?,
    );
    if request.is_document {
        let kind = HeaderValue::from_static(node.interface.document_type());
        headers.insert(CONTENT_TYPE, kind);
    }
    connection.bound_interim_responses(&mut message);
    let responder = node.responder_at(address);
    let response = connection
        .sender
        .send_request(message)
        .await
        .map_err(no_answer)?;
    let (head, body) = response.into_parts();
    node.apply_notice(AnswerHead {
        from: responder,
        request: "-",
        sent_at: None,
        status: head.status,
        headers: &head.headers,
    });
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|error| match error.is::<LengthLimitError>() {
            true => CallFailure::TooLarge,
            false => CallFailure::NoAnswer,
        })?;
    let closing = head.headers.get(hyper::header::CONNECTION);
    Ok(Response {
        status: head.status,
        body: body.to_bytes(),
        closes: closing.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")),
    })
}
