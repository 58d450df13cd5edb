//! Sending a request until it has an answer, within its time, its number of
//! targets and the budget of repeats.

use crate::acquire::{LoadEstimate, Place};
use crate::front::breaks::Progress;
use crate::front::exchange::{self, Reply, SendError, Verdict};
use crate::front::give_up::GiveUp;
use crate::front::patience;
use crate::front::request::Accepted;
use crate::front::sends::Sends;
use crate::node::Node;
use bytes::Bytes;
use moleroad_config::prelude::Repeatability;
use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::{Choice, Outcome, Requirements};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between looks for another target while one is silent.
pub const LOOK_FOR_OTHERS: Duration = Duration::from_millis(100);
/// Most connections that are tried for one request without one coming up.
const MOST_UNREACHABLE: usize = 4;

/// What was done so far for one request.
pub struct Attempts {
    pub(super) node: Arc<Node>,
    /// The request.
    pub request: Arc<Accepted>,
    pub(super) tried: Vec<TargetId>,
    pub(super) sends: Sends,
    /// Places given back because no connection came up or a grant lapsed; bounds
    /// how often the request tries again.
    pub(super) unreachable: usize,
    pub(super) may_have_run: bool,
    pub(super) failed_reply: Option<(Reply, Bytes)>,
    last: Option<Sent>,
}

/// The last send of a request, for the log.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The target.
    pub target: TargetId,
    /// Number of the send.
    pub send: u32,
    /// How long the request had waited for this place, in milliseconds.
    pub waited_ms: u64,
    /// What was believed of the target.
    pub belief: LoadEstimate,
    /// Version of its weights; 0 for plain targets.
    pub weights: u64,
}

/// A target at work on the request.
pub struct Running {
    /// The place; it says how the send ended.
    pub place: Place,
    /// The head of the answer.
    pub reply: Reply,
}

impl Attempts {
    /// Nothing was sent yet.
    pub fn new(node: Arc<Node>, request: Accepted) -> Self {
        Self {
            node,
            request: Arc::new(request),
            tried: Vec::new(),
            sends: Sends::default(),
            unreachable: 0,
            may_have_run: false,
            failed_reply: None,
            last: None,
        }
    }

    /// Number of sends that reached a target.
    pub fn sends(&self) -> u32 {
        self.sends.made()
    }

    /// The last send, for the log.
    pub fn last_send(&self) -> Option<Sent> {
        self.last.clone()
    }

    /// Whether it may run at more than one target.
    pub fn is_idempotent(&self) -> bool {
        let route = &self.request.route;
        if route.streaming {
            route.resumable
        } else {
            route.repeatability == Repeatability::Idempotent
        }
    }

    /// Sends the request to one more target, until one begins to answer.
    pub async fn next_run(&mut self, last_event: Option<&Bytes>) -> Result<Running, GiveUp> {
        loop {
            let next = self.next_place().await;
            if let Err(GiveUp::NoPlace(no_place)) = &next {
                self.log_no_place(no_place);
            }
            let mut place = next?;
            let least = {
                let view = self.node.view();
                self.node.least_version(&view, &self.request.service)
            };
            self.last = Some(Sent {
                target: place.candidate.id.clone(),
                send: self.sends() + 1,
                waited_ms: self.node.clock.now().since(self.request.arrived),
                belief: place.belief,
                weights: place.candidate.version.unwrap_or(0),
            });
            self.tried.push(place.candidate.id.clone());
            place.sends(self.request.fingerprint, self.request.until);
            let sent = self.send(&place, least, last_event).await;
            self.log_send(&place, &sent);
            if sent.as_ref().is_err_and(|error| error.is_not_sent()) {
                place.clear_send();
            }
            match sent {
                Err(SendError::Unreachable) => {
                    place.ended(Outcome::Unreachable);
                    self.node.pool.forget(place.candidate.address);
                    self.unreachable += 1;
                    if self.unreachable >= MOST_UNREACHABLE {
                        return Err(GiveUp::NotAgain);
                    }
                }
                Err(SendError::Lapsed) => {
                    place.ended(Outcome::Abandoned);
                    self.tried.pop();
                    self.unreachable += 1;
                    if self.unreachable >= MOST_UNREACHABLE {
                        return Err(GiveUp::NotAgain);
                    }
                }
                Err(SendError::Barred) => {
                    self.node.metrics.count("place_barred");
                    // It did not have the request, and may have rested when it is
                    // looked at again.
                    self.tried.pop();
                }
                Err(error) => {
                    self.sends.reached_target();
                    self.may_have_run = true;
                    if error == SendError::Broken {
                        self.note_break(&place, Progress::NoHead);
                    }
                    place.ended(Outcome::Broken);
                    if !self.is_idempotent() {
                        return Err(GiveUp::NotAgain);
                    }
                }
                Ok(reply) => {
                    self.sends.reached_target();
                    match self.take_head(place, reply).await {
                        Some(running) => return Ok(running),
                        None if self.may_have_run && !self.is_idempotent() => {
                            return Err(GiveUp::NotAgain);
                        }
                        None => {}
                    }
                }
            }
        }
    }

    /// Takes the head of an answer; `None` when another target may be asked.
    async fn take_head(&mut self, mut place: Place, mut reply: Reply) -> Option<Running> {
        match reply.verdict {
            Verdict::Succeeded | Verdict::Final => Some(Running { place, reply }),
            Verdict::TurnedAway => {
                place.ended(Outcome::TurnedAway);
                let whole = reply.whole_body(&self.node, self.request.until).await;
                if whole.is_ok() {
                    reply.keep_connection(&self.node);
                }
                None
            }
            Verdict::Failed => {
                self.may_have_run = true;
                place.ended(Outcome::Failed);
                match reply.whole_body(&self.node, self.request.until).await {
                    Ok(body) => self.failed_reply = Some((reply, body)),
                    Err(error) => {
                        if error == SendError::Broken {
                            self.note_break(&place, Progress::PartOfBody);
                        }
                        place.ended(Outcome::Broken);
                    }
                }
                None
            }
        }
    }

    /// Whether another target could take the request now, after `sends` sends.
    pub fn can_move(&self, sends: u32) -> bool {
        if !self.is_idempotent() || sends >= self.request.route.max_attempts {
            return false;
        }
        let now = self.node.clock.now();
        let mut view = self.node.view();
        let least = self.node.least_version(&view, &self.request.service);
        let entries = view.entry_count(now);
        let residency = view.residency(&self.request.residency);
        let needs = Requirements {
            now,
            tried: &self.tried,
            least,
            prompt_tokens: self.request.prompt_tokens,
            first_event_within_ms: None,
            spare: 0,
            regions: Some(residency.allowed()),
        };
        view.services
            .get_mut(&self.request.service)
            .is_some_and(|places| {
                places.budget.has_room(now, entries)
                    && places.waiting() == 0
                    && matches!(places.targets.choose(now, needs, 0), Choice::Send(_))
            })
    }

    /// Sends and waits for the head of the answer; a stream whose target is
    /// silent for long is given up as soon as another target could take it.
    async fn send(
        &self,
        place: &Place,
        least: Option<u64>,
        last_event: Option<&Bytes>,
    ) -> Result<Reply, SendError> {
        let request = &self.request;
        let until = request.until;
        let sending = exchange::send(&self.node, request, place, least, last_event, until);
        if !request.route.streaming {
            return sending.await;
        }
        let patience = Duration::from_millis(patience::first_event_ms(&request.route));
        let began = Instant::now();
        let silence = async {
            loop {
                tokio::time::sleep(LOOK_FOR_OTHERS).await;
                let is_silent = began.elapsed() >= patience && self.can_move(self.sends() + 1);
                if is_silent || self.is_start_forbidden(place) {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            sent = sending => sent,
            () = silence => Err(SendError::TimedOut),
        }
    }

    /// Whether a request that has not begun may not begin at the target any
    /// more: its weights are too old by now, or other targets ended under the
    /// request. Most targets drop it from their queue when it is given up.
    pub fn is_start_forbidden(&self, place: &Place) -> bool {
        let view = self.node.view();
        let least = self.node.least_version(&view, &self.request.service);
        let version = place.candidate.version;
        let is_outdated = least.is_some_and(|least| version.is_some_and(|version| version < least));
        let left_ms = self.node.hold_left_ms(&view, &self.request.fingerprint);
        is_outdated || (left_ms.is_some() && !self.request.is_trial)
    }

    /// Notes that a target that began to answer broke off.
    pub fn broke_off(&mut self) {
        self.may_have_run = true;
    }
}
