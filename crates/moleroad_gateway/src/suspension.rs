//! Detects that this process was suspended, or started with state from an
//! earlier run. In both cases its state may be outdated, so it must receive
//! updates from others before it acts on that state.

use moleroad_types::prelude::Millis;

/// Time between two observations above which the process counts as suspended,
/// in milliseconds. Operators wait one second for an answer, so older calls may
/// have timed out and been retried at another daemon.
pub const SUSPENSION_THRESHOLD_MS: u64 = 1_000;
/// Time after a suspension during which calls may still be read that arrived
/// before its end, in milliseconds. Long enough to read everything buffered in
/// the sockets, and shorter than the second after which operators retry at
/// another daemon.
const BACKLOG_WINDOW_MS: u64 = 300;
/// Longest time for which requests wait for updates after a suspension or a
/// start, in milliseconds. A daemon that reaches no other continues with the
/// state that it has.
const MAX_UPDATE_WAIT_MS: u64 = 1_000;

/// Tracks when this process was last suspended, and whether it has received
/// updates from others since then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspensionDetector {
    observed_at: Millis,
    resumed_at: Option<Millis>,
    /// Time since which updates may have been missed; `None` when up to date.
    outdated_since: Option<Millis>,
}

impl SuspensionDetector {
    /// Creates a detector for a process that starts at `now` without any state.
    pub fn new(now: Millis) -> Self {
        Self {
            observed_at: now,
            resumed_at: None,
            outdated_since: None,
        }
    }

    /// Creates a detector for a process that starts at `now` with state from
    /// its disk. It missed updates while it was down, but its sockets hold no
    /// old calls.
    pub fn with_stored_state(now: Millis) -> Self {
        Self {
            outdated_since: Some(now),
            ..Self::new(now)
        }
    }

    /// Records that the process is running. Returns whether it has just resumed
    /// from a suspension. Must be called many times per second.
    pub fn observe(&mut self, now: Millis) -> bool {
        let was_suspended = now.since(self.observed_at) >= SUSPENSION_THRESHOLD_MS;
        if was_suspended {
            self.resumed_at = Some(now);
            self.outdated_since = Some(now);
        }
        self.observed_at = now;
        was_suspended
    }

    /// Records an answer with updates to a request that was sent at `asked_at`.
    /// Answers to requests sent before the suspension ended do not count.
    pub fn news_received(&mut self, asked_at: Millis) {
        if self.outdated_since.is_some_and(|since| asked_at >= since) {
            self.outdated_since = None;
        }
    }

    /// Returns whether requests must wait for updates that the process may have
    /// missed.
    pub fn must_wait_for_updates(&self, now: Millis) -> bool {
        let since = self.outdated_since;
        since.is_some_and(|since| now.since(since) < MAX_UPDATE_WAIT_MS)
    }

    /// Returns whether a call that is read now may have arrived during a
    /// suspension.
    pub fn may_read_backlog(&self, now: Millis) -> bool {
        let resumed_at = self.resumed_at;
        resumed_at.is_some_and(|resumed_at| now.since(resumed_at) < BACKLOG_WINDOW_MS)
    }
}
