//! Slots at the targets of a service, the queue of requests that wait for them, and
//! the retry budget.

use crate::settings::Bounds;
use moleroad_config::prelude::{Residency, RouteTable};
use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_quarantine::prelude::RequestSuspects;
use moleroad_rollout::prelude::ArrivalEstimate;
use moleroad_types::prelude::{AllowedRegions, Millis};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Service that the request is for.
    pub service: String,
    /// Targets that the request was already sent to or that could not be reached.
    pub tried: Vec<TargetId>,
    /// Whether the request was sent to one of them.
    pub was_sent: bool,
    /// Whether one of them may have started it; if not, all of them rejected it.
    pub may_have_run: bool,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Deadline for the first event; `None` when a late answer is better than none.
    pub latency_deadline: Option<Millis>,
    /// Time until which the request waits for a slot.
    pub until: Millis,
    /// Queue of the request: in time, or overdue because its target latency can no
    /// longer be met.
    pub class: WaitClass,
    /// Regions in which the request may be served.
    pub residency: Residency,
    /// What of the request may terminate targets.
    pub suspects: RequestSuspects,
    /// Whether the request is sent as a trial although it is held.
    pub is_trial: bool,
}

/// Slots at an engine that overdue requests leave free, so that requests in time find
/// one.
const SLOTS_RESERVED_FOR_IN_TIME: u32 = 1;
/// Smallest share of all slots that is used to estimate a wait: below it the wait is
/// longer than that of any caller.
const MIN_SLOT_SHARE: f64 = 0.01;

impl PlaceRequest {
    /// Returns the requirements that a target has to meet at `now`, with
    /// `min_version` as the lowest version of the weights.
    pub fn needs(&self, now: Millis, min_version: Option<u64>) -> Requirements<'_> {
        Requirements {
            now,
            tried: &self.tried,
            min_version,
            prompt_tokens: self.prompt_tokens,
            first_event_within_ms: self
                .latency_deadline
                .map(|latency_deadline| latency_deadline.since(now)),
            reserved_slots: match self.class {
                WaitClass::InTime => 0,
                WaitClass::Overdue => SLOTS_RESERVED_FOR_IN_TIME,
            },
            regions: Some(self.residency.allowed()),
        }
    }
}

struct WaitingRequest {
    request: PlaceRequest,
    granted: oneshot::Sender<Candidate>,
}

/// The targets of one service, its queue of waiting requests and its retry budget.
pub struct ServiceSlots {
    /// Targets and their load.
    pub targets: Targets,
    /// Retry budget.
    pub budget: SharedRetryBudget,
    pub(crate) queue: WaitQueue,
    waiting: HashMap<WaiterId, WaitingRequest>,
    next_waiter: u64,
    /// Rate at which overdue requests get slots.
    overdue_waits: WaitEstimator,
    /// Share of the slots that overdue requests may take.
    pub(crate) overdue_share: OverdueShare,
    /// Progress of weights that are being transferred to engines.
    pub arrival: ArrivalEstimate,
    /// Transfer time of one piece of weights over the origin's link, in milliseconds.
    pub piece_ms: f64,
}

impl ServiceSlots {
    /// Creates the state of a service without targets.
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
            overdue_waits: WaitEstimator::default(),
            overdue_share: OverdueShare::default(),
            arrival: ArrivalEstimate::default(),
            piece_ms: 0.0,
        }
    }

    /// Returns whether no request waits or is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && !self.targets.any_in_flight()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Assigns free slots to waiting requests, unless they probe agents themselves.
    pub fn serve_waiting(&mut self, now: Millis, min_version: Option<u64>) {
        if self.targets.require_queries() {
            return;
        }
        let mut full_regions: Vec<AllowedRegions> = Vec::new();
        while let Some(id) = self.queue.next(now, &full_regions) {
            let Some(waiting) = self.waiting.get(&id) else {
                self.queue.leave(id);
                continue;
            };
            let needs = waiting.request.needs(now, min_version);
            let Choice::Send(candidate) = self.targets.choose(now, needs, id.0) else {
                full_regions.push(waiting.request.residency.allowed().clone());
                continue;
            };
            self.queue.leave(id);
            let Some(waiting) = self.waiting.remove(&id) else {
                continue;
            };
            self.record_granted(now, waiting.request.class);
            let target = candidate.id.clone();
            let tokens = waiting.request.prompt_tokens;
            self.targets.started(now, &target, tokens);
            if waiting.granted.send(candidate).is_err() {
                self.targets.prompt_read(&target, tokens);
                self.targets.finished(now, &target, Outcome::Abandoned);
            }
        }
    }

    pub(crate) fn enqueue(
        &mut self,
        now: Millis,
        request: &PlaceRequest,
    ) -> Option<(WaiterId, oneshot::Receiver<Candidate>)> {
        let regions = request.residency.allowed();
        let ahead = self.queue.count_ahead(request.class, regions);
        self.next_waiter += 1;
        let id = WaiterId(self.next_waiter);
        let entered = self.queue.enter(Waiter {
            id,
            class: request.class,
            priority: request.priority,
            since: now,
            latency_deadline: request.latency_deadline.unwrap_or(request.until),
            expires_at: request.until,
            regions: regions.clone(),
        });
        if !entered {
            return None;
        }
        if request.class == WaitClass::Overdue {
            self.overdue_waits.record_enqueued(now, ahead);
        }
        let (granted, grant) = oneshot::channel();
        let request = request.clone();
        self.waiting.insert(id, WaitingRequest { request, granted });
        Some((id, grant))
    }

    pub(crate) fn record_granted(&mut self, now: Millis, class: WaitClass) {
        if class == WaitClass::Overdue {
            self.overdue_waits.record_granted(now);
        }
    }

    /// Returns whether another overdue request may be sent: all entries together leave
    /// most slots to requests in time.
    pub(crate) fn admits(&self, request: &PlaceRequest, entries: usize) -> bool {
        if request.class == WaitClass::InTime {
            return true;
        }
        let regions = request.residency.allowed();
        let own_slots = f64::from(self.targets.total_slots(regions)) / entries.max(1) as f64;
        self.overdue_share.admits(own_slots, regions)
    }

    /// Applies the regions of the current configuration to the waiting requests.
    pub(crate) fn refresh_residency(&mut self, table: &RouteTable) {
        for (id, waiting) in &mut self.waiting {
            let residency = waiting.request.residency.for_configuration(table);
            self.queue.set_regions(*id, residency.allowed());
            waiting.request.residency = residency;
        }
    }

    /// Records whether a request got a slot in time.
    pub fn record_in_time_outcome(&mut self, is_placed: bool) {
        if is_placed {
            self.overdue_share.record_hit();
        } else {
            self.overdue_share.record_miss();
        }
    }

    /// Returns the expected wait of an overdue request for a slot, in milliseconds;
    /// `None` when no target can take any request and it is unknown when one will.
    pub fn expected_overdue_wait_ms(&self, now: Millis, needs: Requirements<'_>) -> Option<u64> {
        if !self.targets.any_eligible(needs) {
            let backoff_end = self.targets.backoff_ends(needs);
            let backoff_end = backoff_end.and_then(|backoff_ends| backoff_ends.untried);
            let backoff_left_ms = backoff_end.map(|at| at.since(now));
            let estimates = [backoff_left_ms, self.expected_outage_ms(now)];
            return estimates.into_iter().flatten().min();
        }
        let all = AllowedRegions::all();
        let regions = needs.regions.unwrap_or(&all);
        let ahead = self.queue.count_ahead(WaitClass::Overdue, regions);
        // Slots become free less often in proportion to the share of these regions.
        let share = f64::from(self.targets.total_slots(regions))
            / f64::from(self.targets.total_slots(&all));
        let wait_ms = self.overdue_waits.expected_wait_ms(now, ahead);
        Some((wait_ms / share.max(MIN_SLOT_SHARE)) as u64)
    }

    /// Returns the expected time until weights in transfer are served, in milliseconds.
    pub(crate) fn expected_outage_ms(&self, now: Millis) -> Option<u64> {
        self.arrival.expected_ms(now, self.piece_ms)
    }

    pub(crate) fn cancel(&mut self, id: WaiterId) {
        self.queue.leave(id);
        self.waiting.remove(&id);
    }
}
