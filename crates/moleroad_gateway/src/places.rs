//! Places at targets: who may send now, and who waits.

use crate::node::Node;
use crate::probe;
use crate::settings::Bounds;
use crate::view::View;
use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_rollout::prelude::Arrival;
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::oneshot;

/// What a request asks of a place.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Service.
    pub service: String,
    /// Targets that it was sent to before.
    pub tried: Vec<TargetId>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When a first event is wanted; `None` when late is better than never.
    pub wanted_by: Option<Millis>,
    /// Until when the request waits for a place.
    pub until: Millis,
    /// What it still hopes for.
    pub line: Line,
}

/// Places at an engine that requests without hope of their wanted latency leave
/// free, so that those who come in time find one.
const SPARE_FOR_IN_TIME: u32 = 1;

impl Ask {
    /// What a choice at `now` must meet, with `least` as the lowest version of
    /// weights.
    pub fn needs(&self, now: Millis, least: Option<u64>) -> Needs<'_> {
        Needs {
            tried: &self.tried,
            least,
            prompt_tokens: self.prompt_tokens,
            within_ms: self.wanted_by.map(|wanted_by| wanted_by.since(now)),
            spare: match self.line {
                Line::InTime => 0,
                Line::Overdue => SPARE_FOR_IN_TIME,
            },
        }
    }
}

/// Time between looks of the next waiting request at the targets, in
/// milliseconds: a third of the shortest pass of an engine.
const LOOK_AGAIN_MS: u64 = 15;
/// The same for one without hope of its wanted latency: each look asks up to
/// five agents, and nothing is lost with a few milliseconds more.
const OVERDUE_LOOK_AGAIN_MS: u64 = 45;

/// Requests without hope of their wanted latency that look at the targets side by
/// side: engines that come back together have hundreds of places at once.
const OVERDUE_LOOKING: usize = 3;

fn look_again_ms(line: Line) -> u64 {
    match line {
        Line::InTime => LOOK_AGAIN_MS,
        Line::Overdue => OVERDUE_LOOK_AGAIN_MS,
    }
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPlace {
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// Requests that waited.
    pub waiting: usize,
    /// Targets that might take requests.
    pub candidates: usize,
    /// Places believed to be free at them, rounded down.
    pub free_places: u64,
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
    pub budget: RepeatBudget,
    queue: WaitQueue,
    waiting: HashMap<WaiterId, Waiting>,
    next_waiter: u64,
    overdue_pace: Pace,
    /// How many places such requests may take.
    overdue_share: OverdueShare,
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
            budget: RepeatBudget::new(BudgetTerms {
                ratio: bounds.repeat_ratio,
                slack: bounds.repeat_slack,
                window_ms: bounds.repeat_window_ms,
            }),
            queue: WaitQueue::default(),
            waiting: HashMap::new(),
            next_waiter: 0,
            overdue_pace: Pace::default(),
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

    /// Gives free places to those that wait, unless they ask agents themselves.
    pub fn serve_waiting(&mut self, now: Millis, least: Option<u64>) {
        if self.targets.have_agents() {
            return;
        }
        while let Some(id) = self.queue.next(now) {
            let Some(waiting) = self.waiting.get(&id) else {
                self.queue.leave(id);
                continue;
            };
            let needs = waiting.ask.needs(now, least);
            let Choice::Send(candidate) = self.targets.choose(now, needs, id.0) else {
                break;
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

    fn wait(&mut self, now: Millis, ask: &Ask) -> Option<(WaiterId, oneshot::Receiver<Candidate>)> {
        let ahead = self.queue.len_of(ask.line);
        self.next_waiter += 1;
        let id = WaiterId(self.next_waiter);
        let entered = self.queue.enter(Waiter {
            id,
            line: ask.line,
            priority: ask.priority,
            since: now,
            wanted_by: ask.wanted_by.unwrap_or(ask.until),
            until: ask.until,
        });
        if !entered {
            return None;
        }
        if ask.line == Line::Overdue {
            self.overdue_pace.entered(now, ahead);
        }
        let (granted, grant) = oneshot::channel();
        let ask = ask.clone();
        self.waiting.insert(id, Waiting { ask, granted });
        Some((id, grant))
    }

    fn note_granted(&mut self, now: Millis, line: Line) {
        if line == Line::Overdue {
            self.overdue_pace.granted(now);
        }
    }

    /// Whether another request without hope of its wanted latency may be sent:
    /// all entries together leave most places to those that come in time.
    fn admits(&self, line: Line, entries: usize) -> bool {
        if line == Line::InTime {
            return true;
        }
        let own_places = f64::from(self.targets.places()) / entries.max(1) as f64;
        self.overdue_share.admits(own_places)
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
    pub fn expected_overdue_wait_ms(&self, now: Millis, least: Option<u64>) -> Option<u64> {
        if !self.targets.any_serves(least) {
            return self.expected_outage_ms(now);
        }
        let ahead = self.queue.len_of(Line::Overdue);
        Some(self.overdue_pace.expected_wait_ms(now, ahead) as u64)
    }

    /// Time until weights that are on their way are served, in milliseconds.
    fn expected_outage_ms(&self, now: Millis) -> Option<u64> {
        self.arrival.expected_ms(now, self.piece_ms)
    }

    fn forget(&mut self, id: WaiterId) {
        self.queue.leave(id);
        self.waiting.remove(&id);
    }
}

/// What was believed of a target when a place there was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Belief {
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
    pub belief: Belief,
    node: Arc<Node>,
    service: String,
    /// The target.
    pub candidate: Candidate,
    line: Line,
    unread_tokens: Option<u64>,
    outcome: Outcome,
}

impl Place {
    fn new(node: &Arc<Node>, ask: &Ask, candidate: Candidate) -> Self {
        let belief = belief(node, ask, &candidate);
        if ask.line == Line::Overdue
            && let Some(places) = node.view().services.get_mut(&ask.service)
        {
            places.overdue_share.started();
        }
        Self {
            belief,
            node: node.clone(),
            service: ask.service.clone(),
            candidate,
            line: ask.line,
            unread_tokens: Some(ask.prompt_tokens),
            outcome: Outcome::Abandoned,
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
        self.was_read();
        let now = self.node.clock.now();
        let mut view = self.node.view();
        let least = self.node.least_version(&view, &self.service);
        if let Some(places) = view.services.get_mut(&self.service) {
            places
                .targets
                .finished(now, &self.candidate.id, self.outcome);
            if self.line == Line::Overdue {
                places.overdue_share.ended();
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
/// [`NoPlace`] when there is none until [`Ask::until`], or too many wait.
pub async fn acquire(node: &Arc<Node>, ask: &Ask) -> Result<Place, NoPlace> {
    let now = node.clock.now();
    let place = |candidate| Place::new(node, ask, candidate);
    let nobody_waits = {
        let view = node.view();
        let Some(places) = view.services.get(&ask.service) else {
            return Err(no_place(now, None, None));
        };
        places.queue.len_of(ask.line) == 0 && places.admits(ask.line, view.entry_count(now))
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
        if let Ok(Ok(candidate)) = granted {
            return Ok(place(candidate));
        }
        let now = node.clock.now();
        if now >= ask.until {
            let view = node.view();
            return Err(no_place_for(node, &view, ask));
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

/// Whether the waiting request is among the next to be sent, and asks agents itself.
fn is_next(node: &Node, ask: &Ask, id: WaiterId) -> bool {
    let view = node.view();
    let places = view.services.get(&ask.service);
    places.is_some_and(|places| {
        let count = match ask.line {
            Line::InTime => 1,
            Line::Overdue => OVERDUE_LOOKING,
        };
        let now = node.clock.now();
        let is_admitted = places.admits(ask.line, view.entry_count(now));
        let asks = places.targets.have_agents() && is_admitted;
        asks && places.queue.is_among_first(count, id, now)
    })
}

fn belief(node: &Node, ask: &Ask, candidate: &Candidate) -> Belief {
    let now = node.clock.now();
    let view = node.view();
    let Some(places) = view.services.get(&ask.service) else {
        return Belief::default();
    };
    let load = places.targets.load(&candidate.id);
    let usual = places
        .targets
        .reading
        .map_or(0.0, |reading| reading.usual_prompt);
    Belief {
        requests: load.requests(now),
        unread_tokens: load.unread_tokens(now, usual),
        report_age_ms: load.report_age(now),
    }
}

/// Shortest time after which a refused request may come back, in milliseconds.
const RETRY_AFTER_LEAST_MS: u64 = 300;
/// Part of that time over which returns are spread.
const RETRY_AFTER_SPREAD_MS: u64 = 900;

/// Time before engines serve again from which requests are held for them, in
/// milliseconds; who is refused comes back within it.
const HELD_BEFORE_MS: u64 = 1_500;
/// The same when no target can take requests at all and nothing tells when one
/// will.
const RETRY_AFTER_OUTAGE_MS: u64 = 1_800;

fn no_place_for(node: &Node, view: &View, ask: &Ask) -> NoPlace {
    let least = node.least_version(view, &ask.service);
    let places = view.services.get(&ask.service);
    no_place(node.clock.now(), places, least)
}

fn no_place(now: Millis, places: Option<&ServicePlaces>, least: Option<u64>) -> NoPlace {
    let candidates = places.map_or(0, |places| places.targets.candidates().len());
    let is_outage = !places.is_some_and(|places| places.targets.any_serves(least));
    let spread = rand::random::<u64>() % RETRY_AFTER_SPREAD_MS;
    let comes_in_ms = places.and_then(|places| places.expected_outage_ms(now));
    let least = match (is_outage, comes_in_ms) {
        (true, Some(ms)) => ms.saturating_sub(HELD_BEFORE_MS).max(RETRY_AFTER_LEAST_MS),
        (true, None) => RETRY_AFTER_OUTAGE_MS,
        (false, _) => RETRY_AFTER_LEAST_MS,
    };
    NoPlace {
        retry_after_ms: least + spread,
        waiting: places.map_or(0, |places| places.waiting()),
        candidates,
        free_places: places.map_or(0, |places| places.targets.free_places(now) as u64),
    }
}
