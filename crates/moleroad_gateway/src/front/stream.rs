//! Streams of events: passed on as they come, resumed at another target under
//! the head of the first one, or ended so that they do not look complete.

use crate::front::answer::{Answer, AnswerBody, EntryError};
use crate::front::attempt::{Attempts, LOOK_FOR_OTHERS, Running};
use crate::front::breaks::Progress;
use crate::front::events::EventSplitter;
use crate::front::exchange::{SendError, Verdict};
use crate::front::give_up::{GiveUp, note_last_send, passed_on};
use crate::front::patience;
use crate::front::request::Accepted;
use crate::node::Node;
use bytes::Bytes;
use http_body_util::BodyExt;
use moleroad_dispatch::prelude::Outcome;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Parts that wait for a slow reader.
const PARTS_AHEAD: usize = 16;
/// Who broke a stream off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenBy {
    /// The target, or the link to it.
    Target,
    /// This entry: the target was silent, too talkative or is outdated.
    Entry,
}

/// How the events of one target ended.
enum End {
    Complete,
    Broken(BrokenBy),
    CallerLeft,
    TimeOver,
}

/// Sends a request whose answer is a stream, and begins to answer it.
pub async fn answer_stream(node: &Arc<Node>, request: Accepted) -> Answer {
    let mut splitter = EventSplitter::after(request.last_event.clone());
    let mut attempts = Attempts::new(node.clone(), request);
    loop {
        let mut running = match attempts.next_run(None).await {
            Ok(running) => running,
            Err(reason) => {
                let mut answer = attempts.give_up(reason);
                note_last_send(&attempts, &mut answer);
                return answer;
            }
        };
        if running.reply.verdict == Verdict::Final {
            return pass_on_final(node, &attempts, running).await;
        }
        match first_events(node, &attempts, &mut running, &mut splitter).await {
            First::Events(events) => {
                running.place.was_read();
                return begin(node, attempts, running, splitter, events);
            }
            First::Complete => {
                node.note_success(attempts.request.fingerprint);
                running.place.ended(Outcome::Answered);
                let answer = passed_on(&running.reply, AnswerBody::Whole(None));
                running.reply.keep_connection(node);
                return answer;
            }
            First::Broken(by) => {
                if by == BrokenBy::Target {
                    attempts.note_break(&running.place, Progress::NoEvent);
                }
                running.place.ended(Outcome::Broken);
                attempts.broke_off();
                splitter.discard_partial_event();
                if !attempts.is_idempotent() {
                    return attempts.give_up(GiveUp::NotAgain);
                }
            }
        }
    }
}

async fn pass_on_final(node: &Arc<Node>, attempts: &Attempts, mut running: Running) -> Answer {
    match running.reply.whole_body(node, attempts.request.until).await {
        Ok(body) => {
            running.place.ended(Outcome::Answered);
            let answer = passed_on(&running.reply, AnswerBody::Whole(Some(body)));
            running.reply.keep_connection(node);
            answer
        }
        Err(error) => {
            if error == SendError::Broken {
                attempts.note_break(&running.place, Progress::PartOfBody);
            }
            running.place.ended(Outcome::Broken);
            EntryError::Broken.response(None)
        }
    }
}

/// What a broken stream tells of its target: nothing, when the target was cut
/// on purpose to take other weights.
fn broken_outcome(node: &Node, running: &Running) -> Outcome {
    let view = node.view();
    let agent = view
        .directory
        .agent_for_engine(running.place.candidate.address);
    let report = agent.and_then(|agent| agent.record.report.as_ref());
    if report.is_some_and(|report| report.switching) {
        Outcome::Abandoned
    } else {
        Outcome::Broken
    }
}

enum First {
    Events(Bytes),
    Complete,
    Broken(BrokenBy),
}

async fn first_events(
    node: &Node,
    attempts: &Attempts,
    running: &mut Running,
    splitter: &mut EventSplitter,
) -> First {
    let request = &attempts.request;
    let until = node.clock.instant(request.until);
    let patience = Duration::from_millis(patience::first_event_ms(&request.route));
    let silent_at = Instant::now() + patience;
    loop {
        let look = Instant::now() + LOOK_FOR_OTHERS;
        match tokio::time::timeout_at(until.min(look), running.reply.body.frame()).await {
            Err(_) => {
                let now = Instant::now();
                let is_silent = now >= silent_at && attempts.can_move(attempts.sends());
                if now >= until || is_silent || attempts.is_start_forbidden(&running.place) {
                    return First::Broken(BrokenBy::Entry);
                }
            }
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                let events = splitter.push(&data);
                if !events.is_empty() {
                    return First::Events(events);
                }
                if splitter.is_too_long() {
                    return First::Broken(BrokenBy::Entry);
                }
            }
            Ok(None) if !splitter.has_partial_event() => return First::Complete,
            _ => return First::Broken(BrokenBy::Target),
        }
    }
}

/// Answers with the first events and leaves the rest to a task.
fn begin(
    node: &Arc<Node>,
    attempts: Attempts,
    running: Running,
    splitter: EventSplitter,
    events: Bytes,
) -> Answer {
    let (parts, body) = mpsc::channel(PARTS_AHEAD);
    let mut answer = passed_on(&running.reply, AnswerBody::Parts(body));
    note_last_send(&attempts, &mut answer);
    let relay = Relay {
        node: node.clone(),
        attempts,
        splitter,
        parts,
    };
    node.in_flight
        .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    tokio::spawn(async move {
        let node = relay.node.clone();
        relay.run(running, events).await;
        node.in_flight
            .fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    });
    answer
}

struct Relay {
    node: Arc<Node>,
    attempts: Attempts,
    splitter: EventSplitter,
    parts: mpsc::Sender<io::Result<Bytes>>,
}

impl Relay {
    async fn run(mut self, mut running: Running, first: Bytes) {
        if self.parts.send(Ok(first)).await.is_err() {
            return;
        }
        loop {
            let end = self.pass_on(&mut running).await;
            match end {
                End::Complete => {
                    self.node.note_success(self.attempts.request.fingerprint);
                    running.place.ended(Outcome::Answered);
                    running.reply.keep_connection(&self.node);
                    return self.log_end("complete");
                }
                End::CallerLeft => return self.log_end("caller_left"),
                End::TimeOver => return self.break_off("time_over").await,
                End::Broken(by) => {
                    if by == BrokenBy::Target {
                        self.attempts
                            .note_break(&running.place, Progress::SomeEvents);
                    }
                    running.place.ended(broken_outcome(&self.node, &running));
                    drop(running);
                    self.attempts.broke_off();
                    self.splitter.discard_partial_event();
                    match self.resume().await {
                        Some(next) => running = next,
                        None => return self.break_off("not_resumed").await,
                    }
                }
            }
        }
    }

    async fn pass_on(&mut self, running: &mut Running) -> End {
        let request = self.attempts.request.clone();
        let until = self.node.clock.instant(request.until);
        let patience = Duration::from_millis(patience::pause_ms(&request.route));
        let mut look = Instant::now() + patience;
        loop {
            let limit = until.min(look);
            let frame = tokio::select! {
                biased;
                () = self.parts.closed() => return End::CallerLeft,
                frame = tokio::time::timeout_at(limit, running.reply.body.frame()) => frame,
            };
            match frame {
                Err(_) if Instant::now() >= until => return End::TimeOver,
                Err(_) if self.attempts.can_move(self.attempts.sends()) => {
                    self.node.metrics.count("stream_silent");
                    return End::Broken(BrokenBy::Entry);
                }
                Err(_) => look = Instant::now() + LOOK_FOR_OTHERS,
                Ok(None) if self.splitter.has_partial_event() => {
                    return End::Broken(BrokenBy::Target);
                }
                Ok(None) => return End::Complete,
                Ok(Some(Err(_))) => return End::Broken(BrokenBy::Target),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    look = Instant::now() + patience;
                    let events = self.splitter.push(&data);
                    if self.splitter.is_too_long() {
                        return End::Broken(BrokenBy::Entry);
                    }
                    if !events.is_empty() && !self.deliver(events, until).await {
                        return End::CallerLeft;
                    }
                }
            }
        }
    }

    async fn deliver(&self, events: Bytes, until: Instant) -> bool {
        let sent = tokio::time::timeout_at(until, self.parts.send(Ok(events))).await;
        matches!(sent, Ok(Ok(())))
    }

    async fn resume(&mut self) -> Option<Running> {
        if !self.attempts.is_idempotent() {
            return None;
        }
        let last = self.splitter.last_id().cloned();
        let parts = self.parts.clone();
        let next = tokio::select! {
            biased;
            () = parts.closed() => return None,
            next = self.attempts.next_run(last.as_ref()) => next,
        };
        let outcome = match &next {
            Ok(running) if running.reply.verdict == Verdict::Succeeded => "resumed",
            _ => "failed",
        };
        self.node.metrics.count("stream_resumption");
        log::info!(
            event = "stream_resumption",
            request = self.attempts.request.id.to_str().unwrap_or("-"),
            last_event = last.as_deref().map_or("-", |id| std::str::from_utf8(id).unwrap_or("-")),
            outcome = outcome,
            sends = self.attempts.sends();
            ""
        );
        next.ok()
            .filter(|running| running.reply.verdict == Verdict::Succeeded)
    }

    /// Ends the answer so that it does not look complete.
    async fn break_off(self, reason: &str) {
        self.log_end(reason);
        let broken = io::Error::new(io::ErrorKind::ConnectionAborted, "stream broke off");
        let _ = self.parts.send(Err(broken)).await;
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
