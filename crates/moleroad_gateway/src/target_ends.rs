//! Checks of whether a target terminated after a request to it broke off.
//!
//! A connection also breaks when a link is reset or an answer is corrupted. A target
//! whose process terminated refuses connections, and a running one accepts them. The
//! check costs one connection per target and break; a connection that opens is kept for
//! requests.

use crate::node::Node;
use crate::quarantine::TerminationSource;
use moleroad_quarantine::prelude::{RequestSuspects, TargetIncarnation, TerminationReport};
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of checks of a target that neither accepts nor refuses a connection: one
/// packet in thirty may be lost.
const MAX_CHECKS: usize = 3;
/// Pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(200);
/// Time after a termination in which further requests that break at the same
/// incarnation are attributed to it, in milliseconds: longer than the retransmission of
/// a lost packet takes.
pub const ATTRIBUTION_MS: u64 = 5_000;
/// Maximum number of requests that await the check of one target: as many as an entry
/// has in flight at one.
const MAX_BROKEN_REQUESTS: usize = 64;

/// Checks of the targets at which requests broke off.
#[derive(Default)]
pub struct TargetEnds {
    by_incarnation: HashMap<TargetIncarnation, CheckState>,
    abandoned: HashMap<TargetIncarnation, Vec<AbandonedRequest>>,
}

enum CheckState {
    /// The check is running; these requests broke off.
    Pending(Vec<RequestSuspects>),
    /// The target was found terminated at that time.
    Ended(Millis),
}

/// A request that was given up and that its target may still be running.
struct AbandonedRequest {
    request: RequestSuspects,
    /// Time at which its target abandons it, too.
    until: Millis,
}

/// Action for a request that broke off.
enum BreakAction {
    Check,
    Wait,
    Report,
}

impl TargetEnds {
    /// Records a request that was given up at a target that may still be running it.
    pub fn record_abandoned(
        &mut self,
        now: Millis,
        incarnation: &TargetIncarnation,
        request: RequestSuspects,
        until: Millis,
    ) {
        self.abandoned.retain(|_, requests| {
            requests.retain(|entry| entry.until > now);
            !requests.is_empty()
        });
        let requests = self.abandoned.entry(incarnation.clone()).or_default();
        if requests.len() < MAX_BROKEN_REQUESTS {
            requests.push(AbandonedRequest { request, until });
        }
    }

    /// Records that a target terminated; returns the requests that broke off or were
    /// given up there and that have not been reported yet.
    pub fn record_termination(
        &mut self,
        now: Millis,
        incarnation: &TargetIncarnation,
    ) -> Vec<RequestSuspects> {
        let check = self
            .by_incarnation
            .insert(incarnation.clone(), CheckState::Ended(now));
        let mut requests = match check {
            Some(CheckState::Pending(requests)) => requests,
            _ => Vec::new(),
        };
        let abandoned = self.abandoned.remove(incarnation).unwrap_or_default();
        let unexpired = abandoned.iter().filter(|entry| entry.until > now);
        requests.extend(unexpired.map(|entry| entry.request.clone()));
        requests
    }

    fn record_break(
        &mut self,
        now: Millis,
        incarnation: &TargetIncarnation,
        request: RequestSuspects,
    ) -> BreakAction {
        let is_relevant = |check: &CheckState| match check {
            CheckState::Pending(_) => true,
            CheckState::Ended(at) => now.since(*at) < ATTRIBUTION_MS,
        };
        self.by_incarnation.retain(|_, check| is_relevant(check));
        match self.by_incarnation.get_mut(incarnation) {
            Some(CheckState::Ended(_)) => BreakAction::Report,
            Some(CheckState::Pending(requests)) => {
                if requests.len() < MAX_BROKEN_REQUESTS && !requests.contains(&request) {
                    requests.push(request);
                }
                BreakAction::Wait
            }
            None => {
                let pending = CheckState::Pending(vec![request]);
                self.by_incarnation.insert(incarnation.clone(), pending);
                BreakAction::Check
            }
        }
    }

    /// Discards the requests that broke off at a target that did not terminate.
    fn record_alive(&mut self, incarnation: &TargetIncarnation) {
        if let Some(CheckState::Pending(_)) = self.by_incarnation.get(incarnation) {
            self.by_incarnation.remove(incarnation);
        }
    }
}

impl Node {
    /// Handles a request that broke off at a target by checking whether the target
    /// terminated.
    pub fn handle_request_break(
        self: &Arc<Self>,
        incarnation: TargetIncarnation,
        address: SocketAddr,
        request: RequestSuspects,
    ) {
        let action =
            self.target_ends()
                .record_break(self.clock.now(), &incarnation, request.clone());
        match action {
            BreakAction::Check => {
                tokio::spawn(check_target(self.clone(), incarnation, address));
            }
            BreakAction::Report => self.report_terminations(&incarnation, vec![request]),
            BreakAction::Wait => {}
        }
    }

    /// Reports that an incarnation of a target terminated under these requests.
    pub(crate) fn report_terminations(
        &self,
        incarnation: &TargetIncarnation,
        requests: Vec<RequestSuspects>,
    ) {
        let now = self.clock.now();
        let reports = {
            let view = self.view();
            let suspects = requests.iter().flat_map(RequestSuspects::iter);
            let report = |suspect| TerminationReport {
                suspect,
                life: incarnation.clone(),
                age_ms: 0,
                is_excused: false,
            };
            suspects
                .filter(|suspect| !view.quarantine.is_sound_part(now, suspect))
                .map(report)
                .collect()
        };
        self.merge_terminations(reports, TerminationSource::Here);
    }
}

/// Result of a check of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckResult {
    Ended,
    Lives,
    Nothing,
}

async fn check_target(node: Arc<Node>, incarnation: TargetIncarnation, address: SocketAddr) {
    let started_at = node.clock.now();
    let seen = probe_target(&node, address).await;
    let now = node.clock.now();
    let requests = match seen {
        CheckResult::Ended => node.target_ends().record_termination(now, &incarnation),
        CheckResult::Lives | CheckResult::Nothing => {
            node.target_ends().record_alive(&incarnation);
            Vec::new()
        }
    };
    node.metrics.count(match seen {
        CheckResult::Ended => "broke_at_ended_target",
        CheckResult::Lives => "broke_at_living_target",
        CheckResult::Nothing => "broke_at_silent_target",
    });
    log::info!(
        event = "target_looked_for",
        target:% = incarnation.target,
        seen:? = seen,
        requests = requests.len() as u64,
        took_ms = now.since(started_at);
        ""
    );
    node.report_terminations(&incarnation, requests);
}

async fn probe_target(node: &Node, address: SocketAddr) -> CheckResult {
    for number in 0..MAX_CHECKS {
        if number > 0 {
            tokio::time::sleep(CHECK_PAUSE).await;
        }
        match node.pool.connect(address).await {
            Ok(connection) => {
                node.metrics.count("connection_opened");
                node.pool.give_back_unused(connection);
                return CheckResult::Lives;
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return CheckResult::Ended;
            }
            Err(_) => {}
        }
    }
    CheckResult::Nothing
}
