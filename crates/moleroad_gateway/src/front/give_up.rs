//! What a caller is answered when no target brings an answer, and what of a
//! target's answer it gets.

use crate::front::answer::{Answer, AnswerBody, EntryError};
use crate::front::attempt::Attempts;
use crate::front::exchange::{Reply, is_promise};
use crate::front::request::forwarded;
use crate::front::waiting::LEAST_USEFUL_MS;
use crate::no_place::{NoPlace, NoPlaceCause, turned_away_retry_ms};
use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderMap;

/// Why no further send is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// No target has room, or none may get it.
    NoPlace(NoPlace),
    /// Its time is over.
    TimeOver,
    /// It may not be sent again.
    NotAgain,
}

impl Attempts {
    /// The answer when no target brought one.
    pub fn give_up(&mut self, reason: GiveUp) -> Answer {
        if let Some((reply, body)) = self.failed_reply.take() {
            return self.failed_answer(reply, body);
        }
        if self.may_have_run {
            return match reason {
                GiveUp::TimeOver => EntryError::TimedOut.response(None),
                _ if self.node.clock.now() + LEAST_USEFUL_MS > self.request.until => {
                    EntryError::TimedOut.response(None)
                }
                _ => EntryError::Broken.response(None),
            };
        }
        match reason {
            GiveUp::NoPlace(no_place) => {
                let own = match no_place.cause {
                    NoPlaceCause::Busy => EntryError::NoPlace,
                    NoPlaceCause::Evacuated => EntryError::AllEvacuated,
                    NoPlaceCause::Quarantined => EntryError::Quarantined,
                    NoPlaceCause::TurnedAway => EntryError::TurnedAway,
                    NoPlaceCause::Resting => EntryError::AllBackingOff,
                    NoPlaceCause::DisjointRegions => EntryError::NoCommonRegion,
                    NoPlaceCause::EmptyRegions(_) => EntryError::NoAllowedTarget,
                };
                own.response(Some(no_place.retry_after_ms))
            }
            GiveUp::TimeOver => EntryError::DeadlinePassedNotRun.response(Some(0)),
            GiveUp::NotAgain => {
                let ask = self.ask();
                let back_in_ms = turned_away_retry_ms(&self.node, &self.node.view(), &ask);
                EntryError::TurnedAway.response(Some(back_in_ms))
            }
        }
    }

    fn failed_answer(&self, reply: Reply, body: Bytes) -> Answer {
        // Callers would take the status as a promise that nothing ran.
        if is_promise(reply.status) {
            return EntryError::Broken.response(None);
        }
        let answer = passed_on(&reply, AnswerBody::Whole(Some(body)));
        reply.keep_connection(&self.node);
        answer
    }
}

/// A target's answer, as the caller gets it.
pub fn passed_on(reply: &Reply, body: AnswerBody) -> Answer {
    let headers: HeaderMap = forwarded(&reply.headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = headers;
    answer
}

/// Leaves the last send with the answer, for the log.
pub fn note_last_send(attempts: &Attempts, answer: &mut Answer) {
    if let Some(sent) = attempts.last_send() {
        answer.extensions_mut().insert(sent);
    }
}
