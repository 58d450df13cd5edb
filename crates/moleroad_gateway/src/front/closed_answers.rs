//! Answers with neither a length nor chunks, which end with their connection.
//!
//! A target that terminates may close its connections in order, so that part of an
//! answer looks like all of it. A new connection tells the two apart: the port of a
//! process that terminated refuses it. Where the target was silent for long, another
//! process may listen there by now, so that it is asked who it is.

use crate::front::exchange::Reply;
use crate::front::pool::Connection;
use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, StatusCode};
use moleroad_dispatch::prelude::Candidate;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time that an answer waits for the new connection, and for the answer of who
/// listens there: a few round trips between regions.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest time in which a process ends and another one listens at its address.
const MIN_RESTART: Duration = Duration::from_millis(500);

/// What the end of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer is complete.
    Complete,
    /// The answer looks complete, but it is unknown whether its target terminated.
    Unverified,
    /// The target terminated, so that the answer may lack its end.
    TargetTerminated,
}

/// The silence of a target while it runs a request.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    heard_at: Instant,
    longest: Duration,
}

impl Silence {
    /// Begins when the request is sent.
    pub fn begin(now: Instant) -> Self {
        Self {
            heard_at: now,
            longest: Duration::ZERO,
        }
    }

    /// Records that something came from the target, or the end of its connection.
    pub fn end(&mut self, now: Instant) {
        self.longest = self.longest.max(now.duration_since(self.heard_at));
        self.heard_at = now;
    }

    /// Returns whether the target may have been replaced meanwhile.
    fn allows_restart(&self) -> bool {
        self.longest >= MIN_RESTART
    }
}

impl Reply {
    /// Returns whether the answer has neither a length nor chunks.
    pub fn ends_with_connection(&self) -> bool {
        let is_framed =
            [CONTENT_LENGTH, TRANSFER_ENCODING].map(|name| self.headers.contains_key(name));
        let has_no_body = matches!(
            self.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        is_framed == [false, false] && !has_no_body
    }

    /// Returns what the end of this answer of `target` means, once its body was read
    /// without an error.
    pub async fn end(&self, node: &Node, service: &str, target: &Candidate) -> AnswerEnd {
        if !self.ends_with_connection() {
            return AnswerEnd::Complete;
        }
        let connecting = node.pool.connect(target.address);
        let end = match tokio::time::timeout(CHECK_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => {
                node.metrics.count("connection_opened");
                if self.silence.allows_restart() {
                    identify(node, service, target, connection).await
                } else {
                    node.pool.give_back_unused(connection);
                    AnswerEnd::Complete
                }
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                AnswerEnd::TargetTerminated
            }
            _ if self.silence.allows_restart() => AnswerEnd::TargetTerminated,
            _ => AnswerEnd::Unverified,
        };
        node.metrics.count(match end {
            AnswerEnd::Complete => "closed_answer_complete",
            AnswerEnd::Unverified => "closed_answer_unverified",
            AnswerEnd::TargetTerminated => "closed_answer_cut",
        });
        end
    }
}

/// Asks whether `target` still listens at its address. An answer of a target that says
/// nothing counts as cut.
async fn identify(
    node: &Node,
    service: &str,
    target: &Candidate,
    mut connection: Connection,
) -> AnswerEnd {
    let Some(check) = identity_check(node, service, target) else {
        node.pool.give_back_unused(connection);
        return AnswerEnd::Unverified;
    };
    let sending = connection.sender.send_request(check);
    let end = match tokio::time::timeout(CHECK_TIMEOUT, sending).await {
        Ok(Ok(answer)) if answer.status() != StatusCode::MISDIRECTED_REQUEST => AnswerEnd::Complete,
        _ => AnswerEnd::TargetTerminated,
    };
    log::info!(event = "target_identified", target:% = target.id, end:? = end; "");
    end
}

/// Returns a health check that only `target` itself may answer.
fn identity_check(node: &Node, service: &str, target: &Candidate) -> Option<Request<Full<Bytes>>> {
    let path = node.view().service(service)?.health_path.clone()?;
    let id = HeaderValue::from_str(target.id.as_str()).ok()?;
    Request::get(path)
        .header(HOST, target.address.to_string())
        .header(&node.interface.headers().expected_target, id)
        .body(Full::default())
        .ok()
}
