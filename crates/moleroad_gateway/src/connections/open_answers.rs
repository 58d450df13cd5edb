//! Answers that callers still wait for.

use hyper::header::HeaderValue;
use moleroad_types::prelude::Millis;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// A request whose answer is not completely written.
#[derive(Clone, Debug)]
pub struct OpenAnswer {
    /// Request id set by the caller; `None` if it set none.
    pub id: Option<HeaderValue>,
    /// Arrival time.
    pub arrived: Millis,
}

/// The open answers of one process.
///
/// An answer is open from the arrival of its request until its last byte is written to
/// the caller's connection, or the connection has ended.
#[derive(Clone, Default)]
pub struct OpenAnswers {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// By order of arrival.
    open: BTreeMap<u64, OpenAnswer>,
    next_number: u64,
}

impl OpenAnswers {
    /// Adds an answer; it is removed when the guard is dropped.
    pub fn begin(&self, answer: OpenAnswer) -> OpenAnswerGuard {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.open.insert(number, answer);
        OpenAnswerGuard {
            answers: self.clone(),
            number,
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Keeps an answer open until dropped.
pub struct OpenAnswerGuard {
    answers: OpenAnswers,
    number: u64,
}

impl Drop for OpenAnswerGuard {
    fn drop(&mut self) {
        self.answers.lock().open.remove(&self.number);
    }
}
