//! Grants requests to this agent's engine while it is cold.
//!
//! Entries that consider the engine cold request a grant before each send. The
//! agent counts every grant, whether or not it considers the engine cold
//! itself, since an entry may have newer information. It reports what it knows of the
//! engine's state to all entries that query the engine's load.

use crate::node::Node;
use crate::peer::{GrantAnswer, GrantRequest};
use moleroad_dispatch::prelude::{RateBound, TokenBucket};
use moleroad_types::prelude::Millis;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Longest time for which an engine counts as cold as reported by entries, in
/// milliseconds: an entry may be wrong.
const MAX_COLD_MS: u64 = 60_000;
/// Time between two records that this process is running above which it counts
/// as suspended, in milliseconds. Longer than at entries: one record is made
/// with each poll of the engine, and a poll without answer and the pause after
/// it take nearly a second.
const SUSPENSION_THRESHOLD_MS: u64 = 1_500;
/// Time between two log lines on the grants.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State of a possibly cold engine and the token bucket of its grants.
#[derive(Debug, Default)]
pub struct ColdEngine(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// When the engine started; `None` if it was running before this agent.
    started_at: Option<Millis>,
    /// Until when the engine is cold according to its reports to entries.
    reported_until: Millis,
    grants: Option<TokenBucket>,
    /// Time from which grants accumulate: the start of this process, or the end
    /// of its last suspension.
    refill_from: Millis,
    last_alive_at: Option<Millis>,
    asked: u32,
    given: u32,
}

/// A snapshot of the state of a possibly cold engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdState {
    /// Time since the engine started, in milliseconds; `None` if it was running
    /// before this agent.
    pub age_ms: Option<u64>,
    /// Time for which the engine is still cold according to its own reports, in
    /// milliseconds.
    pub left_ms: u64,
    /// Number of grants that can be given now; `None` if none was requested
    /// yet.
    pub grants: Option<u32>,
}

/// Numbers of grants since the last call of [`ColdEngine::take_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Grants requested.
    pub asked: u32,
    /// Grants given.
    pub given: u32,
}

impl ColdEngine {
    /// Records that the engine started, or is reachable again.
    pub fn engine_started(&self, now: Millis) {
        self.lock().started_at = Some(now);
    }

    /// Records that this process is running. After a suspension, grants
    /// accumulate from zero again.
    pub fn record_alive(&self, now: Millis) {
        let mut state = self.lock();
        let before = state.last_alive_at.replace(now);
        let was_running = before.is_some_and(|before| now.since(before) <= SUSPENSION_THRESHOLD_MS);
        if was_running {
            return;
        }
        state.refill_from = now;
        if let Some(grants) = &mut state.grants {
            grants.drain(now);
        }
    }

    /// Answers a grant request of an entry.
    pub fn grant(&self, now: Millis, request: GrantRequest) -> GrantAnswer {
        self.record_alive(now);
        let mut state = self.lock();
        let reported_until = now + request.left_ms.min(MAX_COLD_MS);
        if request.left_ms > 0 {
            state.reported_until = state.reported_until.max(reported_until);
        }
        let bound = RateBound {
            requests_per_s: request.requests_per_s,
            most_in_a_second: request.most_in_a_second,
        };
        let Some(params) = bound.bucket_params() else {
            return GrantAnswer { is_given: false };
        };
        let empty = TokenBucket::new(state.refill_from, params);
        let grants = state.grants.get_or_insert(empty);
        grants.set_params(now, params);
        let is_given = grants.take(now);
        state.asked += 1;
        state.given += u32::from(is_given);
        GrantAnswer { is_given }
    }

    /// Returns the state that is reported to entries.
    pub fn state(&self, now: Millis) -> ColdState {
        let mut state = self.lock();
        ColdState {
            age_ms: state.started_at.map(|started_at| now.since(started_at)),
            left_ms: state.reported_until.since(now),
            grants: state.grants.as_mut().map(|grants| grants.available(now)),
        }
    }

    /// Returns the numbers of grants since the last call and resets them.
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

/// Answers a grant request of an entry and counts it in the metrics.
pub fn grant(node: &Node, request: GrantRequest) -> GrantAnswer {
    let answer = node.cold_engine.grant(node.clock.now(), request);
    node.metrics.count("grant_asked");
    if answer.is_given {
        node.metrics.count("grant_given");
    }
    answer
}

/// Logs the grants once per second while any are requested.
pub async fn log_grants(node: std::sync::Arc<Node>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let counts = node.cold_engine.take_counts();
        if counts.asked == 0 {
            continue;
        }
        let state = node.cold_engine.state(node.clock.now());
        log::info!(
            event = "grants",
            asked = counts.asked,
            given = counts.given,
            engine_age_ms = state.age_ms.unwrap_or(0),
            cold_left_ms = state.left_ms;
            ""
        );
    }
}
