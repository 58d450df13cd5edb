//! Builds the caller's answer: the entry's own if no target provides one,
//! otherwise the target's without hop-by-hop headers.

use crate::front::answer::{Answer, AnswerBody, EntryError};
use crate::front::attempt::Attempts;
use crate::front::exchange::{Reply, implies_not_run};
use crate::front::request::forwarded_headers;
use crate::front::waiting::MIN_SEND_BUDGET_MS;
use crate::no_place::{NoPlace, NoPlaceCause, rejected_retry_ms};
use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderMap;

/// Reason why no further send is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// No target has room, or none is eligible.
    NoPlace(NoPlace),
    /// This process stops before it could complete the answer.
    Stopping,
    /// The deadline is too close or has passed.
    DeadlinePassed,
    /// The request must not be retried, or its retries are exhausted.
    NoRetry,
}

impl Attempts {
    /// Returns the answer when no target provided one.
    pub fn give_up(&mut self, reason: GiveUp) -> Answer {
        if let Some((reply, body)) = self.failed_reply.take() {
            return self.failed_answer(reply, body);
        }
        if self.may_have_run {
            return match reason {
                GiveUp::DeadlinePassed => EntryError::TimedOut.response(None),
                _ if self.node.clock.now() + MIN_SEND_BUDGET_MS > self.request.until => {
                    EntryError::TimedOut.response(None)
                }
                _ => EntryError::Broken.response(None),
            };
        }
        match reason {
            GiveUp::NoPlace(no_place) => {
                let error = match no_place.cause {
                    NoPlaceCause::Busy => EntryError::NoPlace,
                    NoPlaceCause::Evacuated => EntryError::AllEvacuated,
                    NoPlaceCause::Quarantined => EntryError::Quarantined,
                    NoPlaceCause::TurnedAway => EntryError::RejectedByTargets,
                    NoPlaceCause::Resting => EntryError::AllBackingOff,
                    NoPlaceCause::DisjointRegions => EntryError::NoCommonRegion,
                    NoPlaceCause::EmptyRegions(_) => EntryError::NoAllowedTarget,
                };
                error.response(Some(no_place.retry_after_ms))
            }
            GiveUp::Stopping => EntryError::Stopping.response(Some(0)),
            GiveUp::DeadlinePassed => EntryError::DeadlinePassedNotRun.response(Some(0)),
            GiveUp::NoRetry => {
                let slot_request = self.slot_request();
                let back_in_ms = rejected_retry_ms(&self.node, &self.node.view(), &slot_request);
                EntryError::RejectedByTargets.response(Some(back_in_ms))
            }
        }
    }

    fn failed_answer(&self, reply: Reply, body: Bytes) -> Answer {
        // Callers read these statuses as a guarantee that nothing ran.
        if implies_not_run(reply.status) {
            return EntryError::Broken.response(None);
        }
        let answer = forwarded_answer(&reply, AnswerBody::Whole(Some(body)));
        reply.keep_connection(&self.node);
        answer
    }
}

/// Builds the caller's answer from a target's reply.
pub fn forwarded_answer(reply: &Reply, body: AnswerBody) -> Answer {
    let headers: HeaderMap = forwarded_headers(&reply.headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = headers;
    answer
}

/// Attaches the last send to the answer, for the log.
pub fn attach_last_send(attempts: &Attempts, answer: &mut Answer) {
    if let Some(sent) = attempts.last_send() {
        answer.extensions_mut().insert(sent);
    }
}
