//! Bounds the time of an event that the process notices late.
//!
//! A process that is busy, frozen or slow handles a signal some time after it was sent.
//! Nothing tells when that was, but it was not before a time at which the process ran
//! and had nothing to handle.

use moleroad_types::prelude::Millis;

/// Times of the last two passes of a periodic task.
///
/// An event that was pending during the later pass may be handled after it. It was not
/// pending during the one before: all tasks that are ready run between two passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ticks {
    last: Option<Millis>,
    previous: Option<Millis>,
}

impl Ticks {
    /// Records a pass of the periodic task at `now`.
    pub fn tick(&mut self, now: Millis) {
        self.previous = self.last;
        self.last = Some(now);
    }

    /// Returns the earliest time at which an event can have occurred that is handled at
    /// `now`; `now` if the task has not run twice.
    pub fn earliest_event(&self, now: Millis) -> Millis {
        self.previous.map_or(now, |previous| previous.min(now))
    }
}
