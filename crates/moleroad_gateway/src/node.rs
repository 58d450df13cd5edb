//! State shared by all tasks of one process.

use crate::agent::cold::ColdEngine;
use crate::agent::offers::Offers;
use crate::agent::pieces::PieceMemory;
use crate::clock::Clock;
use crate::connections::open_answers::OpenAnswers;
use crate::connections::tracked::ClosingConnections;
use crate::control_member::ControlMember;
use crate::control_state::{ControlCommand, ControlState};
use crate::front::pool::Pool;
use crate::halls::{UpdateSource, current_updates};
use crate::held_bytes::HeldBytes;
use crate::interface::{Interface, PieceDigests};
use crate::limit_grants::LimitGrants;
use crate::metrics::Metrics;
use crate::peer::LeaderHint;
use crate::peers::Peers;
use crate::places::PlaceRequest;
use crate::region_warnings;
use crate::settings::{RoleSetting, Settings};
use crate::stop::{StopPhase, StopPlan, StopSignal};
use crate::suspension::SuspensionDetector;
use crate::target_ends::TargetEnds;
use crate::ticks::Ticks;
use crate::view::View;
use moleroad_consensus::prelude::MemberInfo;
use moleroad_directory::prelude::*;
use moleroad_rollout::prelude::OldWeightsCutoff;
use moleroad_types::prelude::{InstanceId, Millis};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// State shared by all tasks of one process.
pub struct Node {
    /// Settings of this process.
    pub settings: Settings,
    /// Monotonic clock.
    pub clock: Clock,
    /// Start time of the process.
    pub started_at: Millis,
    /// Adapter to the names, formats and calls of callers, targets, operators and
    /// origins.
    pub interface: Arc<dyn Interface>,
    /// Connections to other daemons.
    pub peers: Peers,
    /// This process's member of the control group; `None` without a disk.
    pub control_member: Option<ControlMember>,
    /// Pooled connections to targets.
    pub pool: Pool,
    /// Bytes of requests and answers that this process holds.
    pub held_bytes: HeldBytes,
    /// Metrics.
    pub metrics: Metrics,
    /// Wakes the task that sends this daemon's state to others.
    pub state_changed: Notify,
    /// Grants for this agent's engine while it is cold.
    pub cold_engine: ColdEngine,
    /// Grants for targets with a named limit that this daemon owns.
    pub limit_grants: LimitGrants,
    /// Pieces of weights in memory.
    pub pieces: Mutex<PieceMemory>,
    /// Offers of other agents.
    pub offers: Mutex<Offers>,
    /// Wakes a fetch when an offer arrives.
    pub offer_received: Notify,
    /// Number of requests received since demand was last measured.
    pub unmeasured_requests: AtomicUsize,
    /// Answers that callers wait for.
    pub open_answers: OpenAnswers,
    /// Answers of the management API that are not written.
    pub open_calls: OpenAnswers,
    /// Connections that wait for their callers to close them.
    pub closing_connections: ClosingConnections,
    /// Phase of a graceful stop.
    pub stop: StopSignal,
    seeds: Mutex<Vec<SocketAddr>>,
    digests: Mutex<Vec<(String, PieceDigests)>>,
    pull_in_progress: AtomicBool,
    suspension: Mutex<SuspensionDetector>,
    target_ends: Mutex<TargetEnds>,
    ticks: Mutex<Ticks>,
    view: Mutex<View>,
}

impl Node {
    /// Creates a node that knows only its settings.
    pub fn new(
        settings: Settings,
        clock: Clock,
        interface: Arc<dyn Interface>,
        control_member: Option<ControlMember>,
    ) -> Self {
        let own = own_record(&settings);
        let started_at = clock.now();
        let metrics = Metrics::default();
        let suspension = match &control_member {
            Some(control_member) if control_member.has_stored_state => {
                SuspensionDetector::with_stored_state(started_at)
            }
            _ => SuspensionDetector::new(started_at),
        };
        Self {
            started_at,
            clock,
            interface,
            peers: Peers::new(metrics.peer_bytes()),
            control_member,
            pool: Pool::default(),
            held_bytes: HeldBytes::for_memory(settings.memory_mb),
            metrics,
            state_changed: Notify::new(),
            cold_engine: ColdEngine::default(),
            limit_grants: LimitGrants::default(),
            pieces: Mutex::default(),
            offers: Mutex::default(),
            offer_received: Notify::new(),
            unmeasured_requests: AtomicUsize::new(0),
            open_answers: OpenAnswers::new(clock),
            open_calls: OpenAnswers::new(clock),
            closing_connections: ClosingConnections::default(),
            stop: StopSignal::default(),
            seeds: Mutex::new(settings.seed_peers()),
            digests: Mutex::default(),
            pull_in_progress: AtomicBool::new(false),
            suspension: Mutex::new(suspension),
            target_ends: Mutex::default(),
            ticks: Mutex::default(),
            view: Mutex::new(View::new(own)),
            settings,
        }
    }

    /// Locks this daemon's view. The guard must not be held across an await.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Locks the checks of targets at which requests broke off. The guard must not be
    /// held across an await.
    pub(crate) fn target_ends(&self) -> MutexGuard<'_, TargetEnds> {
        let ends = self.target_ends.lock();
        ends.unwrap_or_else(|error| error.into_inner())
    }

    /// Locks the times at which this process is known to have run. The guard must not be
    /// held across an await.
    pub fn ticks(&self) -> MutexGuard<'_, Ticks> {
        self.ticks.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Locks the suspension detector, updated with the current time. The guard must not be
    /// held across an await.
    pub fn suspension_detector(&self) -> MutexGuard<'_, SuspensionDetector> {
        let suspension = self.suspension.lock();
        let mut suspension = suspension.unwrap_or_else(|error| error.into_inner());
        if suspension.observe(self.clock.now()) {
            log::warn!(event = "stood_still"; "");
            self.metrics.count("stood_still");
        }
        suspension
    }

    /// Waits until this process has received what it missed while it was suspended or
    /// not running.
    pub async fn catch_up_after_suspension(&self) {
        while self
            .suspension_detector()
            .must_wait_for_updates(self.clock.now())
        {
            tokio::time::sleep(CATCH_UP_POLL).await;
        }
    }

    /// Returns the digests of a version, if this agent has them.
    pub fn cached_digests(&self, model: &str, version: u64) -> Option<Vec<[u8; 32]>> {
        let known = self
            .digests
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        let mut of_model = known.iter().filter(|(name, _)| name == model);
        let found = of_model.find(|(_, digests)| digests.version == version);
        found.map(|(_, digests)| digests.digests.clone())
    }

    /// Caches the digests of a version, evicting the oldest.
    pub fn cache_digests(&self, model: &str, digests: &PieceDigests) {
        let known = self.digests.lock();
        let mut known = known.unwrap_or_else(|error| error.into_inner());
        if !known
            .iter()
            .any(|(name, cached)| name == model && cached == digests)
        {
            known.push((model.to_string(), digests.clone()));
        }
        if known.len() > MAX_CACHED_DIGESTS {
            known.remove(0);
        }
    }

    /// Returns the peer addresses of the seed daemons.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.lock();
        seeds.unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Replaces the seeds by those of changed settings.
    pub fn replace_seeds(&self, new_seeds: Vec<SocketAddr>) {
        let seeds = self.seeds.lock();
        *seeds.unwrap_or_else(|error| error.into_inner()) = new_seeds;
    }

    /// Measures demand over the last `span_ms` and publishes it when it changed.
    pub fn measure_demand(&self, span_ms: u64) {
        let requests = self.unmeasured_requests.swap(0, Ordering::Relaxed);
        let per_s = requests as f32 * 1_000.0 / span_ms.max(1) as f32;
        let mut view = self.view();
        view.demand_per_s += (per_s - view.demand_per_s) * DEMAND_SMOOTHING;
        let (published, now) = (view.own.requests_per_s, view.demand_per_s);
        if (now - published).abs() > (published * DEMAND_CHANGE_THRESHOLD).max(1.0) {
            view.own.requests_per_s = now;
            view.own.sequence += 1;
        }
    }

    /// Starts a fetch of the committed state; `None` while one is in progress.
    pub fn begin_pull(&self) -> Option<PullGuard<'_>> {
        let was_pulling = self.pull_in_progress.swap(true, Ordering::Relaxed);
        (!was_pulling).then_some(PullGuard(&self.pull_in_progress))
    }

    /// Returns whether this process started recently, so that daemons may exist that it
    /// does not know yet.
    pub fn recently_started(&self, now: Millis) -> bool {
        now.since(self.started_at) < STARTUP_MS
    }

    /// Returns whether this process was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.stop.phase() >= StopPhase::Leaving
    }

    /// Marks this daemon as leaving, so that new callers go elsewhere.
    pub fn leave(&self, plan: StopPlan) {
        self.stop.begin(plan);
        self.update_own_record();
        self.state_changed.notify_waiters();
    }

    /// Updates the record of this daemon that is sent to others.
    pub fn update_own_record(&self) {
        let mut view = self.view();
        let ready = self.settings.role == RoleSetting::Agent || view.table.is_some();
        let state = if self.is_leaving() {
            DaemonState::Leaving
        } else if ready {
            DaemonState::Ready
        } else {
            DaemonState::Starting
        };
        if view.own.state != state {
            view.own.state = state;
            view.own.sequence += 1;
        }
        let (now, own) = (self.clock.now(), view.own.clone());
        view.directory.merge_daemon(now, own, 0);
    }

    /// Merges newer parts of `state`; returns true if anything changed.
    pub fn merge_state(&self, state: &ControlState, source: UpdateSource) -> bool {
        let halls_changed = self.apply_hall_updates(&current_updates(&state.evacuations), source);
        let now = self.clock.now();
        let changed = {
            let mut view = self.view();
            let before = view.state.config_version();
            let changed = view.merge_state(now, state, &*self.interface);
            if view.state.config_version() > before {
                region_warnings::log(&self.settings, &view);
            }
            if changed {
                view.refresh_candidates(now, &self.settings);
                view.refresh_residency();
            }
            changed
        };
        if changed {
            self.update_own_record();
            self.serve_waiting();
        }
        changed | halls_changed
    }

    /// Merges state that the leader read from the log, replacing a different document
    /// held here under the same version; returns true if anything changed.
    pub fn merge_committed(&self, committed: &ControlState) -> bool {
        let conflicts = {
            let mut view = self.view();
            let conflicts = view.state.conflicts_with(committed);
            if conflicts {
                view.state.configuration = None;
            }
            conflicts
        };
        if conflicts {
            self.metrics.count("configuration_corrected");
            let version = committed.config_version().0;
            log::error!(event = "configuration_corrected", version = version; "");
        }
        self.merge_state(committed, UpdateSource::Answer)
    }

    /// Lets agents prepare for a state that is not known to be committed.
    pub fn prepare_for(&self, state: &ControlState) {
        let now = self.clock.now();
        self.view().prepare_for(now, state, &*self.interface);
    }

    /// Returns the lowest allowed version of weights for `service`; see
    /// [`View::min_version`].
    pub fn min_version(&self, view: &View, service: &str) -> Option<u64> {
        let service = view.service(service)?;
        view.min_version(self.clock.now(), service, self.settings.bounds.version_ms)
    }

    /// Returns until when requests may start at a target whose weights are older than
    /// the newest; see [`View::old_weights`].
    pub fn old_weights(&self, service: &str, version: Option<u64>) -> Option<OldWeightsCutoff> {
        let view = self.view();
        let service = view.service(service)?;
        view.old_weights(service, version?, self.settings.bounds.version_ms)
    }

    /// Returns the expected wait of an overdue request for a slot, in milliseconds;
    /// `None` when it is unknown.
    pub fn expected_wait_ms(&self, request: &PlaceRequest) -> Option<u64> {
        let now = self.clock.now();
        let view = self.view();
        let min_version = self.min_version(&view, &request.service);
        let slots = view.services.get(&request.service);
        slots.and_then(|slots| slots.expected_overdue_wait_ms(now, request.needs(now, min_version)))
    }

    /// Assigns free slots to waiting requests.
    pub fn serve_waiting(&self) {
        let now = self.clock.now();
        let mut view = self.view();
        let names: Vec<String> = view.services.keys().cloned().collect();
        for name in names {
            let min_version = self.min_version(&view, &name);
            if let Some(slots) = view.services.get_mut(&name) {
                slots.serve_waiting(now, min_version);
            }
        }
    }

    /// Returns the last known leader.
    pub fn leader_hint(&self) -> Option<LeaderHint> {
        self.view().leader
    }

    /// Returns whether the committed state known here includes `command`.
    pub fn has_applied(&self, command: &ControlCommand) -> bool {
        self.view().state.includes(command)
    }

    /// Converts a member into a leader hint with the newest known term.
    pub fn leader_hint_for(&self, member: Option<MemberInfo>) -> Option<LeaderHint> {
        let term = self.view().leader.map_or(0, |hint| hint.term);
        member.map(|member| LeaderHint {
            term,
            address: member.address,
        })
    }
}

/// Guard of a fetch of the committed state, held while it is in progress.
pub struct PullGuard<'a>(&'a AtomicBool);

impl Drop for PullGuard<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// Time after the start of a process in which it polls for updates more often, in
/// milliseconds: after a power loss of the whole system, control daemons elect a
/// leader, and daemons discover each other, within two seconds.
const STARTUP_MS: u64 = 3_000;
/// Interval of checks whether a suspended process has caught up.
const CATCH_UP_POLL: Duration = Duration::from_millis(10);
/// Number of versions whose digests are cached.
const MAX_CACHED_DIGESTS: usize = 3;
/// Relative change of demand from which it is published.
const DEMAND_CHANGE_THRESHOLD: f32 = 0.15;
/// Weight of the newest sample in the moving average of demand.
const DEMAND_SMOOTHING: f32 = 0.3;

fn own_record(settings: &Settings) -> DaemonRecord {
    let role = match settings.role {
        RoleSetting::Entry => DaemonRole::Entry,
        RoleSetting::Agent => DaemonRole::Agent,
        RoleSetting::Control => DaemonRole::Control,
    };
    let instance = InstanceId::new(settings.instance.as_str());
    let hall = settings.hall.clone();
    DaemonRecord {
        incarnation: rand::random(),
        state: DaemonState::Starting,
        frontend: settings.listen.frontend,
        control: settings.listen.control,
        has_log: settings.data_dir.is_some(),
        region: settings.region.clone(),
        engine: settings.engine,
        service: settings.service.clone(),
        ..DaemonRecord::new(instance, role, settings.peer_address(), hall)
    }
}
