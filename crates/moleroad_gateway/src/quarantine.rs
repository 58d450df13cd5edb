//! Requests that end targets: what this daemon knows of them, what it tells
//! others and the control group, and that it sends them no more.

use crate::control_state::ControlCommand;
use crate::node::Node;
use crate::operator;
use crate::target_ends::EXPLAINS_MS;
use crate::view::View;
use moleroad_directory::prelude::{Cursor, TargetId};
use moleroad_quarantine::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Time over which entries that heard of a hold from others tell the control
/// group, in milliseconds: the one that found it tells as soon as it is decided,
/// and by then most of the others are answered without a write.
const TELLS_WITHIN_MS: u64 = 1_000;
/// Time between tries to tell the control group, in milliseconds: an answer may
/// take 0.85 s.
const TELLS_AGAIN_MS: u64 = 1_000;
/// Time between looks whether a request is held still, in milliseconds: a tenth
/// of the time in which a good end elsewhere becomes known.
const VERDICT_LOOK_MS: u64 = HOLD_DECISION_MS / 10;

/// What one daemon knows of requests that end targets.
#[derive(Default)]
pub struct Quarantine {
    /// Which targets ended under which requests.
    pub suspects: Suspects,
    successes: RecentSuccesses,
    /// Held requests of which the control group is still to be told, and when.
    to_tell: HashMap<RequestFingerprint, Millis>,
    /// When the control group was last asked to try or release a request.
    ordered: HashMap<RequestFingerprint, Millis>,
}

/// Where a fact comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSource {
    /// This daemon saw the target end.
    Here,
    /// Another daemon told of it.
    Greeting,
}

impl Quarantine {
    /// Takes facts, and excuses requests that lately ran to a good end here;
    /// returns those that are held from now on.
    pub fn take(
        &mut self,
        now: Millis,
        news: Vec<TerminationReport>,
        source: EndSource,
    ) -> Vec<RequestFingerprint> {
        let mut held = Vec::new();
        for end in news {
            let request = end.request;
            let learned = self.suspects.take(now, end);
            if learned != RecordOutcome::Nothing && self.successes.has_succeeded(now, &request) {
                self.suspects.excuse(&request);
            } else if learned == RecordOutcome::Held {
                self.to_tell.insert(request, now + tells_after_ms(source));
                held.push(request);
            }
        }
        held
    }

    /// Whether a request lately ran to a good end here.
    pub fn speaks_for(&self, now: Millis, request: &RequestFingerprint) -> bool {
        self.successes.has_succeeded(now, request)
    }

    /// Whether an order for a request may go out now, `pause_ms` after the one
    /// before; notes that it does.
    pub fn claim_order(&mut self, now: Millis, request: RequestFingerprint, pause_ms: u64) -> bool {
        self.ordered.retain(|_, at| now.since(*at) < pause_ms);
        let may_go = !self.ordered.contains_key(&request);
        if may_go {
            self.ordered.insert(request, now);
        }
        may_go
    }

    /// Notes that a request ran to a good end; true if that excuses it.
    pub fn note_success(&mut self, now: Millis, request: RequestFingerprint) -> bool {
        self.successes.note(now, request);
        self.suspects.excuse(&request)
    }
}

/// The life of which a fact tells, if it ended so lately that requests may have
/// been on their way there.
fn just_ended(news: &TerminationReport) -> Option<TargetIncarnation> {
    (news.age_ms < EXPLAINS_MS).then(|| news.life.clone())
}

fn tells_after_ms(source: EndSource) -> u64 {
    match source {
        EndSource::Here => HOLD_DECISION_MS,
        EndSource::Greeting => HOLD_DECISION_MS + rand::random::<u64>() % TELLS_WITHIN_MS,
    }
}

impl View {
    /// The life of a target that is known now.
    pub fn life_of(&self, target: &TargetId) -> TargetIncarnation {
        let heard = self.directory.target(target);
        TargetIncarnation {
            target: target.clone(),
            born_ms: heard.map_or(0, |heard| heard.record.born_ms),
        }
    }

    /// Facts that changed here after `position`, and the position up to which
    /// that is all.
    pub fn target_ends_since(&self, now: Millis, position: u64) -> (Vec<TerminationReport>, u64) {
        self.quarantine.suspects.since(now, position)
    }

    /// Facts that a daemon lacks which knows all up to `known`; none for one that
    /// wants to hear nothing.
    pub fn ends_after(
        &self,
        now: Millis,
        known: Option<Cursor>,
    ) -> (Vec<TerminationReport>, Cursor) {
        let incarnation = self.own.incarnation;
        let Some(known) = known else {
            return (Vec::new(), Cursor::default());
        };
        let is_same_life = known.incarnation == incarnation;
        let position = if is_same_life { known.position } else { 0 };
        let (ends, position) = self.target_ends_since(now, position);
        let cursor = Cursor {
            incarnation,
            position,
        };
        (ends, cursor)
    }
}

impl Node {
    /// How much longer a request is held, by what daemons saw or by what the
    /// control group keeps, in milliseconds; `None` when it may be sent.
    pub fn hold_left_ms(&self, view: &View, request: &RequestFingerprint) -> Option<u64> {
        let (quarantine, state) = (&view.quarantine, &view.state);
        let suspects = &quarantine.suspects;
        // Nearly always both are empty, and no clock is read.
        let seen = (!suspects.is_empty())
            .then(|| suspects.hold_left_ms(self.clock.now(), request))
            .flatten();
        // What the control group keeps may be from before a good end here.
        let kept = (!state.holds.is_empty())
            .then(|| state.hold_left_ms(self.clock.unix_time(), request))
            .flatten()
            .filter(|_| !quarantine.speaks_for(self.clock.now(), request));
        seen.max(kept)
    }

    /// Waits while it is open whether a request stays held, since daemons may just
    /// be telling of its good ends, but not beyond `until`; whether it is held then.
    pub(crate) async fn wait_for_hold_decision(
        &self,
        request: &RequestFingerprint,
        until: Millis,
    ) -> bool {
        loop {
            let now = self.clock.now();
            let (is_held, left_ms) = {
                let view = self.view();
                let is_held = self.hold_left_ms(&view, request).is_some();
                (
                    is_held,
                    view.quarantine.suspects.decision_left_ms(now, request),
                )
            };
            let wait_ms = left_ms.min(until.since(now)).min(VERDICT_LOOK_MS);
            if !is_held || wait_ms == 0 {
                return is_held;
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Takes facts that another daemon tells. What this entry had given up at the
    /// targets that ended may have ended them as well.
    pub fn receive_target_ends(&self, news: Vec<TerminationReport>) {
        let lives: BTreeSet<TargetIncarnation> = news.iter().filter_map(just_ended).collect();
        self.take_ends(news, EndSource::Greeting);
        for life in lives {
            let now = self.clock.now();
            let left_behind = self.target_ends().ended(now, &life);
            self.accuse(&life, left_behind);
        }
    }

    /// Takes facts of targets that ended under requests.
    pub fn take_ends(&self, news: Vec<TerminationReport>, source: EndSource) {
        if news.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut view = self.view();
        for request in view.quarantine.take(now, news, source) {
            self.metrics.count("request_held");
            let ended = view.quarantine.suspects.terminations_under(now, &request);
            let ended: Vec<&str> = ended.map(|life| life.target.as_str()).collect();
            log::warn!(
                event = "request_held",
                fingerprint:% = request,
                ended = ended.join(",").as_str(),
                source:? = source;
                ""
            );
        }
        drop(view);
        self.news.notify_waiters();
    }

    /// Notes that a request ran to a good end.
    pub fn note_success(&self, request: RequestFingerprint) {
        let now = self.clock.now();
        if self.view().quarantine.note_success(now, request) {
            self.metrics.count("request_excused");
            log::info!(event = "request_excused", fingerprint:% = request; "");
            self.news.notify_waiters();
        }
    }

    /// Tells the control group of requests that are held, until it keeps them:
    /// they are to stay held when every daemon begins anew.
    pub fn submit_holds(self: &Arc<Self>) {
        for order in self.holds_to_tell() {
            let node = self.clone();
            tokio::spawn(async move {
                let request = order.request;
                let is_kept = operator::commit(&node, ControlCommand::HoldRequest(order)).await;
                log::info!(event = "hold_told", fingerprint:% = request, kept = is_kept; "");
            });
        }
    }

    fn holds_to_tell(&self) -> Vec<HoldOrder> {
        let mut view = self.view();
        if view.quarantine.to_tell.is_empty() {
            return Vec::new();
        }
        let (now, unix_time) = (self.clock.now(), self.clock.unix_time());
        let View {
            quarantine, state, ..
        } = &mut *view;
        let mut orders = Vec::new();
        let suspects = &quarantine.suspects;
        quarantine.to_tell.retain(|request, tells_at| {
            let Some(left_ms) = suspects.hold_left_ms(now, request) else {
                return false;
            };
            let order = HoldOrder {
                request: *request,
                until: UnixMillis(unix_time.0 + left_ms),
            };
            if state.holds.includes(&order) {
                return false;
            }
            if now >= *tells_at {
                *tells_at = now + TELLS_AGAIN_MS;
                orders.push(order);
            }
            true
        });
        orders
    }
}
