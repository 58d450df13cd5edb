//! Places at the targets of a service, who waits for them, and the budget of
//! repeats.

use crate::settings::Bounds;
use moleroad_config::prelude::{Residency, RouteTable};
use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_quarantine::prelude::RequestFingerprint;
use moleroad_rollout::prelude::Arrival;
use moleroad_types::prelude::{AllowedRegions, Millis};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// What a request asks of a place.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Service.
    pub service: String,
    /// Targets that it was sent to before, or could not be.
    pub tried: Vec<TargetId>,
    /// Whether one of them got it.
    pub was_sent: bool,
    /// Whether one of them may have begun it; without, all turned it away.
    pub may_have_run: bool,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When a first event is wanted; `None` when late is better than never.
    pub wanted_by: Option<Millis>,
    /// Until when the request waits for a place.
    pub until: Millis,
    /// What it still hopes for.
    pub line: WaitClass,
    /// Where it may be served.
    pub residency: Residency,
    /// What stays of the request when its caller repeats it.
    pub fingerprint: RequestFingerprint,
    /// Whether it is sent although it is held.
    pub is_trial: bool,
}

/// Places at an engine that requests without hope of their wanted latency leave
/// free, so that those who come in time find one.
const SPARE_FOR_IN_TIME: u32 = 1;
/// Smallest part of all places that an expected wait is worked out by: below it
/// the wait is longer than any caller's.
const LEAST_PART_OF_PLACES: f64 = 0.01;

impl Ask {
    /// What a choice at `now` must meet, with `least` as the lowest version of
    /// weights.
    pub fn needs(&self, now: Millis, least: Option<u64>) -> Requirements<'_> {
        Requirements {
            now,
            tried: &self.tried,
            least,
            prompt_tokens: self.prompt_tokens,
            first_event_within_ms: self.wanted_by.map(|wanted_by| wanted_by.since(now)),
            spare: match self.line {
                WaitClass::InTime => 0,
                WaitClass::Overdue => SPARE_FOR_IN_TIME,
            },
            regions: Some(self.residency.allowed()),
        }
    }
}

struct Waiting {
    ask: Ask,
    granted: oneshot::Sender<Candidate>,
}

/// The targets of one service, who waits for them, and the budget of repeats.
pub struct ServicePlaces {
    /// Targets and their load.
    pub targets: Targets,
    /// Repeats.
    pub budget: SharedRetryBudget,
    pub(crate) queue: WaitQueue,
    waiting: HashMap<WaiterId, Waiting>,
    next_waiter: u64,
    /// How soon overdue requests get places.
    overdue_pace: WaitEstimator,
    /// How many places overdue requests may take.
    pub(crate) overdue_share: OverdueShare,
    /// How far weights have come that are on their way to engines.
    pub arrival: Arrival,
    /// Time of a piece of weights on the origin's link, in milliseconds.
    pub piece_ms: f64,
}

impl ServicePlaces {
    /// Without targets.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            targets: Targets::default(),
            budget: SharedRetryBudget::new(RetryBudgetParams {
                ratio: bounds.repeat_ratio,
                slack: bounds.repeat_slack,
                window_ms: bounds.repeat_window_ms,
            }),
            queue: WaitQueue::default(),
            waiting: HashMap::new(),
            next_waiter: 0,
            overdue_pace: WaitEstimator::default(),
            overdue_share: OverdueShare::default(),
            arrival: Arrival::default(),
            piece_ms: 0.0,
        }
    }

    /// Whether nothing waits and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        let in_flight = |c: &Candidate| self.targets.load(&c.id).own() > 0;
        self.waiting.is_empty() && !self.targets.candidates().iter().any(in_flight)
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Gives free places to those that wait, unless they ask others themselves.
    pub fn serve_waiting(&mut self, now: Millis, least: Option<u64>) {
        if self.targets.require_queries() {
            return;
        }
        let mut full: Vec<AllowedRegions> = Vec::new();
        while let Some(id) = self.queue.next(now, &full) {
            let Some(waiting) = self.waiting.get(&id) else {
                self.queue.leave(id);
                continue;
            };
            let needs = waiting.ask.needs(now, least);
            let Choice::Send(candidate) = self.targets.choose(now, needs, id.0) else {
                full.push(waiting.ask.residency.allowed().clone());
                continue;
            };
            self.queue.leave(id);
            let Some(waiting) = self.waiting.remove(&id) else {
                continue;
            };
            self.note_granted(now, waiting.ask.line);
            let target = candidate.id.clone();
            let tokens = waiting.ask.prompt_tokens;
            self.targets.started(now, &target, tokens);
            if waiting.granted.send(candidate).is_err() {
                self.targets.was_read(&target, tokens);
                self.targets.finished(now, &target, Outcome::Abandoned);
            }
        }
    }

    pub(crate) fn wait(
        &mut self,
        now: Millis,
        ask: &Ask,
    ) -> Option<(WaiterId, oneshot::Receiver<Candidate>)> {
        let regions = ask.residency.allowed();
        let ahead = self.queue.count_ahead(ask.line, regions);
        self.next_waiter += 1;
        let id = WaiterId(self.next_waiter);
        let entered = self.queue.enter(Waiter {
            id,
            line: ask.line,
            priority: ask.priority,
            since: now,
            wanted_by: ask.wanted_by.unwrap_or(ask.until),
            until: ask.until,
            regions: regions.clone(),
        });
        if !entered {
            return None;
        }
        if ask.line == WaitClass::Overdue {
            self.overdue_pace.entered(now, ahead);
        }
        let (granted, grant) = oneshot::channel();
        let ask = ask.clone();
        self.waiting.insert(id, Waiting { ask, granted });
        Some((id, grant))
    }

    pub(crate) fn note_granted(&mut self, now: Millis, line: WaitClass) {
        if line == WaitClass::Overdue {
            self.overdue_pace.granted(now);
        }
    }

    /// Whether another request without hope of its wanted latency may be sent:
    /// all entries together leave most places to those that come in time.
    pub(crate) fn admits(&self, ask: &Ask, entries: usize) -> bool {
        if ask.line == WaitClass::InTime {
            return true;
        }
        let regions = ask.residency.allowed();
        let own_places = f64::from(self.targets.places(regions)) / entries.max(1) as f64;
        self.overdue_share.admits(own_places, regions)
    }

    /// Brings those that wait under the configuration that is in force.
    pub(crate) fn renew_residency(&mut self, table: &RouteTable) {
        for (id, waiting) in &mut self.waiting {
            let residency = waiting.ask.residency.under(table);
            self.queue.set_regions(*id, residency.allowed());
            waiting.ask.residency = residency;
        }
    }

    /// Notes whether a request found a place in time.
    pub fn note_in_time(&mut self, is_placed: bool) {
        if is_placed {
            self.overdue_share.in_time_placed();
        } else {
            self.overdue_share.in_time_missed();
        }
    }

    /// How long a request without hope of its wanted latency would wait for a
    /// place, in milliseconds; `None` when no target can take any and it is not
    /// known when one will.
    pub fn expected_overdue_wait_ms(&self, now: Millis, needs: Requirements<'_>) -> Option<u64> {
        if !self.targets.any_eligible(needs) {
            let rested_at = self.targets.rested_at(needs);
            let rested_at = rested_at.and_then(|rested| rested.untried);
            let rested_in_ms = rested_at.map(|at| at.since(now));
            let ways = [rested_in_ms, self.expected_outage_ms(now)];
            return ways.into_iter().flatten().min();
        }
        let all = AllowedRegions::all();
        let regions = needs.regions.unwrap_or(&all);
        let ahead = self.queue.count_ahead(WaitClass::Overdue, regions);
        // Places of some regions come free as seldom as there are fewer of them.
        let part = f64::from(self.targets.places(regions)) / f64::from(self.targets.places(&all));
        let wait_ms = self.overdue_pace.expected_wait_ms(now, ahead);
        Some((wait_ms / part.max(LEAST_PART_OF_PLACES)) as u64)
    }

    /// Time until weights that are on their way are served, in milliseconds.
    pub(crate) fn expected_outage_ms(&self, now: Millis) -> Option<u64> {
        self.arrival.expected_ms(now, self.piece_ms)
    }

    pub(crate) fn forget(&mut self, id: WaiterId) {
        self.queue.leave(id);
        self.waiting.remove(&id);
    }
}
