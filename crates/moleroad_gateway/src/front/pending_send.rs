//! A send whose target has not begun to answer, and what happens if the target stays
//! silent: it keeps the request while another one is looked for, and whichever goes on
//! first is used.

use crate::acquire::ReservedSlot;
use crate::front::attempt::{Attempts, RETARGET_CHECK_INTERVAL, RunningSend};
use crate::front::exchange::{self, Reply, ReplyClass, SendError};
use crate::front::give_up::GiveUp;
use crate::front::request::AcceptedRequest;
use crate::front::silence_timeouts;
use crate::node::Node;
use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::body::Frame;
use moleroad_dispatch::prelude::{Candidate, Outcome};
use std::pin::pin;
use std::time::Duration;
use tokio::time::Instant;

/// A send whose target has not begun to answer.
pub(super) struct PendingSend {
    pub(super) slot: ReservedSlot,
    pub(super) head: BoxFuture<'static, Result<Reply, SendError>>,
}

/// Why a send is not waited for any longer.
pub(super) enum NoHead {
    /// The request must not begin at the target any more.
    Forbidden,
    /// The target is silent, and another one could take the request.
    Silent,
}

/// The next frame of a body; `None` at its end.
pub(super) type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// What became of a silent stream.
pub(super) enum AfterSilence {
    /// The target went on.
    Frame(BodyFrame),
    /// Another target has begun to answer.
    Replaced(Box<RunningSend>),
    /// No other target took the request.
    NoOther,
    /// The request must not begin at the silent target any more.
    Forbidden,
}

/// Returns whether a request that the target has not begun must not begin there any more,
/// because the target's weights are too old by now or the request was quarantined after
/// other targets ended while running it. Most targets drop a queued request when its
/// connection closes.
pub(super) fn is_start_forbidden(
    node: &Node,
    request: &AcceptedRequest,
    candidate: &Candidate,
) -> bool {
    let view = node.view();
    let min_version = node.min_version(&view, &request.service);
    let version = candidate.version;
    let is_outdated =
        min_version.is_some_and(|min_version| version.is_some_and(|version| version < min_version));
    let left_ms = node.hold_left_ms(&view, &request.suspects);
    is_outdated || (left_ms.is_some() && !request.is_trial)
}

/// Waits until [`is_start_forbidden`].
async fn start_forbidden(node: &Node, request: &AcceptedRequest, candidate: &Candidate) {
    while !is_start_forbidden(node, request, candidate) {
        tokio::time::sleep(RETARGET_CHECK_INTERVAL).await;
    }
}

impl Attempts {
    /// Returns whether the request must not begin any more at the target of `slot`.
    pub fn is_start_forbidden(&self, slot: &ReservedSlot) -> bool {
        is_start_forbidden(&self.node, &self.request, &slot.candidate)
    }

    /// Begins a send to the target of `slot`.
    pub(super) fn begin_send(
        &self,
        slot: ReservedSlot,
        min_version: Option<u64>,
        last_event: Option<&Bytes>,
    ) -> PendingSend {
        let head = exchange::send(
            self.node.clone(),
            self.request.clone(),
            slot.candidate.clone(),
            slot.responder(),
            min_version,
            last_event.cloned(),
        );
        PendingSend {
            slot,
            head: Box::pin(head),
        }
    }

    /// Waits until the send ends, with the head of an answer or without. Only a stream's
    /// target counts as silent.
    pub(super) async fn wait_for_head(
        &self,
        pending: &mut PendingSend,
    ) -> Result<Result<Reply, SendError>, NoHead> {
        let PendingSend { slot, head } = pending;
        let route = &self.request.route;
        if !route.streaming {
            return Ok(head.await);
        }
        let timeout = Duration::from_millis(silence_timeouts::first_event_timeout_ms(route));
        let began = Instant::now();
        let silence = async {
            loop {
                tokio::time::sleep(RETARGET_CHECK_INTERVAL).await;
                if is_start_forbidden(&self.node, &self.request, &slot.candidate) {
                    return NoHead::Forbidden;
                }
                if began.elapsed() >= timeout && self.can_retarget(self.sends() + 1) {
                    return NoHead::Silent;
                }
            }
        };
        tokio::select! {
            biased;
            sent = head => Ok(sent),
            reason = silence => Err(reason),
        }
    }

    /// Looks for another target while a silent one keeps the request. Returns the run
    /// that began first, or what the silent target came to if there is no other.
    pub(super) async fn race_silent_send(
        &mut self,
        mut silent: PendingSend,
        last_event: Option<&Bytes>,
    ) -> Result<RunningSend, GiveUp> {
        self.log_silent(&silent.slot);
        self.sends.reached_target();
        self.record_broken_answer();
        let (node, request) = (self.node.clone(), self.request.clone());
        let candidate = silent.slot.candidate.clone();
        let mut ended = None;
        let other = {
            let mut forbidden = pin!(start_forbidden(&node, &request, &candidate));
            let mut other = Box::pin(self.next_run(last_event));
            loop {
                tokio::select! {
                    biased;
                    sent = &mut silent.head, if ended.is_none() => {
                        let begins = sent.as_ref().is_ok_and(begins_answer);
                        ended = Some(sent);
                        if begins {
                            break None;
                        }
                    }
                    () = forbidden.as_mut(), if ended.is_none() => {
                        // Dropping the send closes its connection.
                        silent.head = Box::pin(std::future::pending());
                        ended = Some(Err(SendError::TimedOut));
                    }
                    other = &mut other => break Some(other),
                }
            }
        };
        if let Some(Ok(run)) = other {
            silent.slot.set_outcome(Outcome::Broken);
            return Ok(run);
        }
        let sent = match ended {
            Some(sent) => sent,
            None => tokio::select! {
                biased;
                sent = &mut silent.head => sent,
                () = start_forbidden(&node, &request, &candidate) => Err(SendError::TimedOut),
            },
        };
        drop(silent.head);
        self.log_send(&silent.slot, &sent);
        let nobody = match other {
            Some(Err(reason)) => reason,
            _ => GiveUp::NoRetry,
        };
        match sent {
            Ok(reply) => self.take_head(silent.slot, reply).await.ok_or(nobody),
            Err(error) => {
                if error.is_not_sent() {
                    silent.slot.clear_send();
                }
                self.record_failed_send(&mut silent.slot, error);
                Err(nobody)
            }
        }
    }

    /// Looks for another target while a silent one keeps its stream, of which the head
    /// or some events have arrived.
    pub(super) async fn race_silent_stream(
        &mut self,
        silent: &mut RunningSend,
        last_event: Option<&Bytes>,
    ) -> AfterSilence {
        self.log_silent(&silent.slot);
        self.record_broken_answer();
        let (node, request) = (self.node.clone(), self.request.clone());
        let candidate = silent.slot.candidate.clone();
        let has_begun = silent.slot.has_event();
        tokio::select! {
            biased;
            frame = silent.reply.next_frame() => AfterSilence::Frame(frame),
            other = self.next_run(last_event) => match other {
                Ok(run) if run.reply.class == ReplyClass::Succeeded => {
                    AfterSilence::Replaced(Box::new(run))
                }
                _ => AfterSilence::NoOther,
            },
            () = start_forbidden(&node, &request, &candidate), if !has_begun => {
                AfterSilence::Forbidden
            }
        }
    }
}

/// Returns whether the target ran the request and answers it.
fn begins_answer(reply: &Reply) -> bool {
    matches!(reply.class, ReplyClass::Succeeded | ReplyClass::Final)
}
