//! Answers that callers still wait for.

use crate::answer_times::AnswerTimes;
use crate::clock::Clock;
use hyper::header::HeaderValue;
use moleroad_config::prelude::Route;
use moleroad_types::prelude::Millis;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// How far the answer to a request has come.
#[derive(Debug, Default)]
pub struct AnswerProgress {
    sends: AtomicU32,
    last_sent_at: AtomicU64,
    has_head: AtomicBool,
    is_from_target: AtomicBool,
    written_bytes: AtomicU64,
}

impl AnswerProgress {
    /// Records that the request was passed on to a target at `now`.
    pub fn record_send(&self, now: Millis) {
        self.sends.fetch_add(1, Ordering::Relaxed);
        self.last_sent_at.store(now.0, Ordering::Relaxed);
    }

    /// Records that the head of the answer was handed to the connection.
    pub fn record_head(&self) {
        self.has_head.store(true, Ordering::Relaxed);
    }

    /// Records that a target ran the request and its answer is being delivered.
    pub fn record_target_answer(&self) {
        self.is_from_target.store(true, Ordering::Relaxed);
    }

    /// Records bytes of the answer, with its head, that were written to the caller's
    /// connection.
    pub fn record_written(&self, bytes: usize) {
        self.written_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns how often the request was passed on to a target.
    pub fn sends(&self) -> u32 {
        self.sends.load(Ordering::Relaxed)
    }

    /// Returns when the request was last passed on to a target; `None` if it was not.
    pub fn last_sent_at(&self) -> Option<Millis> {
        (self.sends() > 0).then(|| Millis(self.last_sent_at.load(Ordering::Relaxed)))
    }

    /// Returns the bytes of the answer that were written to the caller's connection.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }

    /// Returns the step that the answer waits in, for the log.
    pub fn phase(&self) -> &'static str {
        if self.has_head.load(Ordering::Relaxed) {
            "writing"
        } else if self.sends() > 0 {
            "sent"
        } else {
            "not_sent"
        }
    }
}

/// A request whose answer is not completely written.
#[derive(Clone, Debug)]
pub struct OpenAnswer {
    /// Request id set by the caller; `None` if it set none.
    pub id: Option<HeaderValue>,
    /// Arrival time.
    pub arrived: Millis,
    /// Route of the request; `None` until it is known.
    pub route: Option<Arc<Route>>,
    /// Deadline for the answer; `None` until it is known.
    pub until: Option<Millis>,
    /// How far the answer has come.
    pub progress: Arc<AnswerProgress>,
}

impl OpenAnswer {
    /// Creates the record of a request that has just arrived.
    pub fn new(id: Option<HeaderValue>, arrived: Millis) -> Self {
        Self {
            id,
            arrived,
            route: None,
            until: None,
            progress: Arc::default(),
        }
    }

    fn is_sent_to(&self, route: &str) -> bool {
        let is_on_route = self.route.as_ref().is_some_and(|own| own.name == route);
        is_on_route && self.progress.sends() > 0
    }
}

/// The open answers of one process.
///
/// An answer is open from the arrival of its request until its last byte is written to
/// the caller's connection, or the connection has ended.
#[derive(Clone)]
pub struct OpenAnswers {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// By order of arrival.
    open: BTreeMap<u64, OpenAnswer>,
    next_number: u64,
    times: AnswerTimes,
}

impl OpenAnswers {
    /// Creates an empty set.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Adds an answer; it is removed when the guard is dropped.
    pub fn begin(&self, answer: OpenAnswer) -> OpenAnswerGuard {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        let progress = answer.progress.clone();
        state.open.insert(number, answer);
        OpenAnswerGuard {
            answers: self.clone(),
            number,
            progress,
        }
    }

    /// Returns the number of open answers.
    pub fn count(&self) -> usize {
        self.lock().open.len()
    }

    /// Returns the `most` oldest open answers.
    pub fn oldest(&self, most: usize) -> Vec<OpenAnswer> {
        self.lock().open.values().take(most).cloned().collect()
    }

    /// Returns the time within which an answer of a target to a request of `route` is
    /// likely to end, in milliseconds; `None` if none is known.
    pub fn likely_ms(&self, route: &str) -> Option<u64> {
        let now = self.clock.now();
        let mut state = self.lock();
        let State { open, times, .. } = &mut *state;
        let sent = open.values().filter(|open| open.is_sent_to(route));
        let open_ms = sent.map(|open| now.since(open.arrived));
        times.likely_ms(now, route, open_ms)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Keeps an answer open until dropped.
pub struct OpenAnswerGuard {
    answers: OpenAnswers,
    number: u64,
    progress: Arc<AnswerProgress>,
}

impl OpenAnswerGuard {
    /// Sets the route of the request and the deadline for its answer.
    pub fn set_route(&self, route: &Arc<Route>, until: Millis) {
        if let Some(open) = self.answers.lock().open.get_mut(&self.number) {
            open.route = Some(route.clone());
            open.until = Some(until);
        }
    }

    /// Returns how far the answer has come.
    pub fn progress(&self) -> &Arc<AnswerProgress> {
        &self.progress
    }

    /// Ends an answer that was completely written.
    pub fn complete(self) {
        if !self.progress.is_from_target.load(Ordering::Relaxed) {
            return;
        }
        let now = self.answers.clock.now();
        let mut state = self.answers.lock();
        let state = &mut *state;
        if let Some(OpenAnswer {
            arrived,
            route: Some(route),
            ..
        }) = state.open.get(&self.number)
        {
            state.times.record(now, &route.name, now.since(*arrived));
        }
    }
}

impl Drop for OpenAnswerGuard {
    fn drop(&mut self) {
        self.answers.lock().open.remove(&self.number);
    }
}
