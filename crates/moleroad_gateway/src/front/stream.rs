//! Forwards event streams as they arrive.
//!
//! If a target's stream breaks, it is resumed at another target without a new
//! response head; if that is impossible, the answer is aborted so that the caller
//! does not take it as complete.

use crate::front::answer::{Answer, AnswerBody, EntryError};
use crate::front::attempt::{Attempts, RETARGET_CHECK_INTERVAL, RunningSend};
use crate::front::broken_sends::Progress;
use crate::front::closed_answers::AnswerEnd;
use crate::front::events::EventSplitter;
use crate::front::exchange::ReplyClass;
use crate::front::first_events::{FirstEvents, first_events};
use crate::front::give_up::{GiveUp, attach_last_send, forwarded_answer};
use crate::front::parts::{CallerLeft, PartSender, answer_parts};
use crate::front::pending_send::{AfterSilence, BodyFrame};
use crate::front::request::AcceptedRequest;
use crate::front::silence_timeouts;
use crate::node::Node;
use bytes::Bytes;
use moleroad_dispatch::prelude::Outcome;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two checks whether held bytes have become fewer.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The side that ended a stream early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BrokenBy {
    /// The target or the link to it.
    Target,
    /// This entry: the target was silent, sent an oversized event, or must not
    /// begin the request any more.
    Entry,
}

/// How the stream of one target ended.
enum StreamEnd {
    Complete(AnswerEnd),
    Broken(BrokenBy),
    CallerLeft,
    DeadlinePassed,
}

/// Sends a request whose answer is a stream, and starts forwarding the events.
pub async fn answer_stream(node: &Arc<Node>, request: AcceptedRequest) -> Answer {
    let mut splitter = EventSplitter::after(request.last_event.clone());
    let mut attempts = Attempts::new(node.clone(), request);
    loop {
        let mut running = match attempts.next_run(None).await {
            Ok(running) => running,
            Err(reason) => {
                let mut answer = attempts.give_up(reason);
                attach_last_send(&attempts, &mut answer);
                return answer;
            }
        };
        if running.reply.class == ReplyClass::Final {
            return forward_final(node, &attempts, running).await;
        }
        match first_events(node, &mut attempts, &mut running, &mut splitter).await {
            FirstEvents::Events(events) => {
                running.slot.mark_prompt_read();
                running.slot.record_event(node.clock.now());
                return start_relay(node, attempts, running, splitter, events);
            }
            FirstEvents::Complete => {
                // Without an event the target may not have begun to answer.
                node.record_success(&attempts.request.suspects.without_prompt_parts());
                running.slot.set_outcome(Outcome::Answered);
                let answer = forwarded_answer(&running.reply, AnswerBody::Whole(None));
                running.reply.keep_connection(node);
                return answer;
            }
            FirstEvents::Broken(by) => {
                if by == BrokenBy::Target {
                    attempts.record_break(&running.slot, Progress::NoEvent);
                }
                running.slot.set_outcome(Outcome::Broken);
                attempts.record_broken_answer();
                splitter.discard_partial_event();
                if !attempts.is_idempotent() {
                    return attempts.give_up(GiveUp::NoRetry);
                }
            }
        }
    }
}

async fn forward_final(node: &Arc<Node>, attempts: &Attempts, mut running: RunningSend) -> Answer {
    match running
        .reply
        .read_whole_body(node, attempts.request.until)
        .await
    {
        Ok(body) => {
            running.slot.set_outcome(Outcome::Answered);
            let answer = forwarded_answer(&running.reply, AnswerBody::Whole(Some(body)));
            running.reply.keep_connection(node);
            answer
        }
        Err(error) => {
            attempts.record_body_error(&running.slot, error);
            running.slot.set_outcome(Outcome::Broken);
            EntryError::Broken.response(None)
        }
    }
}

/// Returns the outcome to record for a target whose stream broke. It is not a
/// failure if the engine aborted its requests to switch to other weights.
fn broken_outcome(node: &Node, running: &RunningSend) -> Outcome {
    let view = node.view();
    let agent = view
        .directory
        .agent_for_engine(running.slot.candidate.address);
    let report = agent.and_then(|agent| agent.record.report.as_ref());
    if report.is_some_and(|report| report.switching) {
        Outcome::Abandoned
    } else {
        Outcome::Broken
    }
}

/// Answers with the first events and leaves the rest to a task.
fn start_relay(
    node: &Arc<Node>,
    attempts: Attempts,
    running: RunningSend,
    splitter: EventSplitter,
    events: Bytes,
) -> Answer {
    let (parts, body) = answer_parts();
    let mut answer = forwarded_answer(&running.reply, AnswerBody::Parts(body));
    attach_last_send(&attempts, &mut answer);
    let relay = Relay {
        node: node.clone(),
        attempts,
        splitter,
        parts,
    };
    tokio::spawn(relay.run(running, events));
    answer
}

struct Relay {
    node: Arc<Node>,
    attempts: Attempts,
    splitter: EventSplitter,
    parts: PartSender,
}

impl Relay {
    async fn run(mut self, mut running: RunningSend, first: Bytes) {
        if self.parts.send(first).await.is_err() {
            return;
        }
        loop {
            let end = self.forward_events(&mut running).await;
            match end {
                StreamEnd::Complete(end) => {
                    if end == AnswerEnd::Complete {
                        self.node.record_success(&self.attempts.request.suspects);
                    }
                    running.slot.set_outcome(Outcome::Answered);
                    running.reply.keep_connection(&self.node);
                    self.log_end("complete");
                    return self.parts.finish();
                }
                StreamEnd::CallerLeft => return self.log_end("caller_left"),
                StreamEnd::DeadlinePassed => return self.log_end("time_over"),
                StreamEnd::Broken(by) => {
                    if by == BrokenBy::Target {
                        self.attempts
                            .record_break(&running.slot, Progress::SomeEvents);
                    }
                    running
                        .slot
                        .set_outcome(broken_outcome(&self.node, &running));
                    drop(running);
                    self.attempts.record_broken_answer();
                    self.splitter.discard_partial_event();
                    match self.resume().await {
                        Some(next) => running = next,
                        None => return self.log_end("not_resumed"),
                    }
                }
            }
        }
    }

    async fn forward_events(&mut self, running: &mut RunningSend) -> StreamEnd {
        let request = self.attempts.request.clone();
        let until = self.node.clock.instant(request.until);
        let timeout =
            Duration::from_millis(silence_timeouts::next_event_timeout_ms(&request.route));
        let mut look = Instant::now() + timeout;
        loop {
            let limit = until.min(look);
            let frame = tokio::select! {
                biased;
                () = self.parts.caller_left() => return StreamEnd::CallerLeft,
                frame = tokio::time::timeout_at(limit, running.reply.next_frame()) => frame,
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(_) if Instant::now() >= until => return StreamEnd::DeadlinePassed,
                Err(_) if !self.attempts.can_retarget(self.attempts.sends()) => {
                    look = Instant::now() + RETARGET_CHECK_INTERVAL;
                    continue;
                }
                Err(_) => match self.race_silent(running).await {
                    Ok(Some(frame)) => frame,
                    Ok(None) => {
                        look = Instant::now() + timeout;
                        continue;
                    }
                    Err(end) => return end,
                },
            };
            look = Instant::now() + timeout;
            if let Some(end) = self.forward_frame(running, frame, until).await {
                return end;
            }
        }
    }

    /// Forwards one frame of a target's body; returns how the stream ended, if it did.
    async fn forward_frame(
        &mut self,
        running: &mut RunningSend,
        frame: BodyFrame,
        until: Instant,
    ) -> Option<StreamEnd> {
        let data = match frame {
            None if self.splitter.has_partial_event() => {
                return Some(StreamEnd::Broken(BrokenBy::Target));
            }
            None => return Some(self.end_of(running).await),
            Some(Err(_)) => return Some(StreamEnd::Broken(BrokenBy::Target)),
            Some(Ok(frame)) => frame.into_data().ok()?,
        };
        let events = self.splitter.push(&data);
        if running.is_event_too_long(&self.splitter) {
            return Some(StreamEnd::Broken(BrokenBy::Entry));
        }
        if events.is_empty() {
            return None;
        }
        if running.slot.record_event(self.node.clock.now()) {
            self.node
                .record_sound_parts(&self.attempts.request.suspects);
        }
        self.deliver(events, until).await.err()
    }

    /// Looks for another target for a silent stream. Returns the next frame of the silent
    /// target, or `None` if there is nothing new; if another target has taken over,
    /// `running` is its run.
    async fn race_silent(
        &mut self,
        running: &mut RunningSend,
    ) -> Result<Option<BodyFrame>, StreamEnd> {
        let last = self.splitter.last_id().cloned();
        let after = tokio::select! {
            biased;
            () = self.parts.caller_left() => return Err(StreamEnd::CallerLeft),
            after = self.attempts.race_silent_stream(running, last.as_ref()) => after,
        };
        match after {
            AfterSilence::Frame(frame) => Ok(Some(frame)),
            AfterSilence::NoOther | AfterSilence::Forbidden => {
                self.log_resumption("failed");
                Ok(None)
            }
            AfterSilence::Replaced(other) => {
                self.log_resumption("resumed");
                let outcome = broken_outcome(&self.node, running);
                running.slot.set_outcome(outcome);
                *running = *other;
                self.splitter.discard_partial_event();
                Ok(None)
            }
        }
    }

    /// Returns how a stream ended whose last event is whole.
    async fn end_of(&self, running: &RunningSend) -> StreamEnd {
        let has_events = running.slot.has_event();
        if running.reply.ends_with_connection() && !has_events {
            return StreamEnd::Broken(BrokenBy::Target);
        }
        let service = &self.attempts.request.service;
        let target = &running.slot.candidate;
        match running.reply.end(&self.node, service, target).await {
            AnswerEnd::TargetTerminated => StreamEnd::Broken(BrokenBy::Target),
            end => StreamEnd::Complete(end),
        }
    }

    /// Counts events as held until their caller has taken them. While this process holds too
    /// many bytes, only a caller that has taken all earlier events gets more.
    async fn hold(&self, mut events: Bytes) -> Bytes {
        loop {
            match self.node.held_bytes.hold(events) {
                Ok(held) => return held,
                Err(events) if self.parts.is_drained() => return events,
                Err(unheld) => events = unheld,
            }
            tokio::time::sleep(HELD_CHECK_INTERVAL).await;
        }
    }

    /// Hands events over to the caller, who may read slowly, until the deadline of the
    /// request.
    ///
    /// # Errors
    /// Returns how the stream ended if the events were not handed over.
    async fn deliver(&self, events: Bytes, until: Instant) -> Result<(), StreamEnd> {
        let sending = async { self.parts.send(self.hold(events).await).await };
        match tokio::time::timeout_at(until, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(CallerLeft)) => Err(StreamEnd::CallerLeft),
            Err(_) => Err(StreamEnd::DeadlinePassed),
        }
    }

    async fn resume(&mut self) -> Option<RunningSend> {
        if !self.attempts.is_idempotent() {
            return None;
        }
        let last = self.splitter.last_id().cloned();
        let next = tokio::select! {
            biased;
            () = self.parts.caller_left() => return None,
            next = self.attempts.next_run(last.as_ref()) => next,
        };
        let outcome = match &next {
            Ok(running) if running.reply.class == ReplyClass::Succeeded => "resumed",
            _ => "failed",
        };
        self.log_resumption(outcome);
        next.ok()
            .filter(|running| running.reply.class == ReplyClass::Succeeded)
    }

    fn log_resumption(&self, outcome: &str) {
        self.node.metrics.count("stream_resumption");
        let last = self.splitter.last_id();
        log::info!(
            event = "stream_resumption",
            request = self.attempts.request.id.to_str().unwrap_or("-"),
            last_event = last.map_or("-", |id| std::str::from_utf8(id).unwrap_or("-")),
            outcome = outcome,
            sends = self.attempts.sends();
            ""
        );
    }

    fn log_end(&self, reason: &str) {
        self.node.metrics.count(match reason {
            "complete" => "stream_complete",
            "caller_left" => "stream_caller_left",
            _ => "stream_broken_off",
        });
        if reason == "complete" {
            return;
        }
        log::info!(
            event = "stream_end",
            request = self.attempts.request.id.to_str().unwrap_or("-"),
            outcome = reason,
            sends = self.attempts.sends(),
            elapsed_ms = self.node.clock.now().since(self.attempts.request.arrived);
            ""
        );
    }
}
