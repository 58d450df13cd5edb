//! A connection that knows whether an answer is still unwritten.

use crate::connections::open_answers::OpenAnswerGuard;
use crate::front::answer::AnswerBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use moleroad_config::prelude::Route;
use moleroad_types::prelude::Millis;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Longest time for which a connection that was shut down waits for the caller to close
/// its side.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of bytes that are read at once after the shutdown and discarded.
const DISCARD_BYTES: usize = 4_096;

/// The answer that a connection is about to deliver. A connection delivers one answer at
/// a time.
#[derive(Clone, Default)]
pub struct CurrentAnswer {
    state: Arc<Mutex<AnswerState>>,
}

#[derive(Default)]
enum AnswerState {
    #[default]
    None,
    /// The answer is being prepared, or parts of its body are still to come.
    InProgress(OpenAnswerGuard),
    /// The whole answer was encoded; some of it may still be buffered.
    Encoded { open: OpenAnswerGuard },
}

impl CurrentAnswer {
    /// Records that a request has arrived.
    pub fn begin(&self, open: OpenAnswerGuard) {
        *self.lock() = AnswerState::InProgress(open);
    }

    /// Sets the route of the request and the deadline for its answer.
    pub fn set_route(&self, route: &Arc<Route>, until: Millis) {
        if let AnswerState::InProgress(open) = &*self.lock() {
            open.set_route(route, until);
        }
    }

    /// Returns `body` such that its end is noticed.
    pub fn track(&self, body: AnswerBody) -> TrackedBody {
        if let AnswerState::InProgress(open) = &*self.lock() {
            open.progress().record_head();
        }
        TrackedBody {
            body,
            answer: self.clone(),
        }
    }

    fn encoded(&self) {
        let mut state = self.lock();
        if let AnswerState::InProgress(open) = std::mem::take(&mut *state) {
            *state = AnswerState::Encoded { open };
        }
    }

    /// Records bytes of the answer that were written to the connection.
    fn written(&self, bytes: usize) {
        if let AnswerState::InProgress(open) | AnswerState::Encoded { open } = &*self.lock() {
            open.progress().record_written(bytes);
        }
    }

    /// Records that all encoded bytes are written to the connection.
    fn flushed(&self) {
        let mut state = self.lock();
        match std::mem::take(&mut *state) {
            AnswerState::Encoded { open } => open.complete(),
            other => *state = other,
        }
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// The body of a [`CurrentAnswer`]. The HTTP server drops it when it is encoded.
pub struct TrackedBody {
    body: AnswerBody,
    answer: CurrentAnswer,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.answer.encoded();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Number of connections that were shut down and wait for their callers to close them.
#[derive(Clone, Default)]
pub struct ClosingConnections {
    count: Arc<AtomicUsize>,
}

impl ClosingConnections {
    /// Returns the number of such connections.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    fn begin(&self) -> ClosingGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        ClosingGuard(self.clone())
    }
}

/// Counts a connection as closing until dropped.
struct ClosingGuard(ClosingConnections);

impl Drop for ClosingGuard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The end of a connection after its shutdown.
struct Closing {
    timeout: Pin<Box<Sleep>>,
    _counted: ClosingGuard,
}

/// A caller's connection.
///
/// After its shutdown it reads until the caller has closed its side: a socket that is
/// closed with unread bytes resets the connection, and the caller may lose the end of an
/// answer.
pub struct TrackedStream {
    stream: TcpStream,
    answer: CurrentAnswer,
    all_closing: ClosingConnections,
    closing: Option<Closing>,
}

impl TrackedStream {
    /// Wraps `stream`, which delivers `answer`. It is counted in `all_closing` after its
    /// shutdown.
    pub fn new(stream: TcpStream, answer: CurrentAnswer, all_closing: ClosingConnections) -> Self {
        Self {
            stream,
            answer,
            all_closing,
            closing: None,
        }
    }

    /// Reads and discards bytes until the caller closes its side.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.answer.written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.answer.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.closing.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.closing = Some(Closing {
                timeout: Box::pin(tokio::time::sleep(CLOSE_TIMEOUT)),
                _counted: self.all_closing.begin(),
            });
        }
        if let Poll::Ready(result) = self.poll_discard(context) {
            return Poll::Ready(result);
        }
        match &mut self.closing {
            Some(closing) => closing.timeout.as_mut().poll(context).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}
