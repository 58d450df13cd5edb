//! Answers of our own, and the body of every answer.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The body of an answer: whole, or in parts as they come.
pub enum AnswerBody {
    /// All bytes at once.
    Whole(Option<Bytes>),
    /// Parts; an error ends the answer so that it does not look complete.
    Parts(mpsc::Receiver<io::Result<Bytes>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Parts(parts) => parts
                .poll_recv(context)
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

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Why a request is answered by the entry itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route fits.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request cannot be read.
    BadRequest,
    /// The body did not come in time.
    BodyTimeout,
    /// The body is too large.
    TooLarge,
    /// No target can take it now; it did not run.
    NoPlace,
    /// All targets stand in evacuated data halls; it did not run.
    AllEvacuated,
    /// It was not sent because the process stops.
    Leaving,
    /// The targets turned it away; it did not run.
    TurnedAway,
    /// Its time is over before it was sent; it did not run.
    DeadlinePassedNotRun,
    /// No target of an allowed region may get it and is reachable; it did not
    /// run.
    NoAllowedTarget,
    /// Targets ended under it, and it is not sent any more; it did not run.
    Quarantined,
    /// Every target that may get it asked for rest; it did not run.
    AllBackingOff,
    /// Its route and account allow no common region; it did not run.
    NoCommonRegion,
    /// It was sent and failed; it may have run.
    Broken,
    /// Its time is over; it may have run.
    TimedOut,
}

impl EntryError {
    /// What it counts as in metrics.
    pub fn outcome(self) -> &'static str {
        use EntryError::*;
        match self {
            NoAllowedTarget => "no_allowed_target",
            NoCommonRegion => "no_common_region",
            Broken | TimedOut => "failed",
            _ => "refused",
        }
    }

    /// Status, number and text.
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
            Leaving => (
                StatusCode::SERVICE_UNAVAILABLE,
                "MR-6208",
                "this entry stops; not run",
            ),
            TurnedAway => (
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
        }
    }

    /// The answer; `retry_after_ms` tells when to come back.
    pub fn response(self, retry_after_ms: Option<u64>) -> Answer {
        let (status, number, text) = self.parts();
        let body = Bytes::from(format!("{number} {text}\n"));
        let mut response = Response::new(AnswerBody::Whole(Some(body)));
        *response.status_mut() = status;
        // For the log.
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

/// Asks the caller to use another connection for its next request.
pub fn close_after(answer: &mut Answer) {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
