//! Granting requests to the engine beside the agent while it is cold.
//!
//! Entries that take the engine for cold ask for a grant before each send. The
//! agent counts every grant, whether or not it takes the engine for cold
//! itself: entries may know better. What it knows of the engine's state it
//! tells all entries that ask how busy the engine is.

use crate::node::Node;
use crate::peer::{GrantAnswer, GrantRequest};
use moleroad_dispatch::prelude::{RateBound, TokenBucket};
use moleroad_types::prelude::Millis;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Longest time that an engine counts as cold by what entries say, in
/// milliseconds: an entry may be wrong.
const LONGEST_COLD_MS: u64 = 60_000;
/// Time without a sign of life of this process after which it has stood still,
/// in milliseconds. Longer than at entries: a sign comes with each read of the
/// engine, and one without answer and the pause after it take nearly a second.
const AGENT_STOOD_STILL_MS: u64 = 1_500;
/// Time between two looks at what was granted.
const SUM_EVERY: Duration = Duration::from_secs(1);

/// What the agent knows of a cold engine, and the grants that it has.
#[derive(Debug, Default)]
pub struct ColdEngine(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// When the engine began, if it did in this agent's time.
    began: Option<Millis>,
    /// Until when it is cold, as entries heard from it.
    told_until: Millis,
    grants: Option<TokenBucket>,
    /// From when on grants come up: the begin of this process, or when it last
    /// went on after it stood still.
    fills_from: Millis,
    alive_at: Option<Millis>,
    asked: u32,
    given: u32,
}

/// How much the engine may get now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdState {
    /// How long ago the engine began, in milliseconds; `None` when it was
    /// there before.
    pub age_ms: Option<u64>,
    /// How much longer it is cold by its own word, in milliseconds.
    pub left_ms: u64,
    /// Grants that can be given now; `None` before any was asked for.
    pub grants: Option<u32>,
}

/// What was asked for and given since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Grants asked for.
    pub asked: u32,
    /// Grants given.
    pub given: u32,
}

impl ColdEngine {
    /// Notes that the engine began, or was lost and is there again.
    pub fn engine_started(&self, now: Millis) {
        self.lock().began = Some(now);
    }

    /// Notes that this process runs.
    pub fn note_alive(&self, now: Millis) {
        let mut state = self.lock();
        let before = state.alive_at.replace(now);
        let runs_on = before.is_some_and(|before| now.since(before) <= AGENT_STOOD_STILL_MS);
        if runs_on {
            return;
        }
        state.fills_from = now;
        if let Some(grants) = &mut state.grants {
            grants.empty(now);
        }
    }

    /// Answers an entry that wants to send one request.
    pub fn grant(&self, now: Millis, ask: GrantRequest) -> GrantAnswer {
        self.note_alive(now);
        let mut state = self.lock();
        let told_until = now + ask.left_ms.min(LONGEST_COLD_MS);
        if ask.left_ms > 0 {
            state.told_until = state.told_until.max(told_until);
        }
        let bound = RateBound {
            requests_per_s: ask.requests_per_s,
            most_in_a_second: ask.most_in_a_second,
        };
        let Some(terms) = bound.terms() else {
            return GrantAnswer { is_given: false };
        };
        let empty = TokenBucket::new(state.fills_from, terms);
        let grants = state.grants.get_or_insert(empty);
        grants.set_params(now, terms);
        let is_given = grants.take(now);
        state.asked += 1;
        state.given += u32::from(is_given);
        GrantAnswer { is_given }
    }

    /// What entries are told.
    pub fn state(&self, now: Millis) -> ColdState {
        let mut state = self.lock();
        ColdState {
            age_ms: state.began.map(|began| now.since(began)),
            left_ms: state.told_until.since(now),
            grants: state.grants.as_mut().map(|grants| grants.free(now)),
        }
    }

    /// What was asked for and given since this was last called.
    pub fn take_counts(&self) -> GrantCounts {
        let mut state = self.lock();
        GrantCounts {
            asked: std::mem::take(&mut state.asked),
            given: std::mem::take(&mut state.given),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Answers an entry that wants to send one request, and counts it.
pub fn grant(node: &Node, ask: GrantRequest) -> GrantAnswer {
    let answer = node.cold_engine.grant(node.clock.now(), ask);
    node.metrics.count("grant_asked");
    if answer.is_given {
        node.metrics.count("grant_given");
    }
    answer
}

/// Says once a second what was granted, while anything is asked for.
pub async fn report_sums(node: std::sync::Arc<Node>) {
    loop {
        tokio::time::sleep(SUM_EVERY).await;
        let sum = node.cold_engine.take_counts();
        if sum.asked == 0 {
            continue;
        }
        let state = node.cold_engine.state(node.clock.now());
        log::info!(
            event = "grants",
            asked = sum.asked,
            given = sum.given,
            engine_age_ms = state.age_ms.unwrap_or(0),
            cold_left_ms = state.left_ms;
            ""
        );
    }
}
