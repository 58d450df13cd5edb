//! How much one target has in hand.

use crate::health::Health;
use moleroad_types::prelude::Millis;

/// Age up to which a report counts whole, in milliseconds.
const REPORT_FRESH_MS: u64 = 1_000;
/// Age at which a report no longer counts, in milliseconds.
const REPORT_OVER_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
struct Report {
    others: u32,
    at: Millis,
}

/// What this entry has in flight at a target, and what it believes others have.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetLoad {
    own: u32,
    report: Option<Report>,
    /// The recent past.
    pub health: Health,
}

impl TargetLoad {
    /// Counts a send.
    pub fn started(&mut self) {
        self.own += 1;
    }

    /// Counts the end of a send.
    pub fn finished(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes the number of requests that the target has from all entries.
    pub fn reported(&mut self, now: Millis, requests: u32) {
        let others = requests.saturating_sub(self.own);
        self.report = Some(Report { others, at: now });
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
        let age = now.since(report.at);
        let fading = REPORT_OVER_MS.saturating_sub(age) as f64;
        let weight = (fading / (REPORT_OVER_MS - REPORT_FRESH_MS) as f64).min(1.0);
        own + f64::from(report.others) * weight
    }
}
