//! What all tasks of one process share.

use crate::agent::cold::ColdEngine;
use crate::agent::offers::Offers;
use crate::agent::pieces::PieceMemory;
use crate::clock::Clock;
use crate::control_member::ControlMember;
use crate::control_state::{ControlCommand, ControlState};
use crate::front::pool::Pool;
use crate::halls::{Source, news_of};
use crate::interface::{Interface, PieceDigests};
use crate::limit_grants::LimitGrants;
use crate::metrics::Metrics;
use crate::peer::LeaderHint;
use crate::peers::Peers;
use crate::places::Ask;
use crate::region_warnings;
use crate::settings::{RoleSetting, Settings};
use crate::suspension::SuspensionDetector;
use crate::target_ends::TargetEnds;
use crate::view::View;
use moleroad_consensus::prelude::MemberInfo;
use moleroad_directory::prelude::*;
use moleroad_rollout::prelude::OldWeights;
use moleroad_types::prelude::{InstanceId, Millis};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// What all tasks of one process share.
pub struct Node {
    /// Settings of this life of the process.
    pub settings: Settings,
    /// Steady time.
    pub clock: Clock,
    /// When the process began.
    pub began_at: Millis,
    /// What the outside speaks.
    pub interface: Arc<dyn Interface>,
    /// Other daemons.
    pub peers: Peers,
    /// The member of the control group, where there is a disk.
    pub core: Option<ControlMember>,
    /// Kept connections to targets.
    pub pool: Pool,
    /// Figures.
    pub metrics: Metrics,
    /// Wakes whoever tells others of this daemon.
    pub news: Notify,
    /// What is granted to the engine beside this agent while it is cold.
    pub cold_engine: ColdEngine,
    /// What is granted to targets that named a limit and are owned by this daemon.
    pub limit_grants: LimitGrants,
    /// Pieces of weights in memory.
    pub pieces: Mutex<PieceMemory>,
    /// What other agents offered.
    pub offers: Mutex<Offers>,
    /// Wakes a fetch when something was offered.
    pub offered: Notify,
    /// Requests that came since demand was last measured.
    pub unmeasured_requests: AtomicUsize,
    /// Requests that are being answered.
    pub in_flight: AtomicUsize,
    seeds: Mutex<Vec<SocketAddr>>,
    digests: Mutex<Vec<(String, PieceDigests)>>,
    pulling: AtomicBool,
    leaving: AtomicBool,
    ending: AtomicBool,
    standstill: Mutex<SuspensionDetector>,
    target_ends: Mutex<TargetEnds>,
    view: Mutex<View>,
}

impl Node {
    /// A process that knows only its settings.
    pub fn new(
        settings: Settings,
        clock: Clock,
        interface: Arc<dyn Interface>,
        core: Option<ControlMember>,
    ) -> Self {
        let own = own_record(&settings);
        let began_at = clock.now();
        let metrics = Metrics::default();
        let standstill = match &core {
            Some(core) if core.has_old_state => SuspensionDetector::with_old_state(began_at),
            _ => SuspensionDetector::new(began_at),
        };
        Self {
            began_at,
            clock,
            interface,
            peers: Peers::new(metrics.peer_bytes()),
            core,
            pool: Pool::default(),
            metrics,
            news: Notify::new(),
            cold_engine: ColdEngine::default(),
            limit_grants: LimitGrants::default(),
            pieces: Mutex::default(),
            offers: Mutex::default(),
            offered: Notify::new(),
            unmeasured_requests: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            seeds: Mutex::new(settings.seed_peers()),
            digests: Mutex::default(),
            pulling: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            standstill: Mutex::new(standstill),
            target_ends: Mutex::default(),
            view: Mutex::new(View::new(own)),
            settings,
        }
    }

    /// What this daemon believes. Never held across an await.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// What is found out of targets at which requests broke off. Never held across
    /// an await.
    pub(crate) fn target_ends(&self) -> MutexGuard<'_, TargetEnds> {
        let ends = self.target_ends.lock();
        ends.unwrap_or_else(|error| error.into_inner())
    }

    /// Whether this process stood still, looked at now. Never held across an
    /// await.
    pub fn standstill(&self) -> MutexGuard<'_, SuspensionDetector> {
        let standstill = self.standstill.lock();
        let mut standstill = standstill.unwrap_or_else(|error| error.into_inner());
        if standstill.look(self.clock.now()) {
            log::warn!(event = "stood_still"; "");
            self.metrics.count("stood_still");
        }
        standstill
    }

    /// Waits until this process heard what happened while it stood still or was
    /// off, if it did or was.
    pub async fn catch_up_after_suspension(&self) {
        while self.standstill().waits_for_news(self.clock.now()) {
            tokio::time::sleep(NEWS_LOOK).await;
        }
    }

    /// Digests of a version, if this agent knows them.
    pub fn cached_digests(&self, model: &str, version: u64) -> Option<Vec<[u8; 32]>> {
        let known = self
            .digests
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        let mut of_model = known.iter().filter(|(name, _)| name == model);
        let found = of_model.find(|(_, digests)| digests.version == version);
        found.map(|(_, digests)| digests.digests.clone())
    }

    /// Remembers the digests of a version, and forgets those of the oldest.
    pub fn cache_digests(&self, model: &str, digests: &PieceDigests) {
        let known = self.digests.lock();
        let mut known = known.unwrap_or_else(|error| error.into_inner());
        if !known
            .iter()
            .any(|(name, kept)| name == model && kept == digests)
        {
            known.push((model.to_string(), digests.clone()));
        }
        if known.len() > MOST_DIGESTS {
            known.remove(0);
        }
    }

    /// Daemons to begin with, by their peer addresses.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.lock();
        seeds.unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Takes the seeds of changed settings in place of the earlier ones.
    pub fn replace_seeds(&self, fresh: Vec<SocketAddr>) {
        let seeds = self.seeds.lock();
        *seeds.unwrap_or_else(|error| error.into_inner()) = fresh;
    }

    /// Measures demand over the last `span_ms` and tells others of it.
    pub fn measure_demand(&self, span_ms: u64) {
        let requests = self.unmeasured_requests.swap(0, Ordering::Relaxed);
        let per_s = requests as f32 * 1_000.0 / span_ms.max(1) as f32;
        let mut view = self.view();
        view.demand_per_s += (per_s - view.demand_per_s) * DEMAND_WEIGHT;
        let (told, now) = (view.own.requests_per_s, view.demand_per_s);
        if (now - told).abs() > (told * DEMAND_NEWS_PART).max(1.0) {
            view.own.requests_per_s = now;
            view.own.sequence += 1;
        }
    }

    /// Begins to fetch what is in force; `None` while that is under way.
    pub fn begin_pull(&self) -> Option<Pulling<'_>> {
        let was_pulling = self.pulling.swap(true, Ordering::Relaxed);
        (!was_pulling).then_some(Pulling(&self.pulling))
    }

    /// Whether this process began a short while ago, so that others may exist
    /// of which it has not heard.
    pub fn is_young(&self, now: Millis) -> bool {
        now.since(self.began_at) < YOUNG_MS
    }

    /// Whether this process was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether requests are no longer begun because the process ends soon.
    pub fn requests_stopped(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }

    /// Begins no request from now on.
    pub fn end(&self) {
        self.ending.store(true, Ordering::Relaxed);
    }

    /// Takes no new callers from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.update_own_record();
        self.news.notify_waiters();
    }

    /// Brings what this daemon tells of itself up to date.
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

    /// Takes what is newer in `state`; true if anything was.
    pub fn take_state(&self, state: &ControlState, source: Source) -> bool {
        let halls_changed = self.take_halls(&news_of(&state.evacuations), source);
        let now = self.clock.now();
        let changed = {
            let mut view = self.view();
            let before = view.state.config_version();
            let changed = view.take_state(now, state, &*self.interface);
            if view.state.config_version() > before {
                region_warnings::log(&self.settings, &view);
            }
            if changed {
                view.refresh_candidates(now, &self.settings);
                view.renew_residency();
            }
            changed
        };
        if changed {
            self.update_own_record();
            self.serve_waiting();
        }
        changed | halls_changed
    }

    /// Takes what the leader reads out of the log, also where another document is held
    /// here under its version; true if anything changed.
    pub fn merge_committed(&self, decided: &ControlState) -> bool {
        let is_twin = {
            let mut view = self.view();
            let is_twin = view.state.conflicts_with(decided);
            if is_twin {
                view.state.configuration = None;
            }
            is_twin
        };
        if is_twin {
            self.metrics.count("configuration_corrected");
            let version = decided.config_version().0;
            log::error!(event = "configuration_corrected", version = version; "");
        }
        self.take_state(decided, Source::Answer)
    }

    /// Lets agents prepare for a state that is not known to be in force.
    pub fn prepare_for(&self, state: &ControlState) {
        let now = self.clock.now();
        self.view().prepare_for(now, state, &*self.interface);
    }

    /// The least version of weights for `service`; see [`View::least_version`].
    pub fn least_version(&self, view: &View, service: &str) -> Option<u64> {
        let table = view.table.as_ref()?;
        let service = table.service(service)?;
        view.least_version(self.clock.now(), service, self.settings.bounds.version_ms)
    }

    /// Until when requests may begin at a target whose weights are older than
    /// the newest; see [`View::old_weights`].
    pub fn old_weights(&self, service: &str, version: Option<u64>) -> Option<OldWeights> {
        let view = self.view();
        let table = view.table.as_ref()?;
        let service = table.service(service)?;
        view.old_weights(service, version?, self.settings.bounds.version_ms)
    }

    /// How long a request without hope of its wanted latency would wait for a
    /// place, in milliseconds; `None` when that is not known.
    pub fn expected_wait_ms(&self, ask: &Ask) -> Option<u64> {
        let now = self.clock.now();
        let view = self.view();
        let least = self.least_version(&view, &ask.service);
        let places = view.services.get(&ask.service);
        places.and_then(|places| places.expected_overdue_wait_ms(now, ask.needs(now, least)))
    }

    /// Gives free places to those that wait.
    pub fn serve_waiting(&self) {
        let now = self.clock.now();
        let mut view = self.view();
        let names: Vec<String> = view.services.keys().cloned().collect();
        for name in names {
            let least = self.least_version(&view, &name);
            if let Some(places) = view.services.get_mut(&name) {
                places.serve_waiting(now, least);
            }
        }
    }

    /// The leader, as this daemon believes.
    pub fn leader_hint(&self) -> Option<LeaderHint> {
        self.view().leader
    }

    /// Whether what is in force includes `command`.
    pub fn has_applied(&self, command: &ControlCommand) -> bool {
        self.view().state.includes(command)
    }

    /// Turns a member into a hint, with the newest term that is known.
    pub fn leader_hint_for(&self, member: Option<MemberInfo>) -> Option<LeaderHint> {
        let term = self.view().leader.map_or(0, |hint| hint.term);
        member.map(|member| LeaderHint {
            term,
            address: member.address,
        })
    }
}

/// A fetch of what is in force, while it is under way.
pub struct Pulling<'a>(&'a AtomicBool);

impl Drop for Pulling<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// Time from the start of a process in which it asks for news more often, in
/// milliseconds: after a loss of power everywhere, control daemons elect, and
/// daemons find each other, within two seconds.
const YOUNG_MS: u64 = 3_000;
/// Time between looks for news after the process stood still.
const NEWS_LOOK: Duration = Duration::from_millis(10);
/// Versions whose digests are remembered.
const MOST_DIGESTS: usize = 3;
/// Part by which demand must change for others to be told.
const DEMAND_NEWS_PART: f32 = 0.15;
/// Weight of the newest measure of demand.
const DEMAND_WEIGHT: f32 = 0.3;

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
