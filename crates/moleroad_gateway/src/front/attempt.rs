//! Sends a request until it has an answer, within its deadline, its maximum
//! number of attempts and the retry budget.

use crate::acquire::{LoadEstimate, ReservedSlot};
use crate::front::broken_sends::Progress;
use crate::front::events::EventSplitter;
use crate::front::exchange::{Reply, ReplyClass, SendError};
use crate::front::give_up::GiveUp;
use crate::front::pending_send::NoHead;
use crate::front::request::AcceptedRequest;
use crate::front::sends::Sends;
use crate::held_bytes::Reservation;
use crate::node::Node;
use bytes::Bytes;
use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::{Choice, Outcome, Requirements};
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks whether a silent target's request can move to another
/// target.
pub const RETARGET_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of times that a request gives a slot back because no connection
/// could be opened or a grant expired.
const MAX_UNREACHABLE: usize = 4;

/// State of the attempts to answer one request.
pub struct Attempts {
    pub(super) node: Arc<Node>,
    /// The request being answered.
    pub request: Arc<AcceptedRequest>,
    pub(super) tried: Vec<TargetId>,
    pub(super) sends: Sends,
    /// Number of slots given back because no connection could be opened or a
    /// grant expired; limits how often the request tries again.
    pub(super) unreachable: usize,
    pub(super) may_have_run: bool,
    pub(super) failed_reply: Option<(Reply, Bytes)>,
    last: Option<LastSend>,
}

/// The last send of a request, for the log.
#[derive(Clone, Debug)]
pub struct LastSend {
    /// Target of the send.
    pub target: TargetId,
    /// Number of the send, starting at 1.
    pub send: u32,
    /// Time from the arrival of the request to this send, in milliseconds.
    pub waited_ms: u64,
    /// Estimated load of the target when it was chosen.
    pub load_estimate: LoadEstimate,
    /// Version of the target's weights; 0 for plain targets.
    pub weights: u64,
}

/// A send whose target has begun to answer.
pub struct RunningSend {
    /// The slot at the target, which records the outcome of the send.
    pub slot: ReservedSlot,
    /// The head of the answer.
    pub reply: Reply,
    /// What an incomplete event of the answer holds.
    pub partial_event: Reservation,
}

impl RunningSend {
    /// Returns whether the incomplete event of the answer is larger than is accepted, or
    /// than this process can hold now.
    pub(super) fn is_event_too_long(&mut self, splitter: &EventSplitter) -> bool {
        // A buffer that grows is up to twice as large as what it holds.
        let held = splitter.partial_len() * 2;
        splitter.is_too_long() || !self.partial_event.resize(held)
    }
}

impl Attempts {
    /// Creates the state of a request that was not sent yet.
    pub fn new(node: Arc<Node>, request: AcceptedRequest) -> Self {
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

    /// Returns the number of sends that reached a target.
    pub fn sends(&self) -> u32 {
        self.sends.made()
    }

    /// Returns the last send, for the log.
    pub fn last_send(&self) -> Option<LastSend> {
        self.last.clone()
    }

    /// Returns whether the request may run at more than one target.
    pub fn is_idempotent(&self) -> bool {
        self.request.is_idempotent()
    }

    /// Sends the request to one target after another until one begins to answer.
    ///
    /// # Errors
    /// Returns the reason why no further send is made.
    pub async fn next_run(&mut self, last_event: Option<&Bytes>) -> Result<RunningSend, GiveUp> {
        loop {
            let next = self.next_slot().await;
            if let Err(GiveUp::NoPlace(no_place)) = &next {
                self.log_no_place(no_place);
            }
            let mut slot = next?;
            let min_version = {
                let view = self.node.view();
                self.node.min_version(&view, &self.request.service)
            };
            self.last = Some(LastSend {
                target: slot.candidate.id.clone(),
                send: self.sends() + 1,
                waited_ms: self.node.clock.now().since(self.request.arrived),
                load_estimate: slot.load_estimate,
                weights: slot.candidate.version.unwrap_or(0),
            });
            self.tried.push(slot.candidate.id.clone());
            slot.record_send(self.request.suspects.clone(), self.request.until);
            let mut pending = self.begin_send(slot, min_version, last_event);
            let sent = match self.wait_for_head(&mut pending).await {
                Ok(sent) => sent,
                Err(NoHead::Forbidden) => Err(SendError::TimedOut),
                Err(NoHead::Silent) => return self.race_silent_send(pending, last_event).await,
            };
            let mut slot = pending.slot;
            self.log_send(&slot, &sent);
            if sent.as_ref().is_err_and(|error| error.is_not_sent()) {
                slot.clear_send();
            }
            match sent {
                Err(SendError::Unreachable) => {
                    slot.set_outcome(Outcome::Unreachable);
                    self.node.pool.forget(slot.candidate.address);
                    self.unreachable += 1;
                    if self.unreachable >= MAX_UNREACHABLE {
                        return Err(GiveUp::NoRetry);
                    }
                }
                Err(SendError::Expired) => {
                    slot.set_outcome(Outcome::Abandoned);
                    self.tried.pop();
                    self.unreachable += 1;
                    if self.unreachable >= MAX_UNREACHABLE {
                        return Err(GiveUp::NoRetry);
                    }
                }
                Err(SendError::Ineligible) => {
                    self.node.metrics.count("place_barred");
                    // The target did not receive the request, and its backoff may
                    // be over when it is considered again.
                    self.tried.pop();
                }
                Err(error) => {
                    self.sends.reached_target();
                    self.record_failed_send(&mut slot, error);
                    if !self.is_idempotent() {
                        return Err(GiveUp::NoRetry);
                    }
                }
                Ok(reply) => {
                    self.sends.reached_target();
                    match self.take_head(slot, reply).await {
                        Some(running) => return Ok(running),
                        None if self.may_have_run && !self.is_idempotent() => {
                            return Err(GiveUp::NoRetry);
                        }
                        None => {}
                    }
                }
            }
        }
    }

    /// Handles the head of an answer; returns `None` if another target may be
    /// tried.
    pub(super) async fn take_head(
        &mut self,
        mut slot: ReservedSlot,
        mut reply: Reply,
    ) -> Option<RunningSend> {
        match reply.class {
            ReplyClass::Succeeded | ReplyClass::Final => Some(RunningSend {
                slot,
                reply,
                partial_event: self.node.held_bytes.reservation(),
            }),
            ReplyClass::Rejected => {
                slot.set_outcome(Outcome::Rejected);
                reply.discard(&self.node);
                None
            }
            ReplyClass::Failed => {
                self.may_have_run = true;
                slot.set_outcome(Outcome::Failed);
                match reply.read_whole_body(&self.node, self.request.until).await {
                    Ok(body) => self.failed_reply = Some((reply, body)),
                    Err(error) => {
                        self.record_body_error(&slot, error);
                        slot.set_outcome(Outcome::Broken);
                    }
                }
                None
            }
        }
    }

    /// Returns whether another target could take the request now, after `sends`
    /// sends.
    pub fn can_retarget(&self, sends: u32) -> bool {
        if !self.is_idempotent() || sends >= self.request.route.max_attempts {
            return false;
        }
        let now = self.node.clock.now();
        let mut view = self.node.view();
        let min_version = self.node.min_version(&view, &self.request.service);
        let entries = view.entry_count(now);
        let residency = view.residency(&self.request.residency);
        let needs = Requirements {
            now,
            tried: &self.tried,
            min_version,
            prompt_tokens: self.request.prompt_tokens,
            first_event_within_ms: None,
            reserved_slots: 0,
            regions: Some(residency.allowed()),
        };
        view.services
            .get_mut(&self.request.service)
            .is_some_and(|slots| {
                slots.budget.has_room(now, entries)
                    && slots.waiting() == 0
                    && matches!(slots.targets.choose(now, needs, 0), Choice::Send(_))
            })
    }

    /// Records a send that ended without the head of an answer.
    pub(super) fn record_failed_send(&mut self, slot: &mut ReservedSlot, error: SendError) {
        self.may_have_run = true;
        if error == SendError::Broken {
            self.record_break(slot, Progress::NoHead);
        }
        slot.set_outcome(Outcome::Broken);
    }

    /// Records that an answer broke off after the target had begun it.
    pub fn record_broken_answer(&mut self) {
        self.may_have_run = true;
    }
}
