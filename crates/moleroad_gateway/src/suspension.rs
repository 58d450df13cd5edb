//! Noticing that this process stood still, or begins with what an earlier life
//! of it knew, so that it hears what happened meanwhile before it acts on that.

use moleroad_types::prelude::Millis;

/// Time without a look at the clock that counts as standing still, in
/// milliseconds: operators wait a second for an answer, so older calls may have
/// been given up and repeated elsewhere.
pub const STOOD_STILL_MS: u64 = 1_000;
/// Time after waking in which calls are read that came while the process stood
/// still, in milliseconds: enough to read all that lay in the sockets, and
/// less than the second for which operators wait, who then ask another daemon.
const BACKLOG_MS: u64 = 300;
/// Longest time for which requests wait for news after waking or beginning, in
/// milliseconds: a daemon that reaches nobody goes on with what it knows.
const NEWS_WAIT_MS: u64 = 1_000;

/// When this process last stood still, and whether it heard of others since.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspensionDetector {
    looked_at: Millis,
    woke_at: Option<Millis>,
    /// Since when it is without news of what it may have missed.
    lacks_news_since: Option<Millis>,
}

impl SuspensionDetector {
    /// A process that begins at `now` and knows nothing yet.
    pub fn new(now: Millis) -> Self {
        Self {
            looked_at: now,
            woke_at: None,
            lacks_news_since: None,
        }
    }

    /// A process that begins at `now` with what its disk kept: it missed what
    /// happened while it was off, but no call lies in its sockets.
    pub fn with_old_state(now: Millis) -> Self {
        Self {
            lacks_news_since: Some(now),
            ..Self::new(now)
        }
    }

    /// Notes that the process runs; true if it has just woken. To be called
    /// many times a second.
    pub fn look(&mut self, now: Millis) -> bool {
        let stood_still = now.since(self.looked_at) >= STOOD_STILL_MS;
        if stood_still {
            self.woke_at = Some(now);
            self.lacks_news_since = Some(now);
        }
        self.looked_at = now;
        stood_still
    }

    /// Notes an answer with news to a question that was asked at `asked_at`.
    pub fn heard(&mut self, asked_at: Millis) {
        if self.lacks_news_since.is_some_and(|since| asked_at >= since) {
            self.lacks_news_since = None;
        }
    }

    /// Whether requests are to wait for news of what happened meanwhile.
    pub fn waits_for_news(&self, now: Millis) -> bool {
        let since = self.lacks_news_since;
        since.is_some_and(|since| now.since(since) < NEWS_WAIT_MS)
    }

    /// Whether a call that is read now may have come long ago.
    pub fn may_read_backlog(&self, now: Millis) -> bool {
        let woke_at = self.woke_at;
        woke_at.is_some_and(|woke_at| now.since(woke_at) < BACKLOG_MS)
    }
}
