//! Taking a place at a target, or waiting for one.

use crate::no_place::{NoPlace, no_place, no_place_for};
use crate::node::Node;
use crate::places::Ask;
use crate::probe;
use crate::refusal::refused_at_once;
use moleroad_dispatch::prelude::*;
use moleroad_quarantine::prelude::{RequestFingerprint, TargetIncarnation};
use moleroad_types::prelude::Millis;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Time between two looks of a waiting request at the targets, in milliseconds: a
/// third of the shortest pass of an engine.
const LOOK_AGAIN_MS: u64 = 15;
/// The same for one without hope of its wanted latency: each look asks up to
/// five agents, and nothing is lost with a few milliseconds more.
const OVERDUE_LOOK_AGAIN_MS: u64 = 45;

/// Requests without hope of their wanted latency that look at the targets side by
/// side: engines that come back together have hundreds of places at once.
const OVERDUE_LOOKING: usize = 3;

fn look_again_ms(line: WaitClass) -> u64 {
    match line {
        WaitClass::InTime => LOOK_AGAIN_MS,
        WaitClass::Overdue => OVERDUE_LOOK_AGAIN_MS,
    }
}

/// What was believed of a target when a place there was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Requests in flight there.
    pub requests: f64,
    /// Prompt tokens that it had not read.
    pub unread_tokens: f64,
    /// Age of its agent's last report, in milliseconds; `None` without one.
    pub report_age_ms: Option<u64>,
}

/// A place at a target; given back when dropped.
pub struct Place {
    /// What was believed of the target.
    pub belief: LoadEstimate,
    node: Arc<Node>,
    service: String,
    /// The target.
    pub candidate: Candidate,
    /// Its life that gets the request.
    pub life: TargetIncarnation,
    /// What the target was sent, and until when it works on that.
    sent: Option<(RequestFingerprint, Millis)>,
    line: WaitClass,
    unread_tokens: Option<u64>,
    outcome: Outcome,
}

impl Place {
    fn new(node: &Arc<Node>, ask: &Ask, candidate: Candidate) -> Self {
        let belief = belief(node, ask, &candidate);
        if ask.line == WaitClass::Overdue
            && let Some(places) = node.view().services.get_mut(&ask.service)
        {
            places.overdue_share.started(&candidate.region);
        }
        Self {
            belief,
            node: node.clone(),
            service: ask.service.clone(),
            life: node.view().life_of(&candidate.id),
            sent: None,
            candidate,
            line: ask.line,
            unread_tokens: Some(ask.prompt_tokens),
            outcome: Outcome::Abandoned,
        }
    }

    /// Whose answers come from there.
    pub fn answerer(&self) -> Responder {
        Responder {
            address: self.candidate.address,
            target: self.life.target.clone(),
            born_ms: self.life.born_ms,
        }
    }

    /// Says that the target is sent a request with that deadline.
    pub fn sends(&mut self, request: RequestFingerprint, until: Millis) {
        self.sent = Some((request, until));
    }

    /// Says that nothing went out after all.
    pub fn clear_send(&mut self) {
        self.sent = None;
    }

    /// The target may go on with a request that this entry has given up.
    fn leave_behind(&mut self) {
        let is_given_up = matches!(self.outcome, Outcome::Abandoned | Outcome::Broken);
        if let Some((request, until)) = self.sent.take().filter(|_| is_given_up) {
            let now = self.node.clock.now();
            let mut ends = self.node.target_ends();
            ends.leave_behind(now, &self.life, request, until);
        }
    }

    /// Says that the target has read the prompt.
    pub fn was_read(&mut self) {
        let Some(tokens) = self.unread_tokens.take() else {
            return;
        };
        let mut view = self.node.view();
        if let Some(places) = view.services.get_mut(&self.service) {
            places.targets.was_read(&self.candidate.id, tokens);
        }
    }

    /// Says how the send ended; without it the place counts as abandoned.
    pub fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.leave_behind();
        self.was_read();
        let now = self.node.clock.now();
        let mut view = self.node.view();
        let least = self.node.least_version(&view, &self.service);
        if let Some(places) = view.services.get_mut(&self.service) {
            places
                .targets
                .finished(now, &self.candidate.id, self.outcome);
            if self.line == WaitClass::Overdue {
                places.overdue_share.ended(&self.candidate.region);
            }
            places.serve_waiting(now, least);
        }
    }
}

/// A request in the queue; leaves it when dropped, and gives back a place that
/// was granted and not taken.
struct InQueue {
    node: Arc<Node>,
    ask: Ask,
    id: WaiterId,
    grant: oneshot::Receiver<Candidate>,
}

impl Drop for InQueue {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let mut view = self.node.view();
        let Some(places) = view.services.get_mut(&self.ask.service) else {
            return;
        };
        places.forget(self.id);
        if let Ok(candidate) = self.grant.try_recv() {
            let (targets, tokens) = (&mut places.targets, self.ask.prompt_tokens);
            targets.was_read(&candidate.id, tokens);
            targets.finished(now, &candidate.id, Outcome::Abandoned);
        }
    }
}

/// Waits for a place.
///
/// # Errors
/// [`NoPlace`] when there is none until [`Ask::until`], too many wait, or no
/// target may get the request.
pub async fn acquire(node: &Arc<Node>, ask: &Ask) -> Result<Place, NoPlace> {
    let now = node.clock.now();
    let place = |candidate| Place::new(node, ask, candidate);
    let nobody_waits = {
        let view = node.view();
        let Some(places) = view.services.get(&ask.service) else {
            return Err(no_place(now, None, Requirements::default(), 1));
        };
        if let Some(refused) = refused_at_once(node, &view, ask) {
            return Err(refused);
        }
        let ahead = places.queue.count_ahead(ask.line, ask.residency.allowed());
        ahead == 0 && places.admits(ask, view.entry_count(now))
    };
    if nobody_waits && let Some(candidate) = probe::find(node, ask).await {
        return Ok(place(candidate));
    }
    let (id, grant) = {
        let mut view = node.view();
        let places = view.services.get_mut(&ask.service);
        match places.and_then(|places| places.wait(now, ask)) {
            Some(waiting) => waiting,
            None => return Err(no_place_for(node, &view, ask)),
        }
    };
    let mut in_queue = InQueue {
        node: node.clone(),
        ask: ask.clone(),
        id,
        grant,
    };
    loop {
        let look = (node.clock.now() + look_again_ms(ask.line)).min(ask.until);
        let granted = tokio::time::timeout_at(node.clock.instant(look), &mut in_queue.grant).await;
        // A place from here on, so that it is given back if the caller leaves.
        let granted = granted.ok().and_then(Result::ok).map(place);
        node.catch_up_after_suspension().await;
        let residency = node.view().residency(&in_queue.ask.residency);
        in_queue.ask.residency = residency;
        if let Some(place) = granted {
            if is_open(node, &in_queue.ask, &place.candidate) {
                return Ok(place);
            }
            // What was learned after the place was granted bars the request.
            let ask = in_queue.ask.clone();
            drop((place, in_queue));
            return Box::pin(acquire(node, &ask)).await;
        }
        let ask = &in_queue.ask;
        {
            let view = node.view();
            if let Some(refused) = refused_at_once(node, &view, ask) {
                return Err(refused);
            }
            if node.clock.now() >= ask.until {
                return Err(no_place_for(node, &view, ask));
            }
        }
        if is_next(node, ask, id)
            && let Some(candidate) = probe::find(node, ask).await
        {
            let now = node.clock.now();
            if let Some(places) = node.view().services.get_mut(&ask.service) {
                places.note_granted(now, ask.line);
            }
            return Ok(place(candidate));
        }
    }
}

/// Whether the request may still go to this target.
fn is_open(node: &Node, ask: &Ask, candidate: &Candidate) -> bool {
    let view = node.view();
    let needs = ask.needs(node.clock.now(), node.least_version(&view, &ask.service));
    let places = view.services.get(&ask.service);
    places.is_some_and(|places| places.targets.is_open(&candidate.id, needs))
}

/// Whether the waiting request is among the next to be sent, and asks agents
/// itself.
fn is_next(node: &Node, ask: &Ask, id: WaiterId) -> bool {
    let view = node.view();
    let places = view.services.get(&ask.service);
    places.is_some_and(|places| {
        let count = match ask.line {
            WaitClass::InTime => 1,
            WaitClass::Overdue => OVERDUE_LOOKING,
        };
        let now = node.clock.now();
        let is_admitted = places.admits(ask, view.entry_count(now));
        let asks = places.targets.require_queries() && is_admitted;
        asks && places.queue.is_among_first(count, id, now)
    })
}

fn belief(node: &Node, ask: &Ask, candidate: &Candidate) -> LoadEstimate {
    let now = node.clock.now();
    let view = node.view();
    let Some(places) = view.services.get(&ask.service) else {
        return LoadEstimate::default();
    };
    let load = places.targets.load(&candidate.id);
    let usual = places
        .targets
        .reading
        .map_or(0.0, |reading| reading.usual_prompt);
    LoadEstimate {
        requests: load.requests(now),
        unread_tokens: load.unread_tokens(now, usual),
        report_age_ms: load.report_age(now),
    }
}
