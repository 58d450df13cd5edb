//! Gives an engine other weights without cutting or mixing requests.

use crate::agent::AgentShared;
use crate::agent::engine::{LoadOrder, Target, TargetReport};
use crate::agent::worker::AgentEvent;
use crossbeam::channel::Sender;
use moleroad_events::prelude::EventKind;
use moleroad_types::prelude::*;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

/// How long a refused load is left alone.
const RELOAD_WAIT_MS: u64 = 1_000;

/// Where the engine stands between two sets of weights.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing is to be changed, or nothing can be yet.
    Settled,
    /// Requests on the old weights end; none is admitted.
    Draining(Option<RootDigest>),
    /// The engine was ordered to load.
    Loading,
}

/// The switch of one engine.
pub(crate) struct EngineSwitch {
    shared: Arc<AgentShared>,
    target: Arc<dyn Target>,
    events: Sender<AgentEvent>,
    phase: Phase,
    report: Option<TargetReport>,
    serving: Option<WeightsId>,
    not_before: Millis,
}

impl EngineSwitch {
    pub(crate) fn new(
        shared: Arc<AgentShared>,
        target: Arc<dyn Target>,
        events: Sender<AgentEvent>,
    ) -> Self {
        Self {
            shared,
            target,
            events,
            phase: Phase::Settled,
            report: None,
            serving: None,
            not_before: Millis(0),
        }
    }

    /// Takes what a look at the engine showed; `None` when it did not answer.
    pub(crate) fn probed(&mut self, report: Option<TargetReport>) {
        let restarted = match (self.report, report) {
            (Some(old), Some(new)) => old.incarnation != new.incarnation,
            (Some(_), None) => true,
            _ => false,
        };
        if restarted {
            // Nothing that the earlier process had counts any more.
            self.withdraw();
        }
        self.report = report;
    }

    /// Takes the end of a load.
    pub(crate) fn loaded(&mut self, now: Millis, result: Result<TargetReport, MoleroadError>) {
        self.phase = Phase::Settled;
        match result {
            Ok(report) => self.report = Some(report),
            Err(error) => {
                log::warn!(code:% = error.code; "{error}");
                self.not_before = now + RELOAD_WAIT_MS;
            }
        }
    }

    /// Moves on towards serving `ordered`, if `whole` says it is all there.
    pub(crate) fn step(
        &mut self,
        now: Millis,
        fence: Fence,
        ordered: Option<&WeightsId>,
        whole: bool,
    ) {
        let Some(report) = self.report else { return };
        let wanted = ordered.map(|id| id.root);
        match self.phase.clone() {
            Phase::Loading => {}
            Phase::Draining(root) if root != wanted => self.phase = Phase::Settled,
            Phase::Draining(root) => {
                if self.shared.admission.in_flight() == 0 {
                    self.order_load(fence, root);
                }
            }
            Phase::Settled if report.serving == wanted => self.attest(ordered, report),
            Phase::Settled if (whole || wanted.is_none()) && now >= self.not_before => {
                self.withdraw();
                self.phase = Phase::Draining(wanted);
            }
            Phase::Settled => {}
        }
    }

    fn order_load(&mut self, fence: Fence, root: Option<RootDigest>) {
        let store = root.and_then(|root| self.shared.staging.get(root));
        if root.is_some() && store.is_none() {
            self.phase = Phase::Settled;
            return;
        }
        let order = LoadOrder {
            root,
            path: store
                .as_ref()
                .map_or_else(PathBuf::new, |store| store.path()),
            chunk_bytes: store.as_ref().map_or(0, |store| store.manifest.chunk_bytes),
            fence,
        };
        if let Some(root) = root {
            self.shared
                .context
                .events
                .record(EventKind::LoadOrdered { root, fence });
        }
        self.phase = Phase::Loading;
        let (target, events) = (Arc::clone(&self.target), self.events.clone());
        thread::spawn(move || {
            let _ = events.send(AgentEvent::Loaded(target.load(&order)));
        });
    }

    /// The engine confirms what it is ordered to serve: requests may come.
    fn attest(&mut self, ordered: Option<&WeightsId>, report: TargetReport) {
        if self.serving.as_ref() == ordered {
            return;
        }
        self.serving = ordered.cloned();
        match ordered {
            Some(id) => {
                self.shared
                    .admission
                    .open(Some(id.root), report.incarnation);
                let (root, incarnation) = (id.root, report.incarnation);
                log::info!(root:% = root.short(), version:% = id.version; "serving");
                self.shared
                    .context
                    .events
                    .record(EventKind::Attested { root, incarnation });
            }
            None => self.shared.admission.withdraw(),
        }
    }

    fn withdraw(&mut self) {
        self.serving = None;
        self.shared.admission.withdraw();
    }

    /// What is attested now.
    pub(crate) fn state(&self) -> TargetState {
        TargetState {
            incarnation: self
                .report
                .map_or(Incarnation(0), |report| report.incarnation),
            serving: self.serving.clone(),
            healthy: self.report.is_some(),
            leaving: false,
        }
    }

    /// Root that the engine reports, attested or not.
    pub(crate) fn engine_root(&self) -> Option<RootDigest> {
        self.report.and_then(|report| report.serving)
    }
}
