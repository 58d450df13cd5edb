//! One send to a target.

use crate::acquire::Place;
use crate::front::pool::Connection;
use crate::front::request::Accepted;
use crate::grants;
use crate::node::Node;
use crate::target_notice::AnswerHead;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, StatusCode, http};
use moleroad_dispatch::prelude::{Candidate, Requirements, barrier};
use moleroad_types::prelude::Millis;
use std::time::Duration;

/// Largest answer that is held until it is whole, in bytes; the rest of a
/// larger one is passed on as it comes.
pub const MAX_HELD_BYTES: usize = 1 << 20;

/// Why a send brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection came up; nothing was sent.
    Unreachable,
    /// It could not begin in time: its grant or part lapsed, the target turned
    /// cold since it was chosen, or news did not come after the process had stood
    /// still; nothing was sent.
    Lapsed,
    /// The target may not get it any more, by what was learned since it was
    /// chosen; nothing was sent.
    Barred,
    /// It was sent, and the connection broke before an answer.
    Broken,
    /// The answer belongs to another request, or is not signed.
    Spoilt,
    /// No answer came in time.
    TimedOut,
}

impl SendError {
    /// Whether nothing went out.
    pub fn is_not_sent(self) -> bool {
        matches!(
            self,
            SendError::Unreachable | SendError::Lapsed | SendError::Barred
        )
    }
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target ran it and it succeeded.
    Succeeded,
    /// The target did not run it.
    TurnedAway,
    /// The target ran it and it failed.
    Failed,
    /// The target answered something else that is final.
    Final,
}

/// The head of a target's answer, and the connection that brings the body.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Incoming,
    /// What the head means.
    pub verdict: Verdict,
    /// The connection; dropped, it is closed.
    pub connection: Connection,
}

/// Sends `request` to the target of `place` and waits for the head of the answer.
///
/// # Errors
/// [`SendError`]; only after [`SendError::Unreachable`],
/// [`SendError::Lapsed`] and [`SendError::Barred`] nothing was sent.
pub async fn send(
    node: &Node,
    request: &Accepted,
    place: &Place,
    least_version: Option<u64>,
    last_event: Option<&Bytes>,
    until: Millis,
) -> Result<Reply, SendError> {
    let candidate = &place.candidate;
    let mut message = build(node, request, candidate, least_version, last_event)?;
    let limit = node.clock.instant(until);
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
        // It may have stood still while it chose or connected.
        let heard = tokio::time::timeout_at(limit, node.catch_up_after_suspension()).await;
        if heard.is_err() {
            node.pool.give_back_unused(connection);
            return Err(SendError::Lapsed);
        }
        if is_barred(node, request, candidate) {
            node.pool.give_back_unused(connection);
            return Err(SendError::Barred);
        }
        if !grants::holds(node, &request.service, candidate) {
            node.pool.give_back_unused(connection);
            return Err(SendError::Lapsed);
        }
        set_deadline(node, request, candidate, message.headers_mut());
        let sent_at = node.clock.now();
        let sending = connection.sender.try_send_request(message);
        match tokio::time::timeout_at(limit, sending).await {
            Err(_) => return Err(SendError::TimedOut),
            Ok(Ok(response)) => {
                // Also where the answer is another request's: the target made it.
                node.apply_notice(AnswerHead {
                    from: place.answerer(),
                    request: request.id.to_str().unwrap_or("-"),
                    sent_at: is_answer_to(node, request, response.headers()).then_some(sent_at),
                    status: response.status(),
                    headers: response.headers(),
                });
                return judge(node, request, response, connection);
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The kept connection was closed before anything went out.
                Some(unsent) if is_kept => {
                    message = unsent;
                    kept = node.pool.take(candidate.address);
                }
                _ => return Err(SendError::Broken),
            },
        }
    }
}

/// Whether a target that was chosen may not get the request any more: while it
/// waited or connected, a configuration may have taken the region away, the
/// target may have left or asked for rest, its weights may have become too old, or
/// other targets may have ended under the request.
fn is_barred(node: &Node, request: &Accepted, chosen: &Candidate) -> bool {
    let view = node.view();
    if !request.is_trial && node.hold_left_ms(&view, &request.fingerprint).is_some() {
        return true;
    }
    let residency = view.residency(&request.residency);
    // `tried` is left out: this target was added to it when it was chosen.
    let needs = Requirements {
        now: node.clock.now(),
        least: node.least_version(&view, &request.service),
        regions: Some(residency.allowed()),
        ..Requirements::default()
    };
    let places = view.services.get(&request.service);
    let known = places.and_then(|places| places.targets.candidate(&chosen.id));
    known.is_none_or(|known| barrier(known, needs).is_some())
}

fn build(
    node: &Node,
    request: &Accepted,
    candidate: &Candidate,
    least_version: Option<u64>,
    last_event: Option<&Bytes>,
) -> Result<Request<Full<Bytes>>, SendError> {
    let names = node.interface.headers();
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.parse().map_err(|_| SendError::Unreachable)?;
    *message.headers_mut() = request.headers.clone();
    let headers = message.headers_mut();
    if let Ok(id) = HeaderValue::from_str(candidate.id.as_str()) {
        headers.insert(&names.expected_target, id);
    }
    if let Some(version) = least_version.and(candidate.version) {
        headers.insert(&names.expected_version, HeaderValue::from(version));
    }
    if let Some(event) = last_event
        && let Ok(event) = HeaderValue::from_bytes(event)
    {
        headers.insert(&names.last_event, event);
    }
    Ok(message)
}

/// Says how long the target has. An engine may go on with a request whose
/// connection was closed; it stops at the time that it is given: what still
/// waits in its queue then does not begin on weights that are too old.
fn set_deadline(node: &Node, request: &Accepted, candidate: &Candidate, headers: &mut HeaderMap) {
    let names = node.interface.headers();
    let old = node.old_weights(&request.service, candidate.version);
    let until = old.map_or(request.until, |old| old.last_start.min(request.until));
    let left = until.since(node.clock.now()).max(1);
    headers.insert(&names.deadline_ms, HeaderValue::from(left));
}

/// Whether the answer names the request as the one that it is to.
fn is_answer_to(node: &Node, request: &Accepted, headers: &HeaderMap) -> bool {
    let names = node.interface.headers();
    headers.get(&names.request_id) == Some(&request.id)
}

fn judge(
    node: &Node,
    request: &Accepted,
    response: http::Response<Incoming>,
    connection: Connection,
) -> Result<Reply, SendError> {
    let names = node.interface.headers();
    let (head, body) = response.into_parts();
    let same = is_answer_to(node, request, &head.headers);
    let not_executed = head.headers.contains_key(&names.not_executed)
        || head.status == StatusCode::MISDIRECTED_REQUEST;
    // A target that runs nothing may answer before it has read the identity.
    let is_other = !same && (!not_executed || head.headers.contains_key(&names.request_id));
    if is_other {
        node.metrics.count("answer_of_another_request");
        return Err(SendError::Spoilt);
    }
    let signed = head.headers.contains_key(&names.signature);
    let verdict = if not_executed {
        Verdict::TurnedAway
    } else if head.status.is_success() {
        if !signed {
            node.metrics.count("answer_not_signed");
            return Err(SendError::Spoilt);
        }
        Verdict::Succeeded
    } else if head.status.is_server_error() || is_promise(head.status) {
        Verdict::Failed
    } else {
        Verdict::Final
    };
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
        verdict,
        connection,
    })
}

/// Whether callers take the status as a promise that nothing ran.
pub fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

impl Reply {
    /// Reads the whole body and keeps the connection for the next request.
    ///
    /// # Errors
    /// When the body breaks off, is too large or does not come in time.
    pub async fn whole_body(&mut self, node: &Node, until: Millis) -> Result<Bytes, SendError> {
        let mut bytes = BytesMut::new();
        let limit = node.clock.instant(until);
        loop {
            let frame = tokio::time::timeout_at(limit, self.body.frame()).await;
            match frame {
                Err(_) => return Err(SendError::TimedOut),
                Ok(None) => return Ok(bytes.freeze()),
                Ok(Some(Err(_))) => return Err(SendError::Broken),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        bytes.extend_from_slice(&data);
                    }
                }
            }
            if bytes.len() > MAX_HELD_BYTES * 16 {
                return Err(SendError::Broken);
            }
        }
    }

    /// Keeps the connection for the next request, once the body was read.
    pub fn keep_connection(self, node: &Node) {
        let closes = self.headers.get(hyper::header::CONNECTION);
        let closes = closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes {
            return;
        }
        let limit = keep_alive_limit(&self.headers);
        let pool = node.pool.clone();
        let mut connection = self.connection;
        // It is ready for the next request a moment after the last byte.
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
