//! The agent's deciding thread.

use crate::agent::AgentShared;
use crate::agent::engine::{Target, TargetReport};
use crate::agent::fetch::{self, FetchJob, FetchResult, JobKind, JobSource};
use crate::agent::staging::RootStore;
use crate::agent::switch::EngineSwitch;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use moleroad_events::prelude::EventKind;
use moleroad_rpc::prelude::*;
use moleroad_settings::prelude::TargetSettings;
use moleroad_transfer::prelude::*;
use moleroad_types::fence::FenceGuard;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Longest wait for an event while chunks are fetched or weights switched.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Longest wait for an event otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Shortest time between two reports of mere progress.
const PROGRESS_REPORT_MS: u64 = 100;
/// Wait after a report that failed.
const FAILED_REPORT_WAIT_MS: u64 = 100;
/// Longest time that a report may wait for its answer.
const REPORT_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest time for a manifest to arrive.
const MANIFEST_LIMIT: Duration = Duration::from_secs(5);

/// What the deciding thread is told by others.
pub(crate) enum AgentEvent {
    /// A report was answered.
    Orders(Result<Box<AgentOrders>, MoleroadError>),
    /// A fetch ended.
    Fetched(FetchResult),
    /// The target was looked at; `None` when it did not answer.
    Probed(Option<TargetReport>),
    /// The engine ended a load.
    Loaded(Result<TargetReport, MoleroadError>),
    /// A manifest was asked for.
    Manifest(RootDigest, Result<Manifest, MoleroadError>),
    /// Chunks that an earlier process left were verified.
    Recovered(Vec<Arc<RootStore>>),
    /// A staged chunk does not verify any more.
    ChunkLost(RootDigest, ChunkIndex),
}

/// One root that is being fetched or held.
struct Hold {
    store: Arc<RootStore>,
    swarm: Swarm,
    order: Option<HoldOrder>,
    cancels: BTreeMap<AttemptId, Arc<AtomicBool>>,
    /// Peers that sent wrong bytes since the last report.
    corrupt: Vec<(InstanceId, ChunkIndex)>,
    reported_whole: bool,
}

/// The deciding thread's state.
pub(crate) struct Worker {
    shared: Arc<AgentShared>,
    incarnation: Incarnation,
    events: Receiver<AgentEvent>,
    sender: Sender<AgentEvent>,
    jobs: Sender<FetchJob>,
    switch: EngineSwitch,
    guard: FenceGuard,
    orders: Option<Box<AgentOrders>>,
    holds: BTreeMap<RootDigest, Hold>,
    manifests_asked: BTreeMap<RootDigest, Millis>,
    recovered: bool,
    /// Reports not yet answered.
    outstanding: usize,
    reported: Option<TargetState>,
    report_not_before: Millis,
    progress_reported_at: Millis,
    progress_unreported: bool,
    report_now: bool,
}

impl Worker {
    pub(crate) fn new(
        shared: Arc<AgentShared>,
        target: Arc<dyn Target>,
        sender: Sender<AgentEvent>,
        events: Receiver<AgentEvent>,
    ) -> Self {
        let jobs = fetch::start(&shared, &sender);
        start_probes(&shared, &target, &sender);
        start_recovery(&shared, &sender);
        Self {
            switch: EngineSwitch::new(Arc::clone(&shared), target, sender.clone()),
            incarnation: Incarnation(rand::random()),
            shared,
            events,
            sender,
            jobs,
            guard: FenceGuard::default(),
            orders: None,
            holds: BTreeMap::new(),
            manifests_asked: BTreeMap::new(),
            recovered: false,
            outstanding: 0,
            reported: None,
            report_not_before: Millis(0),
            progress_reported_at: Millis(0),
            progress_unreported: false,
            report_now: false,
        }
    }

    pub(crate) fn run(mut self) {
        loop {
            match self.events.recv_timeout(self.tick()) {
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in self.events.try_iter().collect::<Vec<_>>() {
                self.take(event);
            }
            self.step_swarms();
            self.step_target();
            self.report_if_due();
        }
    }

    fn tick(&self) -> Duration {
        let fetching = self
            .holds
            .values()
            .any(|hold| hold.order.is_some() && !hold.swarm.is_complete());
        let switching = self.switch.is_under_way();
        let unreported = self.outstanding == 0 || self.progress_unreported;
        if fetching || switching || unreported {
            BUSY_TICK
        } else {
            IDLE_TICK
        }
    }

    fn now(&self) -> Millis {
        self.shared.context.clock.now()
    }

    fn take(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Orders(answer) => self.take_answer(answer),
            AgentEvent::Fetched(result) => self.take_fetched(result),
            AgentEvent::Probed(report) => self.switch.probed(report),
            AgentEvent::Loaded(result) => {
                let now = self.now();
                self.switch.loaded(now, result);
            }
            AgentEvent::Manifest(root, Ok(manifest)) => self.take_manifest(root, &manifest),
            AgentEvent::Manifest(root, Err(error)) => {
                log::warn!(root:% = root.short(), code:% = error.code; "no manifest: {error}");
            }
            AgentEvent::Recovered(stores) => self.take_recovered(stores),
            AgentEvent::ChunkLost(root, chunk) => {
                if let Some(hold) = self.holds.get_mut(&root) {
                    hold.swarm.lost(chunk);
                    self.report_now = true;
                }
            }
        }
    }

    fn take_recovered(&mut self, stores: Vec<Arc<RootStore>>) {
        for store in stores {
            self.hold(store);
        }
        self.recovered = true;
        self.report_now = true;
        // Orders may have come before the stores they are about were open.
        self.follow_hold_orders();
        self.drop_unwanted();
    }

    fn take_answer(&mut self, answer: Result<Box<AgentOrders>, MoleroadError>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match answer {
            Ok(orders) => self.take_orders(orders),
            // A later report took this one's place.
            Err(error) if error.code == ResultCode::Busy => {}
            Err(error) => {
                log::debug!(code:% = error.code; "report failed: {error}");
                self.report_not_before = self.now() + FAILED_REPORT_WAIT_MS;
            }
        }
    }

    /// Works by new orders, unless they are of a lower rank than seen.
    fn take_orders(&mut self, orders: Box<AgentOrders>) {
        let context = &self.shared.context;
        context.events.observe(orders.stamp);
        if let Err(highest) = self.guard.admit(orders.fence) {
            log::warn!(fence:? = orders.fence, highest:? = highest; "order of a deposed leader refused");
            context.metrics.orders_refused.inc();
            context.events.record(EventKind::OrderRefused {
                fence: orders.fence,
                highest,
            });
            return;
        }
        let known = self.orders.as_ref();
        if known.is_some_and(|known| known.fence == orders.fence) {
            return;
        }
        if known.is_none_or(|known| known.revision < orders.revision) {
            context.events.record(EventKind::InForce {
                revision: orders.revision,
            });
            context.metrics.revision.set(orders.revision.0 as i64);
            self.report_now = true;
        }
        self.orders = Some(orders);
        self.follow_hold_orders();
        self.drop_unwanted();
    }

    /// Hands grants and peers to the swarms, and begins new ones.
    fn follow_hold_orders(&mut self) {
        let Some(orders) = &self.orders else { return };
        for order in orders.hold.clone() {
            let root = order.weights.root;
            match self.holds.get_mut(&root) {
                Some(hold) => hold.follow(order),
                None => self.ask_manifest(root),
            }
        }
    }

    /// Removes weights that are neither to be held nor served.
    fn drop_unwanted(&mut self) {
        let Some(orders) = &self.orders else { return };
        let engine_root = self.switch.engine_root();
        let wanted = |root: &RootDigest| {
            orders.hold.iter().any(|order| order.weights.root == *root)
                || orders.load == Some(*root)
                || engine_root == Some(*root)
        };
        let unwanted: Vec<RootDigest> = self
            .holds
            .keys()
            .filter(|root| !wanted(root))
            .copied()
            .collect();
        for root in unwanted {
            if let Some(hold) = self.holds.remove(&root) {
                hold.cancels
                    .values()
                    .for_each(|cancel| cancel.store(true, Ordering::Release));
            }
            self.shared.staging.remove(root);
        }
    }

    fn ask_manifest(&mut self, root: RootDigest) {
        let now = self.now();
        let asked = self.manifests_asked.get(&root);
        if !self.recovered
            || asked.is_some_and(|at| now.since(*at) < MANIFEST_LIMIT.as_millis() as u64)
        {
            return;
        }
        self.manifests_asked.insert(root, now);
        let (context, sender) = (Arc::clone(&self.shared.context), self.sender.clone());
        self.shared.context.runtime.spawn(async move {
            let ask =
                |client: DaemonServiceClient, ctx| async move { client.manifest(ctx, root).await };
            let answer = context.control.call(MANIFEST_LIMIT, ask).await;
            let _ = sender.send(AgentEvent::Manifest(root, answer));
        });
    }

    fn take_manifest(&mut self, root: RootDigest, manifest: &Manifest) {
        self.manifests_asked.remove(&root);
        if manifest.root != root || manifest.check().is_err() {
            log::error!(root:% = root.short(); "the manifest does not match its root");
            return;
        }
        let orders = self.orders.as_ref();
        let order =
            orders.and_then(|orders| orders.hold.iter().find(|order| order.weights.root == root));
        let Some(order) = order.cloned() else { return };
        match self.shared.staging.create(&order.weights, manifest) {
            Ok(store) => {
                self.hold(store);
                self.follow_hold_orders();
            }
            Err(error) => log::error!(error:% = error; "the staging folder cannot be written"),
        }
    }

    fn hold(&mut self, store: Arc<RootStore>) {
        let settings = swarm_settings(&store.manifest, self.shared.settings.link_bytes_per_second);
        let swarm = Swarm::new(settings, store.have(), rand::random());
        let root = store.weights.root;
        let hold = Hold {
            store,
            swarm,
            order: None,
            cancels: BTreeMap::new(),
            corrupt: Vec::new(),
            reported_whole: false,
        };
        self.holds.entry(root).or_insert(hold);
        self.progress_unreported = true;
    }

    fn take_fetched(&mut self, result: FetchResult) {
        let now = self.now();
        let Some(hold) = self.holds.get_mut(&result.root) else {
            return;
        };
        if let (Some(peer), Some(holds)) = (&result.peer, result.holds) {
            hold.swarm.peer_has(peer, holds);
        }
        let Some((attempt, chunk, outcome)) = result.attempt else {
            return;
        };
        hold.cancels.remove(&attempt);
        let granted = hold.is_granted(chunk);
        let is_new = hold.swarm.finished(now, attempt, outcome);
        if outcome == FetchOutcome::Corrupt
            && let Some(peer) = &result.peer
        {
            hold.corrupt.push((peer.clone(), chunk));
            self.report_now = true;
        }
        let source = result
            .peer
            .map_or_else(|| "origin".to_string(), |peer| peer.to_string());
        let root = result.root;
        if is_new {
            self.progress_unreported = true;
            // Others wait for what only this agent was to draw.
            self.report_now |= granted;
            self.shared.context.events.record(EventKind::ChunkFetched {
                root,
                chunk,
                source,
            });
        } else if outcome == FetchOutcome::Corrupt {
            self.shared.context.metrics.chunks_corrupt.inc();
            log::warn!(code:% = ResultCode::ChunkMismatch, chunk:% = chunk, source; "wrong bytes");
            self.shared.context.events.record(EventKind::ChunkCorrupt {
                root,
                chunk,
                source,
            });
        }
    }

    fn step_swarms(&mut self) {
        let now = self.now();
        let Some(orders) = &self.orders else { return };
        for hold in self.holds.values_mut() {
            let Some(order) = &hold.order else { continue };
            let mut failed_jobs = Vec::new();
            for action in hold.swarm.step(now) {
                match action {
                    SwarmAction::Start(fetch) => {
                        let Some(source) = job_source(orders, order, &fetch.source) else {
                            failed_jobs.push(fetch.attempt);
                            continue;
                        };
                        let cancelled = Arc::new(AtomicBool::new(false));
                        hold.cancels.insert(fetch.attempt, Arc::clone(&cancelled));
                        let kind = JobKind::Chunk(fetch.attempt, fetch.chunk);
                        let store = Arc::clone(&hold.store);
                        let ticket = order.ticket.clone();
                        let _ = self.jobs.send(FetchJob {
                            store,
                            source,
                            kind,
                            ticket,
                            cancelled,
                        });
                    }
                    SwarmAction::Cancel(attempt) => {
                        if let Some(cancel) = hold.cancels.get(&attempt) {
                            cancel.store(true, Ordering::Release);
                        }
                    }
                    SwarmAction::Poll(peer) => {
                        let Some(source) = job_source(orders, order, &Source::Peer(peer)) else {
                            continue;
                        };
                        let _ = self.jobs.send(FetchJob {
                            store: Arc::clone(&hold.store),
                            source,
                            kind: JobKind::Holdings,
                            ticket: order.ticket.clone(),
                            cancelled: Arc::default(),
                        });
                    }
                }
            }
            for attempt in failed_jobs {
                hold.swarm.finished(now, attempt, FetchOutcome::Failed);
            }
            if hold.swarm.is_complete() && !hold.reported_whole {
                hold.reported_whole = true;
                self.report_now = true;
                let root = hold.store.weights.root;
                self.shared
                    .context
                    .events
                    .record(EventKind::WeightsWhole { root });
            }
        }
        // A manifest that did not come is asked for again.
        self.ask_missing_manifests();
    }

    fn ask_missing_manifests(&mut self) {
        let Some(orders) = &self.orders else { return };
        let roots = orders.hold.iter().map(|order| order.weights.root);
        let missing: Vec<RootDigest> = roots
            .filter(|root| !self.holds.contains_key(root))
            .collect();
        for root in missing {
            self.ask_manifest(root);
        }
    }

    fn step_target(&mut self) {
        let now = self.now();
        match &self.shared.settings.target {
            TargetSettings::Engine { .. } => {
                let Some(orders) = &self.orders else { return };
                let ordered = orders.load.and_then(|root| self.weights_of(root));
                // A load whose identity is not known here yet waits for it.
                if orders.load.is_some() && ordered.is_none() {
                    return;
                }
                let whole = ordered.as_ref().is_some_and(|id| self.is_whole(id.root));
                let before = self.switch.engine_root();
                self.switch.step(now, orders.fence, ordered.as_ref(), whole);
                if before != self.switch.engine_root() {
                    self.drop_unwanted();
                }
            }
            TargetSettings::PlainService { .. } => {
                let state = self.switch.state();
                match state.healthy {
                    true => self.shared.admission.open(None, state.incarnation),
                    false => self.shared.admission.withdraw(),
                }
            }
        }
    }

    fn weights_of(&self, root: RootDigest) -> Option<WeightsId> {
        self.holds.get(&root).map(|hold| hold.store.weights.clone())
    }

    fn is_whole(&self, root: RootDigest) -> bool {
        self.holds
            .get(&root)
            .is_some_and(|hold| hold.swarm.is_complete())
    }

    fn report_if_due(&mut self) {
        let now = self.now();
        let target = self.target_state();
        let changed = self.reported.as_ref() != Some(&target) || self.report_now;
        let progress =
            self.progress_unreported && now.since(self.progress_reported_at) >= PROGRESS_REPORT_MS;
        if now < self.report_not_before || !(changed || progress || self.outstanding == 0) {
            return;
        }
        self.report_now = false;
        self.progress_unreported = false;
        self.progress_reported_at = now;
        self.reported = Some(target.clone());
        self.outstanding += 1;
        let report = self.report(target);
        let (context, sender) = (Arc::clone(&self.shared.context), self.sender.clone());
        self.shared.context.runtime.spawn(async move {
            let sync = |client: DaemonServiceClient, ctx| {
                let report = report.clone();
                async move { client.agent_sync(ctx, report).await }
            };
            let answer = context.control.call(REPORT_LIMIT, sync).await;
            let _ = sender.send(AgentEvent::Orders(answer.map(Box::new)));
        });
    }

    fn target_state(&self) -> TargetState {
        let listed_leaving = self.orders.as_ref().is_some_and(|orders| orders.leaving);
        TargetState {
            leaving: self.shared.context.is_leaving() || listed_leaving,
            ..self.switch.state()
        }
    }

    fn report(&mut self, target: TargetState) -> AgentReport {
        let settings = &self.shared.context.settings;
        let progress = self.holds.iter_mut().map(|(root, hold)| RootProgress {
            root: *root,
            have: hold.swarm.have().clone(),
            failed_grants: hold.swarm.take_failed_grants(),
            corrupt: std::mem::take(&mut hold.corrupt),
        });
        AgentReport {
            progress: progress.collect(),
            stamp: self.shared.context.events.stamp(),
            instance: settings.instance.clone(),
            data_hall: settings.data_hall.clone(),
            region: settings.region.clone(),
            incarnation: self.incarnation,
            http_address: settings.http_address,
            rpc_address: settings.rpc_address,
            target_kind: self.shared.settings.target.kind(),
            target,
            orders: self
                .orders
                .as_ref()
                .map(|orders| orders.fence)
                .unwrap_or_default(),
            revision: self
                .orders
                .as_ref()
                .map(|orders| orders.revision)
                .unwrap_or_default(),
        }
    }
}

impl Hold {
    fn follow(&mut self, order: HoldOrder) {
        let peers: Vec<InstanceId> = order
            .peers
            .iter()
            .map(|peer| peer.instance.clone())
            .collect();
        self.swarm.set_peers(&peers);
        self.swarm.set_grants(&order.grants);
        self.order = Some(order);
    }

    fn is_granted(&self, chunk: ChunkIndex) -> bool {
        self.order
            .as_ref()
            .is_some_and(|order| order.grants.iter().any(|grant| grant.chunk == chunk))
    }
}

/// Address of a source, `None` when the orders do not name it any more.
fn job_source(orders: &AgentOrders, order: &HoldOrder, source: &Source) -> Option<JobSource> {
    match source {
        Source::Origin => Some(JobSource::Origin(orders.origin, order.origin_path.clone())),
        Source::Peer(instance) => {
            let mut known = order.peers.iter().chain(&order.sources);
            let peer = known.find(|peer| peer.instance == *instance)?;
            Some(JobSource::Peer(instance.clone(), peer.address))
        }
    }
}

/// Waits that fit the time that one chunk takes on the link.
fn swarm_settings(manifest: &Manifest, link_bytes_per_second: u64) -> SwarmSettings {
    let chunk_ms = u64::from(manifest.chunk_bytes) * 1_000 / link_bytes_per_second;
    SwarmSettings {
        poll_ms: (chunk_ms / 2).clamp(20, 500),
        busy_wait_ms: (chunk_ms / 4).clamp(10, 250),
        min_stall_ms: (chunk_ms * 12).max(1_000),
        ..SwarmSettings::default()
    }
}

/// Looks at the target at regular times.
fn start_probes(shared: &Arc<AgentShared>, target: &Arc<dyn Target>, events: &Sender<AgentEvent>) {
    let wait = Duration::from_millis(shared.settings.probe_ms);
    let (target, events) = (Arc::clone(target), events.clone());
    thread::spawn(move || {
        while events
            .send(AgentEvent::Probed(target.report().ok()))
            .is_ok()
        {
            thread::sleep(wait);
        }
    });
}

/// Verifies what an earlier process left in the staging folder.
fn start_recovery(shared: &Arc<AgentShared>, events: &Sender<AgentEvent>) {
    let (shared, events) = (Arc::clone(shared), events.clone());
    thread::spawn(move || {
        let _ = events.send(AgentEvent::Recovered(shared.staging.recover()));
    });
}
