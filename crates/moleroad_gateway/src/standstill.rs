//! Noticing that this process stood still, so that it hears what happened
//! meanwhile before it acts on what it knew.

use moleroad_types::prelude::Millis;

/// Time without a look at the clock that counts as standing still, in
/// milliseconds: operators wait a second for an answer, so older calls may have
/// been given up and repeated elsewhere.
pub const STOOD_STILL_MS: u64 = 1_000;
/// Time after waking in which calls are read that came while the process stood
/// still, in milliseconds.
const BACKLOG_MS: u64 = 300;
/// Longest time for which requests wait for news after waking, in milliseconds:
/// a daemon that reaches nobody goes on with what it knows.
const NEWS_WAIT_MS: u64 = 1_000;

/// When this process last stood still, and whether it heard of others since.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standstill {
    looked_at: Millis,
    woke_at: Option<Millis>,
    has_news: bool,
}

impl Standstill {
    /// A process that begins at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            looked_at: now,
            woke_at: None,
            has_news: true,
        }
    }

    /// Notes that the process runs; true if it has just woken. To be called
    /// many times a second.
    pub fn look(&mut self, now: Millis) -> bool {
        let stood_still = now.since(self.looked_at) >= STOOD_STILL_MS;
        if stood_still {
            self.woke_at = Some(now);
            self.has_news = false;
        }
        self.looked_at = now;
        stood_still
    }

    /// Notes an answer with news to a question that was asked at `asked_at`.
    pub fn heard(&mut self, asked_at: Millis) {
        self.has_news |= self.woke_at.is_none_or(|woke_at| asked_at >= woke_at);
    }

    /// Whether requests are to wait for news of what happened meanwhile.
    pub fn waits_for_news(&self, now: Millis) -> bool {
        !self.has_news && self.woke_within(now, NEWS_WAIT_MS)
    }

    /// Whether a call that is read now may have come long ago.
    pub fn reads_backlog(&self, now: Millis) -> bool {
        self.woke_within(now, BACKLOG_MS)
    }

    fn woke_within(&self, now: Millis, ms: u64) -> bool {
        self.woke_at.is_some_and(|woke_at| now.since(woke_at) < ms)
    }
}
