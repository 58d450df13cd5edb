//! Answers that the entry generates itself, and the body type of all answers.

use crate::front::parts::PartReceiver;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Largest part of a whole body that is handed to the HTTP server at a time, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// The body of an answer: complete, or forwarded in parts.
pub enum AnswerBody {
    /// The complete body; `None` once it was taken, or if it is empty.
    Whole(Option<Bytes>),
    /// Parts as they arrive.
    Parts(PartReceiver),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) => Poll::Ready(next_part(bytes).map(|b| Ok(Frame::data(b)))),
            AnswerBody::Parts(parts) => parts
                .poll_part(context)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Parts(_) => SizeHint::default(),
        }
    }
}

/// Takes the next part of a whole body. The HTTP server copies each part into its buffer,
/// which therefore never holds all of a large body.
fn next_part(rest: &mut Option<Bytes>) -> Option<Bytes> {
    let mut part = rest.take()?;
    if part.len() > MAX_PART_BYTES {
        *rest = Some(part.split_off(MAX_PART_BYTES));
    }
    Some(part)
}

/// An HTTP response to a caller.
pub type Answer = Response<AnswerBody>;

/// Reason why the entry answers a request itself, in place of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request cannot be read.
    BadRequest,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The body is too large.
    TooLarge,
    /// This process holds too many bytes of requests and answers; the request did not
    /// run.
    OutOfMemory,
    /// No target has room; the request did not run.
    NoPlace,
    /// All targets are in evacuated data halls; the request did not run.
    AllEvacuated,
    /// The process is shutting down; the request did not run.
    Stopping,
    /// The targets rejected the request; it did not run.
    RejectedByTargets,
    /// The deadline passed before the request was sent; it did not run.
    DeadlinePassedNotRun,
    /// No allowed region has an eligible and reachable target; the request did not
    /// run.
    NoAllowedTarget,
    /// The request is quarantined because several targets ended while running it;
    /// this time it did not run.
    Quarantined,
    /// Every eligible target asked for backoff; the request did not run.
    AllBackingOff,
    /// The route and the account allow no common region; the request did not run.
    NoCommonRegion,
    /// The request was sent and failed; it may have run.
    Broken,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// This process ends before an answer arrived; the request may have run.
    StoppedWhileSent,
}

impl EntryError {
    /// Returns the value of the `outcome` label in metrics.
    pub fn outcome(self) -> &'static str {
        use EntryError::*;
        match self {
            NoAllowedTarget => "no_allowed_target",
            NoCommonRegion => "no_common_region",
            Broken | TimedOut | StoppedWhileSent => "failed",
            _ => "refused",
        }
    }

    /// Returns the HTTP status, the result code and its text.
    pub fn parts(self) -> (StatusCode, &'static str, &'static str) {
        use EntryError::*;
        match self {
            NoConfiguration => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6201",
                "no configuration is known yet; not run",
            ),
            NoRoute => (StatusCode::NOT_FOUND, "MR-6202", "no route fits; not run"),
            UnknownKey => (
                StatusCode::UNAUTHORIZED,
                "MR-6203",
                "the key is missing or unknown; not run",
            ),
            BadRequest => (
                StatusCode::BAD_REQUEST,
                "MR-6204",
                "the request cannot be read; not run",
            ),
            BodyTimeout => (
                StatusCode::REQUEST_TIMEOUT,
                "MR-6205",
                "the body did not come in time; not run",
            ),
            TooLarge => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "MR-6206",
                "the body is too large; not run",
            ),
            OutOfMemory => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6218",
                "this entry has no memory for its body; not run",
            ),
            NoPlace => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6207",
                "no target has room; not run",
            ),
            AllEvacuated => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6215",
                "all its targets stand in evacuated data halls; not run",
            ),
            Stopping => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6208",
                "this entry stops; not run",
            ),
            RejectedByTargets => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6209",
                "targets turned it away; not run",
            ),
            DeadlinePassedNotRun => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6210",
                "its time is over; not run",
            ),
            NoAllowedTarget => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6213",
                "no region where it may be served has a target; not run",
            ),
            AllBackingOff => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6217",
                "all its targets asked for rest; not run",
            ),
            NoCommonRegion => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6214",
                "the configuration allows its route and its account no common region; not run",
            ),
            Quarantined => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6216",
                "targets ended under it; not run",
            ),
            Broken => (
                StatusCode::BAD_GATEWAY,
                "MR-6211",
                "the target's answer broke off; it may have run",
            ),
            TimedOut => (
                StatusCode::GATEWAY_TIMEOUT,
                "MR-6212",
                "its time is over; it may have run",
            ),
            StoppedWhileSent => (
                StatusCode::BAD_GATEWAY,
                "MR-6219",
                "this entry stops before its answer came; it may have run",
            ),
        }
    }

    /// Builds the answer; `retry_after_ms` sets the `Retry-After` header.
    pub fn response(self, retry_after_ms: Option<u64>) -> Answer {
        let (status, number, text) = self.parts();
        let body = Bytes::from(format!("{number} {text}\n"));
        let mut response = Response::new(AnswerBody::Whole(Some(body)));
        *response.status_mut() = status;
        // Read when the answer is logged.
        response.extensions_mut().insert(self);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(ms) = retry_after_ms {
            let seconds = format!("{:.2}", ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Asks the caller to close the connection after this answer.
pub fn close_after(answer: &mut Answer) {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
