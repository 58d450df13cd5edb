//! How much one target has in hand.

use crate::health::Health;
use moleroad_types::prelude::Millis;

/// Time after which a send counts as seen by others though no report came, in
/// milliseconds.
const UNREPORTED_MS: u64 = 250;
/// Age up to which a report counts whole, in milliseconds.
const REPORT_FRESH_MS: u64 = 1_000;
/// Age at which a report no longer counts, in milliseconds.
const REPORT_OVER_MS: u64 = 4_000;
/// Age up to which a report tells what the target has in hand now, in
/// milliseconds: the shortest pass of an engine takes longer.
const REPORT_NEW_MS: u64 = 40;
/// How long an agent that did not answer is not asked again, in milliseconds.
const AGENT_RESTS_MS: u64 = 300;
/// What each silence of an agent in a row costs its target, in milliseconds: an
/// answer lost on its way makes another target of equal load the better one.
const SILENCE_COST_MS: f64 = 60.0;
/// Silences that count; so many cost as much as a send that fails.
const MOST_SILENCES: u32 = 8;
/// Silences in a row after which a target counts as out of reach: one answer
/// may be lost on its way, and one that is late is still counted.
const OUT_OF_REACH_SILENCES: u32 = 2;

/// Time after which a silence no longer counts, in milliseconds: an agent that is
/// there is asked many times in it, and of one that nobody asks any more, since
/// it is no longer known, nothing is learned.
const SILENCE_OVER_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug)]
struct Report {
    others: u32,
    others_unread: u32,
    at: Millis,
}

/// What this entry has in flight at a target, and what it believes others have.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetLoad {
    own: u32,
    own_unread: u32,
    own_unread_tokens: u64,
    /// Sends since the last report, or since `sent_since`.
    sent: u32,
    sent_since: Millis,
    report: Option<Report>,
    agent_rests_until: Millis,
    /// Until when the agent counts the target as cold.
    cold_until: Millis,
    /// How often in a row the agent did not answer.
    silences: u32,
    /// When it last did not answer.
    silent_at: Millis,
    /// The recent past.
    pub health: Health,
}

impl TargetLoad {
    /// Counts a send whose prompt has `tokens`.
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

    /// Counts a prompt as read: the answer to it began, or never will.
    pub fn was_read(&mut self, tokens: u64) {
        self.own_unread = self.own_unread.saturating_sub(1);
        self.own_unread_tokens = self.own_unread_tokens.saturating_sub(tokens);
    }

    /// Counts the end of a send.
    pub fn finished(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes the number of requests that the target has from all entries:
    /// those that run, and those whose prompt is not read yet.
    pub fn reported(&mut self, now: Millis, running: u32, unread: u32) {
        self.agent_rests_until = Millis(0);
        self.silences = 0;
        self.sent = 0;
        self.sent_since = now;
        self.report = Some(Report {
            others: (running + unread).saturating_sub(self.own),
            others_unread: unread.saturating_sub(self.own_unread),
            at: now,
        });
    }

    /// Takes that no agent listens beside the target: its machine is reached,
    /// and the agent is being started.
    pub fn agent_refused(&mut self, now: Millis) {
        self.agent_rests_until = now + AGENT_RESTS_MS;
        self.silences = 0;
    }

    /// Takes that the agent beside the target did not answer; requests that
    /// asked it side by side count as one sign.
    pub fn agent_timed_out(&mut self, now: Millis) {
        if self.agent_is_backed_off(now) {
            return;
        }
        self.agent_rests_until = now + AGENT_RESTS_MS;
        self.silences = (self.silences(now) + 1).min(MOST_SILENCES);
        self.silent_at = now;
    }

    /// Whether the way to the target seems to be cut or held up: a send would
    /// find that out only when its connection does not come up.
    pub fn is_out_of_reach(&self, now: Millis) -> bool {
        self.silences(now) >= OUT_OF_REACH_SILENCES
    }

    /// Whether the agent did not answer when it was last asked, so that the way there
    /// may be held up.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.silences(now) > 0
    }

    /// Silences in a row that still count.
    fn silences(&self, now: Millis) -> u32 {
        if now.since(self.silent_at) < SILENCE_OVER_MS {
            self.silences
        } else {
            0
        }
    }

    /// What the silence of its agent costs the target, in milliseconds. A link
    /// that holds up the agent's answers holds up the target's as well, and the
    /// last report, as it fades, would make the target look idle.
    pub fn silence_cost_ms(&self, now: Millis) -> f64 {
        f64::from(self.silences(now)) * SILENCE_COST_MS
    }

    /// Takes that the agent counts the target as cold until then.
    pub fn agent_reported_cold(&mut self, until: Millis) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Until when the agent counts the target as cold.
    pub fn cold_until(&self) -> Millis {
        self.cold_until
    }

    /// Whether the agent beside the target did not answer lately.
    pub fn agent_is_backed_off(&self, now: Millis) -> bool {
        now < self.agent_rests_until
    }

    /// Whether the last report is as good as a look at the target.
    pub fn is_current(&self, now: Millis) -> bool {
        let age_ms = self.report_age(now);
        age_ms.is_some_and(|age_ms| age_ms <= REPORT_NEW_MS)
    }

    /// Prompt tokens that the target has not read yet, from all entries, when
    /// a prompt of others has `usual_prompt` tokens.
    pub fn unread_tokens(&self, now: Millis, usual_prompt: f64) -> f64 {
        let own = self.own_unread_tokens as f64;
        let Some(report) = self.report else {
            return own;
        };
        let others = f64::from(report.others_unread) * usual_prompt;
        own + others * weight_of(now.since(report.at))
    }

    /// Sends that no report can have seen yet.
    pub fn unreported(&self, now: Millis) -> u32 {
        if now.since(self.sent_since) < UNREPORTED_MS {
            self.sent
        } else {
            0
        }
    }

    /// Requests in flight from this entry.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Age of the last report, in milliseconds.
    pub fn report_age(&self, now: Millis) -> Option<u64> {
        self.report.map(|report| now.since(report.at))
    }

    /// Requests in flight from all entries, as far as known.
    pub fn requests(&self, now: Millis) -> f64 {
        let own = f64::from(self.own);
        let Some(report) = self.report else {
            return own;
        };
        own + f64::from(report.others) * weight_of(now.since(report.at))
    }
}

/// How much a report of that age counts, 0 to 1.
fn weight_of(age_ms: u64) -> f64 {
    let fading = REPORT_OVER_MS.saturating_sub(age_ms) as f64;
    (fading / (REPORT_OVER_MS - REPORT_FRESH_MS) as f64).min(1.0)
}
