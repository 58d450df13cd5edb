//! Load of one target.

use crate::health::Health;
use moleroad_types::prelude::Millis;

/// Time after which a send is assumed to be visible to other entries even if no report
/// came, in milliseconds.
const UNREPORTED_MS: u64 = 250;
/// Age up to which a report has full weight, in milliseconds.
const REPORT_FULL_WEIGHT_MS: u64 = 1_000;
/// Age at which a report no longer counts, in milliseconds.
const REPORT_EXPIRY_MS: u64 = 4_000;
/// Age up to which a report is taken as the current load, in milliseconds: shorter than
/// the shortest pass of an engine.
const REPORT_CURRENT_MS: u64 = 40;
/// How long an agent that did not answer is not queried again, in milliseconds.
const AGENT_BACKOFF_MS: u64 = 300;
/// Cost of a target for each consecutive timeout of its agent, in milliseconds: after a
/// single lost answer, another target with the same load is preferred.
const TIMEOUT_COST_MS: f64 = 60.0;
/// Maximum number of timeouts that are counted; that many cost about as much as a
/// failed send.
const MAX_COUNTED_TIMEOUTS: u32 = 8;
/// Number of consecutive timeouts after which a target is presumed unreachable: a
/// single answer may be lost, and a late one still counts.
const TIMEOUTS_TO_UNREACHABLE: u32 = 2;

/// Time after which timeouts no longer count, in milliseconds. An agent in use is
/// queried many times within it; one that is no longer known is not queried, so its
/// last timeouts say nothing about it.
const TIMEOUT_EXPIRY_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug)]
struct Report {
    others: u32,
    others_unread: u32,
    at: Millis,
}

/// Requests that this entry has in flight at a target, and its estimate for the other
/// entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetLoad {
    own: u32,
    own_unread: u32,
    own_unread_tokens: u64,
    /// Sends since the last report, or since `sent_since`.
    sent: u32,
    sent_since: Millis,
    report: Option<Report>,
    agent_backoff_until: Millis,
    /// Until when the agent considers the target cold.
    cold_until: Millis,
    /// Number of times in a row that the agent did not answer.
    consecutive_timeouts: u32,
    /// Time of the last of them.
    last_timeout: Millis,
    /// Recent outcomes of sends.
    pub health: Health,
}

impl TargetLoad {
    /// Counts a send whose prompt has `tokens` tokens.
    pub fn started(&mut self, now: Millis, tokens: u64) {
        if now.since(self.sent_since) >= UNREPORTED_MS {
            self.sent_since = now;
            self.sent = 0;
        }
        self.sent += 1;
        self.own += 1;
        self.own_unread += 1;
        self.own_unread_tokens += tokens;
    }

    /// Counts a prompt as prefilled: its answer has begun, or never will.
    pub fn prompt_read(&mut self, tokens: u64) {
        self.own_unread = self.own_unread.saturating_sub(1);
        self.own_unread_tokens = self.own_unread_tokens.saturating_sub(tokens);
    }

    /// Counts the end of a send.
    pub fn finished(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Records a report of the requests that the target has from all entries: those
    /// that are running, and those whose prompt is not prefilled yet.
    pub fn record_report(&mut self, now: Millis, running: u32, unread: u32) {
        self.agent_backoff_until = Millis(0);
        self.consecutive_timeouts = 0;
        self.sent = 0;
        self.sent_since = now;
        self.report = Some(Report {
            others: (running + unread).saturating_sub(self.own),
            others_unread: unread.saturating_sub(self.own_unread),
            at: now,
        });
    }

    /// Records that the agent refused the connection: its instance is reachable, and
    /// the agent is being started.
    pub fn agent_refused(&mut self, now: Millis) {
        self.agent_backoff_until = now + AGENT_BACKOFF_MS;
        self.consecutive_timeouts = 0;
    }

    /// Records that the agent did not answer. Timeouts of concurrent queries count as
    /// one.
    pub fn agent_timed_out(&mut self, now: Millis) {
        if self.agent_is_backed_off(now) {
            return;
        }
        self.agent_backoff_until = now + AGENT_BACKOFF_MS;
        self.consecutive_timeouts = (self.consecutive_timeouts(now) + 1).min(MAX_COUNTED_TIMEOUTS);
        self.last_timeout = now;
    }

    /// Returns whether the path to the target is presumed broken or congested; a send
    /// would only notice when its connection fails.
    pub fn is_presumed_unreachable(&self, now: Millis) -> bool {
        self.consecutive_timeouts(now) >= TIMEOUTS_TO_UNREACHABLE
    }

    /// Returns whether the agent did not answer the last query, so that the path to the
    /// target may be congested.
    pub fn is_unresponsive(&self, now: Millis) -> bool {
        self.consecutive_timeouts(now) > 0
    }

    /// Number of consecutive timeouts that still count.
    fn consecutive_timeouts(&self, now: Millis) -> u32 {
        if now.since(self.last_timeout) < TIMEOUT_EXPIRY_MS {
            self.consecutive_timeouts
        } else {
            0
        }
    }

    /// Returns the cost of the agent's timeouts, in milliseconds. A link that delays
    /// the agent's answers also delays the target's, and as the last report loses
    /// weight the target would look idle.
    pub fn timeout_cost_ms(&self, now: Millis) -> f64 {
        f64::from(self.consecutive_timeouts(now)) * TIMEOUT_COST_MS
    }

    /// Records until when the agent considers the target cold.
    pub fn agent_reported_cold(&mut self, until: Millis) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Returns until when the agent considers the target cold.
    pub fn cold_until(&self) -> Millis {
        self.cold_until
    }

    /// Returns whether the agent is not to be queried, because it recently failed to
    /// answer.
    pub fn agent_is_backed_off(&self, now: Millis) -> bool {
        now < self.agent_backoff_until
    }

    /// Returns whether the last report is recent enough to be taken as the current
    /// load.
    pub fn is_current(&self, now: Millis) -> bool {
        let age_ms = self.report_age(now);
        age_ms.is_some_and(|age_ms| age_ms <= REPORT_CURRENT_MS)
    }

    /// Returns the number of prompt tokens from all entries that the target has not
    /// prefilled yet; `typical_prompt_tokens` is the assumed length of other entries'
    /// prompts.
    pub fn unread_tokens(&self, now: Millis, typical_prompt_tokens: f64) -> f64 {
        let own = self.own_unread_tokens as f64;
        let Some(report) = self.report else {
            return own;
        };
        let others = f64::from(report.others_unread) * typical_prompt_tokens;
        own + others * report_weight(now.since(report.at))
    }

    /// Returns the number of sends that no report can include yet.
    pub fn unreported(&self, now: Millis) -> u32 {
        if now.since(self.sent_since) < UNREPORTED_MS {
            self.sent
        } else {
            0
        }
    }

    /// Returns the number of requests in flight from this entry.
    pub fn own_in_flight(&self) -> u32 {
        self.own
    }

    /// Returns the age of the last report, in milliseconds.
    pub fn report_age(&self, now: Millis) -> Option<u64> {
        self.report.map(|report| now.since(report.at))
    }

    /// Returns the estimated number of requests in flight from all entries.
    pub fn requests(&self, now: Millis) -> f64 {
        let own = f64::from(self.own);
        let Some(report) = self.report else {
            return own;
        };
        own + f64::from(report.others) * report_weight(now.since(report.at))
    }
}

/// Weight of a report by its age, 0 to 1.
fn report_weight(age_ms: u64) -> f64 {
    let remaining_ms = REPORT_EXPIRY_MS.saturating_sub(age_ms) as f64;
    (remaining_ms / (REPORT_EXPIRY_MS - REPORT_FULL_WEIGHT_MS) as f64).min(1.0)
}
