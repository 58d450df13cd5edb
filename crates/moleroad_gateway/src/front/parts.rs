//! The body of an answer that is forwarded in parts.
//!
//! The answer ends as complete only if its sender says so. However else the sender ends,
//! the answer breaks off, so that its caller does not take it as complete.

use crate::held_bytes::PART_BUFFER;
use bytes::Bytes;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Creates the two ends of an answer.
pub fn answer_parts() -> (PartSender, PartReceiver) {
    let (sender, receiver) = mpsc::channel(PART_BUFFER);
    let is_complete = Arc::new(AtomicBool::new(false));
    let sender = PartSender {
        parts: sender,
        is_complete: is_complete.clone(),
    };
    let receiver = PartReceiver {
        parts: receiver,
        is_complete,
    };
    (sender, receiver)
}

/// The caller no longer takes the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLeft;

/// Sends the parts of an answer. If it is dropped without [`PartSender::finish`], the answer
/// breaks off after the parts sent so far.
#[derive(Debug)]
pub struct PartSender {
    parts: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl PartSender {
    /// Sends a part once there is room for it.
    ///
    /// # Errors
    /// Returns [`CallerLeft`] if the caller has left.
    pub async fn send(&self, part: Bytes) -> Result<(), CallerLeft> {
        self.parts.send(part).await.map_err(|_| CallerLeft)
    }

    /// Returns whether the caller has taken all parts sent so far.
    pub fn is_drained(&self) -> bool {
        self.parts.capacity() == PART_BUFFER
    }

    /// Waits until the caller leaves.
    pub async fn caller_left(&self) {
        self.parts.closed().await;
    }

    /// Ends the answer as complete.
    pub fn finish(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// Receives the parts of an answer.
#[derive(Debug)]
pub struct PartReceiver {
    parts: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl PartReceiver {
    /// Returns the next part, `None` at the end of a complete answer, or an error at the end
    /// of one that breaks off.
    pub fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        self.parts.poll_recv(context).map(|part| match part {
            Some(part) => Some(Ok(part)),
            None if self.is_complete.load(Ordering::Acquire) => None,
            None => Some(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "the answer broke off",
            ))),
        })
    }
}
