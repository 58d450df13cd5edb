//! Performs one send of a request to a target.

use crate::front::closed_answers::Silence;
use crate::front::pool::Connection;
use crate::front::request::AcceptedRequest;
use crate::grants;
use crate::held_bytes::HeldBody;
use crate::node::Node;
use crate::target_notice::AnswerHead;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, StatusCode, http};
use moleroad_dispatch::prelude::{Candidate, Requirements, Responder, exclusion};
use moleroad_types::prelude::Millis;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Largest answer that is buffered, in bytes; a larger one counts as broken.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Largest body of a rejection, in bytes, that is read to keep the connection.
const MAX_REJECTION_BYTES: usize = 64 << 10;
/// Longest time for reading the body of a rejection.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a send returned no valid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The send could not begin in time; nothing was sent. Its grant or its
    /// share of the rate limit expired, the target became cold after it was
    /// chosen, or no update arrived after this process had been suspended.
    Expired,
    /// The target became ineligible for the request after it was chosen; nothing
    /// was sent.
    Ineligible,
    /// The request was sent, and the connection broke before an answer.
    Broken,
    /// The answer is larger than is accepted, or than this process can hold now.
    TooLarge,
    /// The answer belongs to another request or is not signed.
    InvalidAnswer,
    /// No answer arrived in time.
    TimedOut,
}

impl SendError {
    /// Returns whether nothing was sent to the target.
    pub fn is_not_sent(self) -> bool {
        matches!(
            self,
            SendError::Unreachable | SendError::Expired | SendError::Ineligible
        )
    }
}

/// Classification of a target's answer by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyClass {
    /// The target ran the request, and it succeeded.
    Succeeded,
    /// The target did not run the request.
    Rejected,
    /// The request failed at the target and may have run there.
    Failed,
    /// Any other answer, forwarded to the caller without a retry.
    Final,
}

/// The head of a target's answer and the connection that delivers the body.
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body that is still to be read.
    pub body: Incoming,
    /// Classification of the answer.
    pub class: ReplyClass,
    /// The connection; closed when dropped.
    pub connection: Connection,
    /// Silence of the target while it ran the request.
    pub silence: Silence,
}

/// Sends `request` to `candidate` and waits for the head of the answer, until the deadline
/// of the request.
///
/// # Errors
/// Returns a [`SendError`]. With [`SendError::Unreachable`],
/// [`SendError::Expired`] and [`SendError::Ineligible`] nothing was sent; with
/// the others the request may have run.
pub async fn send(
    node: Arc<Node>,
    request: Arc<AcceptedRequest>,
    candidate: Candidate,
    responder: Responder,
    min_version: Option<u64>,
    last_event: Option<Bytes>,
) -> Result<Reply, SendError> {
    let (node, request, candidate) = (&*node, &*request, &candidate);
    let mut message = build(node, request, candidate, min_version, last_event.as_ref())?;
    let limit = node.clock.instant(request.until);
    let mut kept = node.pool.take(candidate.address);
    loop {
        let is_kept = kept.is_some();
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => {
                let connecting = node.pool.connect(candidate.address);
                match tokio::time::timeout_at(limit, connecting).await {
                    Ok(Ok(connection)) => {
                        node.metrics.count("connection_opened");
                        connection
                    }
                    _ => return Err(SendError::Unreachable),
                }
            }
        };
        // The process may have been suspended since the target was chosen.
        let caught_up = tokio::time::timeout_at(limit, node.catch_up_after_suspension()).await;
        if caught_up.is_err() {
            node.pool.give_back_unused(connection);
            return Err(SendError::Expired);
        }
        if is_ineligible(node, request, candidate) {
            node.pool.give_back_unused(connection);
            return Err(SendError::Ineligible);
        }
        if !grants::may_send(node, &request.service, candidate) {
            node.pool.give_back_unused(connection);
            return Err(SendError::Expired);
        }
        set_deadline(node, request, candidate, message.headers_mut());
        connection.bound_interim_responses(&mut message);
        let sent_at = node.clock.now();
        request.progress.record_send(sent_at);
        let mut silence = Silence::begin(Instant::now());
        let sending = connection.sender.try_send_request(message);
        match tokio::time::timeout_at(limit, sending).await {
            Err(_) => return Err(SendError::TimedOut),
            Ok(Ok(response)) => {
                // An answer to another request also counts: the target sent it.
                node.apply_notice(AnswerHead {
                    from: responder,
                    request: request.id.to_str().unwrap_or("-"),
                    sent_at: is_answer_to(node, request, response.headers()).then_some(sent_at),
                    status: response.status(),
                    headers: response.headers(),
                });
                silence.end(Instant::now());
                return classify_reply(node, request, response, connection, silence);
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The pooled connection was closed before anything was sent.
                Some(unsent) if is_kept => {
                    message = unsent;
                    kept = node.pool.take(candidate.address);
                }
                _ => return Err(SendError::Broken),
            },
        }
    }
}

/// Returns whether a chosen target has become ineligible for the request. While
/// the request waited or connected, a new configuration may have disallowed the
/// region, the target may have left or asked for backoff, its weights may have
/// become too old, or the request may have been quarantined because other targets
/// ended while running it.
fn is_ineligible(node: &Node, request: &AcceptedRequest, chosen: &Candidate) -> bool {
    let view = node.view();
    if !request.is_trial && node.hold_left_ms(&view, &request.suspects).is_some() {
        return true;
    }
    let residency = view.residency(&request.residency);
    // `tried` stays empty: the chosen target was already added to it.
    let needs = Requirements {
        now: node.clock.now(),
        min_version: node.min_version(&view, &request.service),
        regions: Some(residency.allowed()),
        ..Requirements::default()
    };
    let slots = view.services.get(&request.service);
    let known = slots.and_then(|slots| slots.targets.candidate(&chosen.id));
    known.is_none_or(|known| exclusion(known, needs).is_some())
}

fn build(
    node: &Node,
    request: &AcceptedRequest,
    candidate: &Candidate,
    min_version: Option<u64>,
    last_event: Option<&Bytes>,
) -> Result<Request<Full<Bytes>>, SendError> {
    let names = node.interface.headers();
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request
        .path_and_query
        .parse()
        .map_err(|_| SendError::Unreachable)?;
    *message.headers_mut() = request.headers.clone();
    let headers = message.headers_mut();
    if let Ok(id) = HeaderValue::from_str(candidate.id.as_str()) {
        headers.insert(&names.expected_target, id);
    }
    if let Some(version) = min_version.and(candidate.version) {
        headers.insert(&names.expected_version, HeaderValue::from(version));
    }
    if let Some(event) = last_event
        && let Ok(event) = HeaderValue::from_bytes(event)
    {
        headers.insert(&names.last_event, event);
    }
    Ok(message)
}

/// Sets the deadline header. An engine may keep a request queued after its
/// connection was closed, but drops it at the deadline. The deadline is
/// therefore no later than the last time at which a request may begin on the
/// target's weights.
fn set_deadline(
    node: &Node,
    request: &AcceptedRequest,
    candidate: &Candidate,
    headers: &mut HeaderMap,
) {
    let names = node.interface.headers();
    let old = node.old_weights(&request.service, candidate.version);
    let until = old.map_or(request.until, |old| old.last_start.min(request.until));
    let left = until.since(node.clock.now()).max(1);
    headers.insert(&names.deadline_ms, HeaderValue::from(left));
}

/// Returns whether the answer carries the request's id.
fn is_answer_to(node: &Node, request: &AcceptedRequest, headers: &HeaderMap) -> bool {
    let names = node.interface.headers();
    headers.get(&names.request_id) == Some(&request.id)
}

fn classify_reply(
    node: &Node,
    request: &AcceptedRequest,
    response: http::Response<Incoming>,
    connection: Connection,
    silence: Silence,
) -> Result<Reply, SendError> {
    let names = node.interface.headers();
    let (head, body) = response.into_parts();
    let same = is_answer_to(node, request, &head.headers);
    let not_executed = head.headers.contains_key(&names.not_executed)
        || head.status == StatusCode::MISDIRECTED_REQUEST;
    // A target that rejects a request may answer before it has read the id.
    let is_other = !same && (!not_executed || head.headers.contains_key(&names.request_id));
    if is_other {
        node.metrics.count("answer_of_another_request");
        return Err(SendError::InvalidAnswer);
    }
    let signed = head.headers.contains_key(&names.signature);
    let class = if not_executed {
        ReplyClass::Rejected
    } else if head.status.is_success() {
        if !signed {
            node.metrics.count("answer_not_signed");
            return Err(SendError::InvalidAnswer);
        }
        ReplyClass::Succeeded
    } else if head.status.is_server_error() || implies_not_run(head.status) {
        ReplyClass::Failed
    } else {
        ReplyClass::Final
    };
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
        class,
        connection,
        silence,
    })
}

/// Returns whether callers read the status as a guarantee that nothing ran.
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

impl Reply {
    /// Waits for the next frame of the body; `None` at its end. Nothing is lost if the
    /// caller stops waiting.
    pub async fn next_frame(&mut self) -> Option<hyper::Result<Frame<Bytes>>> {
        let frame = self.body.frame().await;
        self.silence.end(Instant::now());
        frame
    }

    /// Reads the whole body.
    ///
    /// # Errors
    /// Returns [`SendError::Broken`] if the connection breaks, [`SendError::TooLarge`] if
    /// the body is too large or this process holds too many bytes already, and
    /// [`SendError::TimedOut`] if it does not arrive by `until`.
    pub async fn read_whole_body(
        &mut self,
        node: &Node,
        until: Millis,
    ) -> Result<Bytes, SendError> {
        let mut held = HeldBody::new(&node.held_bytes);
        let limit = node.clock.instant(until);
        loop {
            let frame = tokio::time::timeout_at(limit, self.next_frame()).await;
            let data = match frame {
                Err(_) => return Err(SendError::TimedOut),
                Ok(None) => return Ok(held.into_bytes()),
                Ok(Some(Err(_))) => return Err(SendError::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if held.len() + data.len() > MAX_BODY_BYTES || !held.push(&data) {
                node.metrics.count("answer_too_large");
                return Err(SendError::TooLarge);
            }
        }
    }

    /// Reads the rest of a rejection beside everything else and keeps its connection, or
    /// closes it if the body is large or late.
    pub fn discard(mut self, node: &Arc<Node>) {
        let node = node.clone();
        tokio::spawn(async move {
            let reading = self.read_small_body();
            let whole = tokio::time::timeout(REJECTION_TIMEOUT, reading).await;
            if whole == Ok(true) {
                self.keep_connection(&node);
            }
        });
    }

    /// Reads and drops the body; returns whether it was small and complete.
    async fn read_small_body(&mut self) -> bool {
        let mut length = 0;
        while let Some(frame) = self.next_frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_REJECTION_BYTES {
                return false;
            }
        }
        true
    }

    /// Returns the connection to the pool; to be called after the body was read.
    pub fn keep_connection(self, node: &Node) {
        let closes = self.headers.get(hyper::header::CONNECTION);
        let closes = closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes {
            return;
        }
        let limit = keep_alive_limit(&self.headers);
        let pool = node.pool.clone();
        let mut connection = self.connection;
        // The connection becomes ready shortly after the last byte was read.
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                pool.give_back(connection, limit);
            }
        });
    }
}

fn keep_alive_limit(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse::<u64>().ok());
    seconds.map(Duration::from_secs)
}
