//! What a leader keeps while it leads: agents, entries, placement and plans.
//!
//! None of it is replicated. A new leader collects reports for a while before
//! it gives orders, so that it moves nothing only because it has not heard of
//! an agent yet.

use crate::context::Context;
use crate::control::membership::MembershipList;
use crate::control::orders::orders_for;
use crate::control::replicas::{Replicas, selector_progress};
use crate::control::routes::RouteTable;
use moleroad_placement::prelude::*;
use moleroad_rpc::prelude::*;
use moleroad_settings::prelude::ControlSettings;
use moleroad_settings::settings::{ObjectiveSetting, PlanSetting};
use moleroad_state::prelude::ControlState;
use moleroad_state::state::StoredObject;
use moleroad_transfer::peers::Place;
use moleroad_transfer::prelude::*;
use moleroad_types::object::{InstanceSpec, ObjectKind, WeightsSpec};
use moleroad_types::prelude::*;
use moleroad_types::target::Served;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time in which a new leader only listens.
const COLLECTING_MS: u64 = 1_000;
/// Longest time that a report waits for its answer.
pub(super) const HOLD_MS: u64 = 1_000;
/// Longest time that an entry's report waits: its answer proves freshness.
const ENTRY_HOLD_MS: u64 = 500;
/// Silence after which an entry is not named to callers any more.
const ENTRY_TIMEOUT_MS: u64 = 2_000;
/// Time after which the list of entries is sent again with its loads.
const ENTRIES_REFRESH_MS: u64 = 2_000;
/// Time within which a report and its orders travel.
const CONTROL_LATENCY_MS: u64 = 100;

/// An agent as the leader knows it.
pub(super) struct AgentRecord {
    pub(super) report: AgentReport,
    pub(super) heard_at: Millis,
    held: Option<Held<AgentOrders>>,
    /// The orders sent last, to tell whether new ones differ.
    last_sent: Option<AgentOrders>,
    /// Roots that the agent holds whole.
    pub(super) whole: BTreeSet<RootDigest>,
}

struct EntryRecord {
    report: EntryReport,
    heard_at: Millis,
    held: Option<Held<EntryView>>,
    entries_sent: Option<(u64, Millis)>,
}

/// A report that waits for its answer.
struct Held<T> {
    reply: Reply<T>,
    since: Millis,
}

/// Weights that operators have published.
pub(super) struct PublishedWeights {
    pub(super) spec: WeightsSpec,
    name: ObjectName,
    created: Revision,
}

/// The leader's working state.
pub(super) struct Leadership {
    context: Arc<Context>,
    settings: ControlSettings,
    term: Term,
    collecting_until: Millis,
    pub(super) agents: BTreeMap<InstanceId, AgentRecord>,
    entries: BTreeMap<InstanceId, EntryRecord>,
    /// Changes of the list of entries.
    entries_version: u64,
    labels: BTreeMap<InstanceId, Labels>,
    model_labels: BTreeMap<(AccountId, ModelName), Labels>,
    pub(super) weights: BTreeMap<RootDigest, PublishedWeights>,
    pub(super) placement: Placement,
    pub(super) planner: TransferPlanner,
    assigned: BTreeMap<InstanceId, Assignment>,
    /// Roots that engines were allowed to load.
    loads: BTreeMap<InstanceId, RootDigest>,
    routes: RouteTable,
    leaving: BTreeSet<InstanceId>,
    dirty_agents: BTreeSet<InstanceId>,
    dirty_selectors: BTreeSet<ObjectName>,
    sequence: u64,
    revision: Revision,
}

impl Leadership {
    /// The working state of a leader that just began `term` over `state`.
    pub(super) fn new(
        context: Arc<Context>,
        settings: &ControlSettings,
        term: Term,
        now: Millis,
        state: &ControlState,
    ) -> Self {
        let mut leadership = Self {
            context,
            settings: settings.clone(),
            term,
            collecting_until: now + COLLECTING_MS,
            agents: BTreeMap::new(),
            entries: BTreeMap::new(),
            entries_version: 0,
            labels: BTreeMap::new(),
            model_labels: BTreeMap::new(),
            weights: BTreeMap::new(),
            placement: Placement::default(),
            planner: TransferPlanner::new(planner_settings(settings)),
            assigned: BTreeMap::new(),
            loads: BTreeMap::new(),
            routes: RouteTable::new(term),
            leaving: BTreeSet::new(),
            dirty_agents: BTreeSet::new(),
            dirty_selectors: BTreeSet::new(),
            sequence: 0,
            revision: state.revision(),
        };
        for stored in state.objects() {
            leadership.take_object(stored);
        }
        leadership
    }

    /// Follows a change of an object.
    pub(super) fn object_changed(&mut self, stored: &StoredObject) {
        self.revision = self.revision.max(stored.changed);
        self.take_object(stored);
        // Every agent reports the revision it works by.
        self.dirty_agents.extend(self.agents.keys().cloned());
    }

    fn take_object(&mut self, stored: &StoredObject) {
        let name = &stored.object.name;
        match &stored.object.spec {
            Spec::Instance(instance) => self.set_labels(name, Some(instance.labels.clone())),
            Spec::Deleted(ObjectKind::Instance) => self.set_labels(name, None),
            Spec::Model(model) => {
                let key = (model.account.clone(), model.model.clone());
                self.model_labels.insert(key, model.labels.clone());
                self.place_all_weights();
            }
            Spec::Weights(weights) => {
                let published = PublishedWeights {
                    spec: weights.clone(),
                    name: name.clone(),
                    created: stored.created,
                };
                self.place_weights(&published);
                self.weights.insert(weights.manifest.root, published);
            }
            Spec::Deleted(ObjectKind::Weights) => {
                self.weights.retain(|_, published| published.name != *name);
                self.placement.remove_weights(name);
            }
            Spec::Selector(selector) => {
                self.placement.set_selector(name.clone(), selector.clone());
                self.dirty_selectors.insert(name.clone());
            }
            Spec::Deleted(ObjectKind::Selector) => self.placement.remove_selector(name),
            Spec::Account(_) | Spec::Service(_) | Spec::Deleted(_) => {}
        }
    }

    fn set_labels(&mut self, name: &ObjectName, labels: Option<Labels>) {
        let instance = InstanceId::new(name.as_str());
        match labels {
            Some(labels) => self.labels.insert(instance.clone(), labels),
            None => self.labels.remove(&instance),
        };
        self.place_instance(&instance);
    }

    /// Tells placement what is known of an instance.
    fn place_instance(&mut self, instance: &InstanceId) {
        let Some(agent) = self.agents.get(instance) else {
            return;
        };
        let report = &agent.report;
        if report.target_kind != TargetKind::Engine || self.is_leaving(instance, report) {
            return self.placement.remove_instance(instance);
        }
        let own = self.labels.get(instance).cloned().unwrap_or_default();
        let (hall, region) = (report.data_hall.as_str(), report.region.as_str());
        let labels = InstanceSpec::full_labels(&own, instance, hall, region);
        self.placement.set_instance(instance.clone(), labels);
    }

    fn is_leaving(&self, instance: &InstanceId, report: &AgentReport) -> bool {
        report.target.leaving || self.leaving.contains(instance)
    }

    fn place_all_weights(&mut self) {
        let published: Vec<RootDigest> = self.weights.keys().copied().collect();
        for root in published {
            if let Some(weights) = self.weights.remove(&root) {
                self.place_weights(&weights);
                self.weights.insert(root, weights);
            }
        }
    }

    fn place_weights(&mut self, published: &PublishedWeights) {
        let spec = &published.spec;
        let key = (spec.account.clone(), spec.model.clone());
        let mut labels = self.model_labels.get(&key).cloned().unwrap_or_default();
        for (label, value) in &spec.labels.0 {
            labels.set(label, value);
        }
        let placed = PlacedWeights {
            id: weights_id(spec),
            labels,
            created: published.created,
        };
        self.placement.set_weights(published.name.clone(), placed);
    }

    /// Takes the platform's list.
    pub(super) fn membership_changed(&mut self, list: MembershipList) {
        let touched: Vec<InstanceId> = self
            .leaving
            .symmetric_difference(&list.leaving)
            .cloned()
            .collect();
        self.leaving = list.leaving;
        for instance in touched {
            self.place_instance(&instance);
            self.update_route(&instance);
            self.dirty_agents.insert(instance);
        }
    }

    /// Takes an agent's report; it is answered when there is something to say.
    pub(super) fn agent_sync(
        &mut self,
        now: Millis,
        report: AgentReport,
        reply: Reply<AgentOrders>,
    ) {
        let instance = report.instance.clone();
        self.context.events.observe(report.stamp);
        let known = self.agents.remove(&instance);
        let restarted = known
            .as_ref()
            .is_some_and(|known| known.report.incarnation != report.incarnation);
        if restarted {
            self.planner.remove_agent(now, &instance);
        }
        let known = known.filter(|_| !restarted);
        let is_new = known.is_none();
        let (last_sent, whole, before) = match known {
            Some(known) => {
                release(known.held);
                (known.last_sent, known.whole, Some(known.report.target))
            }
            None => (None, BTreeSet::new(), None),
        };
        let place = Place {
            data_hall: report.data_hall.clone(),
            region: report.region.clone(),
        };
        self.planner.set_agent(instance.clone(), place);
        let whole_now = self.take_progress(now, &report);
        let changed = is_new || whole != whole_now || before.as_ref() != Some(&report.target);
        // An agent that missed its last orders gets them again.
        let last_sent = last_sent.filter(|sent| sent.fence == report.orders);
        let missed = last_sent.is_none();
        let held = Some(Held { reply, since: now });
        let record = AgentRecord {
            report,
            heard_at: now,
            held,
            last_sent,
            whole: whole_now,
        };
        self.agents.insert(instance.clone(), record);
        if changed {
            self.place_instance(&instance);
            self.update_route(&instance);
            if let Some(assignment) = self.assigned.get(&instance) {
                self.dirty_selectors.insert(assignment.selector.clone());
            }
        }
        if changed || missed {
            self.dirty_agents.insert(instance);
        }
    }

    fn take_progress(&mut self, now: Millis, report: &AgentReport) -> BTreeSet<RootDigest> {
        let mut whole = BTreeSet::new();
        for progress in &report.progress {
            self.planner
                .report(now, &report.instance, progress.root, &progress.have);
            for grant in &progress.failed_grants {
                self.planner
                    .grant_failed(now, &report.instance, progress.root, grant);
            }
            for (source, chunk) in &progress.corrupt {
                self.planner.distrust(now, source, progress.root, *chunk);
            }
            if progress.have.is_complete() {
                whole.insert(progress.root);
            }
        }
        whole
    }

    /// Takes an entry's report; it is answered when its view changes.
    pub(super) fn entry_sync(&mut self, now: Millis, report: EntryReport, reply: Reply<EntryView>) {
        let instance = report.instance.clone();
        self.context.events.observe(report.stamp);
        let known = self.entries.remove(&instance);
        let was_listed = known.as_ref().is_some_and(|known| !known.report.leaving);
        if was_listed == report.leaving || known.is_none() {
            self.entries_version += 1;
        }
        let entries_sent = known.and_then(|known| {
            release(known.held);
            known.entries_sent
        });
        // A restarted entry knows no routes and no list.
        let entries_sent = entries_sent.filter(|_| report.routes.is_some());
        let held = Some(Held { reply, since: now });
        self.entries.insert(
            instance,
            EntryRecord {
                report,
                heard_at: now,
                held,
                entries_sent,
            },
        );
    }

    /// Works off what changed, and answers reports. Nothing is answered once
    /// `lease_until` has passed.
    pub(super) fn step(&mut self, now: Millis, lease_until: Millis, state: &ControlState) {
        self.drop_silent(now);
        self.settle_placement();
        self.planner.plan(now);
        let changed = self.planner.take_changed();
        self.dirty_agents.extend(changed);
        self.settle_rollouts();
        let collecting = now < self.collecting_until;
        if !collecting {
            self.answer_agents(now, lease_until);
        }
        self.answer_entries(now, lease_until, state, collecting);
    }

    fn drop_silent(&mut self, now: Millis) {
        let timeout = self.settings.agent_timeout_ms;
        let silent = self
            .agents
            .iter()
            .filter(|(_, agent)| now.since(agent.heard_at) > timeout);
        let silent: Vec<InstanceId> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in silent {
            log::warn!(instance:% = instance; "agent is silent and counts as gone");
            self.agents.remove(&instance);
            self.loads.remove(&instance);
            self.planner.remove_agent(now, &instance);
            self.placement.remove_instance(&instance);
            self.update_route(&instance);
        }
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.heard_at) <= ENTRY_TIMEOUT_MS);
        if self.entries.len() != before {
            self.entries_version += 1;
        }
    }

    /// Moves assignments after changes of labels, selectors or agents.
    fn settle_placement(&mut self) {
        self.placement.settle();
        let touched = self.placement.take_touched();
        let mut roots = BTreeSet::new();
        for instance in touched {
            let next = self.placement.assigned(&instance);
            let before = self.assigned.remove(&instance);
            for assignment in before.iter().chain(&next) {
                roots.insert(assignment.weights.root);
                self.dirty_selectors.insert(assignment.selector.clone());
            }
            if let Some(next) = next {
                self.record_placement(&instance, &next, before.as_ref());
                self.assigned.insert(instance.clone(), next);
            }
            self.dirty_agents.insert(instance);
        }
        for root in roots {
            self.want(root);
        }
    }

    fn record_placement(
        &self,
        instance: &InstanceId,
        next: &Assignment,
        before: Option<&Assignment>,
    ) {
        let root = next.weights.root;
        if before.is_none_or(|before| before.weights.root != root) {
            let target = instance.clone();
            self.context
                .events
                .record(moleroad_events::prelude::EventKind::PlacementSet { root, target });
        }
    }

    /// Tells the planner who shall hold `root`.
    fn want(&mut self, root: RootDigest) {
        let Some(published) = self.weights.get(&root) else {
            return;
        };
        let holders = self
            .assigned
            .iter()
            .filter(|(_, assignment)| assignment.weights.root == root);
        let priority = holders
            .clone()
            .map(|(_, assignment)| assignment.priority)
            .max();
        let manifest = &published.spec.manifest;
        self.planner.set_wanted(WantedWeights {
            id: weights_id(&published.spec),
            total_bytes: manifest.total_bytes,
            chunk_bytes: manifest.chunk_bytes,
            chunk_count: manifest.chunk_count(),
            priority: priority.unwrap_or_default(),
            agents: holders.map(|(instance, _)| instance.clone()).collect(),
        });
    }

    /// Lets engines switch as far as the selectors allow.
    fn settle_rollouts(&mut self) {
        for name in std::mem::take(&mut self.dirty_selectors) {
            let Some(progress) = selector_progress(self, &name, &self.loads) else {
                continue;
            };
            let allowed = may_switch(
                progress.wanted,
                &progress.replicas,
                progress.max_unavailable_percent,
            );
            for instance in allowed {
                if self.loads.insert(instance.clone(), progress.wanted) != Some(progress.wanted) {
                    self.dirty_agents.insert(instance);
                }
            }
        }
    }

    fn answer_agents(&mut self, now: Millis, lease_until: Millis) {
        let dirty = std::mem::take(&mut self.dirty_agents);
        let expired = self.agents.iter().filter(|(_, agent)| {
            agent
                .held
                .as_ref()
                .is_some_and(|held| now.since(held.since) >= HOLD_MS)
        });
        let expired: BTreeSet<InstanceId> = expired.map(|(instance, _)| instance.clone()).collect();
        for instance in dirty.union(&expired) {
            let due = expired.contains(instance);
            if !self.answer_agent(instance, due, lease_until) {
                self.dirty_agents.insert(instance.clone());
            }
        }
    }

    /// Sends an agent its orders if they differ from those it has, or if `due`.
    /// False when the agent must be looked at again.
    fn answer_agent(&mut self, instance: &InstanceId, due: bool, lease_until: Millis) -> bool {
        let waiting = self
            .agents
            .get(instance)
            .is_some_and(|agent| agent.held.is_some());
        if !waiting {
            // Its next report finds it still dirty.
            return !self.agents.contains_key(instance);
        }
        let mut orders = self.orders(instance);
        let Some(agent) = self.agents.get_mut(instance) else {
            return true;
        };
        if let Some(last) = &agent.last_sent {
            if same_content(last, &orders) && !due {
                return true;
            }
            if same_content(last, &orders) {
                orders.fence = last.fence;
            }
        }
        if agent
            .last_sent
            .as_ref()
            .is_none_or(|last| last.fence != orders.fence)
        {
            self.sequence += 1;
            orders.fence = Fence {
                term: self.term,
                sequence: self.sequence,
            };
        }
        let Some(held) = agent.held.take() else {
            return true;
        };
        // Between deciding and sending the process may have been stopped.
        if self.context.clock.now() >= lease_until {
            let _ = held.reply.send(Err(CallError::NotLeader { leader: None }));
            return true;
        }
        agent.last_sent = Some(orders.clone());
        let _ = held.reply.send(Ok(orders));
        true
    }

    fn orders(&mut self, instance: &InstanceId) -> AgentOrders {
        let assignment = self.assigned.get(instance).cloned();
        let load = self.loads.get(instance).copied();
        let leaving = self.leaving.contains(instance);
        let stamp = self.context.events.stamp();
        let mut orders = orders_for(
            self,
            instance,
            assignment.as_ref(),
            load,
            self.context.cluster_key,
        );
        orders.stamp = stamp;
        orders.revision = self.revision;
        orders.leaving = leaving;
        orders.origin = self.settings.origin.address;
        orders
    }

    fn answer_entries(
        &mut self,
        now: Millis,
        lease_until: Millis,
        state: &ControlState,
        collecting: bool,
    ) {
        let listed = self.listed_entries();
        let (routes_version, entries_version) = (self.routes.version(), self.entries_version);
        for entry in self.entries.values_mut() {
            let Some(held) = &entry.held else { continue };
            let routes_news = !collecting && entry.report.routes != Some(routes_version);
            let list_news = entry
                .entries_sent
                .is_none_or(|(version, _)| version != entries_version);
            let news = entry.report.revision < state.revision() || routes_news || list_news;
            if !news && now.since(held.since) < ENTRY_HOLD_MS {
                continue;
            }
            let Some(held) = entry.held.take() else {
                continue;
            };
            if self.context.clock.now() >= lease_until {
                let _ = held.reply.send(Err(CallError::NotLeader { leader: None }));
                continue;
            }
            let list_due = entry
                .entries_sent
                .is_none_or(|(_, at)| now.since(at) >= ENTRIES_REFRESH_MS);
            let send_list = list_news || list_due;
            if send_list {
                entry.entries_sent = Some((entries_version, now));
            }
            let kinds = [ObjectKind::Account, ObjectKind::Service];
            let view = EntryView {
                stamp: self.context.events.stamp(),
                objects: state.changes_since(entry.report.revision, &kinds),
                routes: (!collecting).then(|| self.routes.changes_since(entry.report.routes)),
                entries: send_list.then(|| listed.clone()),
            };
            let _ = held.reply.send(Ok(view));
        }
    }

    fn listed_entries(&self) -> Vec<EntryAddress> {
        let listed = self.entries.values().filter(|entry| {
            !entry.report.leaving && !self.leaving.contains(&entry.report.instance)
        });
        let address = |entry: &EntryRecord| EntryAddress {
            instance: entry.report.instance.clone(),
            address: entry.report.http_address,
            data_hall: entry.report.data_hall.clone(),
            in_flight: entry.report.in_flight,
        };
        listed.map(address).collect()
    }

    /// Sets whether and how entries may use the target on `instance`.
    fn update_route(&mut self, instance: &InstanceId) {
        let route = self
            .agents
            .get(instance)
            .and_then(|agent| self.route_of(&agent.report));
        let withdrawn = route.is_none() && self.routes.get(instance).is_some();
        self.routes.set(instance, route);
        if withdrawn {
            let target = instance.clone();
            self.context
                .events
                .record(moleroad_events::prelude::EventKind::TargetWithdrawn { target });
        }
    }

    fn route_of(&self, report: &AgentReport) -> Option<TargetRoute> {
        if !report.target.healthy || self.is_leaving(&report.instance, report) {
            return None;
        }
        let serves = match &report.target_kind {
            TargetKind::PlainService(name) => Served::Service(name.clone()),
            TargetKind::Engine => Served::Weights(report.target.serving.clone()?),
        };
        Some(TargetRoute {
            instance: report.instance.clone(),
            data_hall: report.data_hall.clone(),
            address: report.http_address,
            incarnation: report.target.incarnation,
            serves,
        })
    }

    /// Whether some agent does not hold yet what it shall hold.
    pub(super) fn is_transferring(&self) -> bool {
        self.planner.is_transferring()
    }

    /// The manifest of `root`.
    pub(super) fn manifest(&self, root: RootDigest) -> Option<&Manifest> {
        self.weights
            .get(&root)
            .map(|published| &published.spec.manifest)
    }

    /// Replicas of each selector.
    pub(super) fn replica_counts(&self) -> Vec<ReplicaCounts> {
        Replicas(self).counts()
    }

    /// All daemons that reported, and the revision each works by.
    pub(super) fn daemons(&self, now: Millis) -> Vec<DaemonStatus> {
        let entries = self.entries.values().map(|entry| DaemonStatus {
            instance: entry.report.instance.clone(),
            role: "entry".into(),
            revision: entry.report.revision,
            silent_ms: now.since(entry.heard_at),
        });
        let agents = self.agents.values().map(|agent| DaemonStatus {
            instance: agent.report.instance.clone(),
            role: "agent".into(),
            revision: agent.report.revision,
            silent_ms: now.since(agent.heard_at),
        });
        entries.chain(agents).collect()
    }

    /// Where all daemons take calls.
    pub(super) fn directory(&self) -> Vec<DaemonAddress> {
        let entries = self
            .entries
            .values()
            .map(|e| (&e.report.instance, e.report.rpc_address));
        let agents = self
            .agents
            .values()
            .map(|a| (&a.report.instance, a.report.rpc_address));
        let all = entries.chain(agents);
        all.map(|(instance, rpc_address)| DaemonAddress {
            instance: instance.clone(),
            rpc_address,
        })
        .collect()
    }
}

/// Answers a report that was overtaken by the next one.
fn release<T>(held: Option<Held<T>>) {
    if let Some(held) = held {
        let _ = held.reply.send(Err(CallError::Refused(MoleroadError::new(
            ResultCode::Busy,
            "a later report took this one's place",
        ))));
    }
}

/// Identity of published weights.
pub(super) fn weights_id(spec: &WeightsSpec) -> WeightsId {
    WeightsId {
        account: spec.account.clone(),
        model: spec.model.clone(),
        version: spec.version.clone(),
        root: spec.manifest.root,
    }
}

/// Whether two orders ask for the same, whatever their rank and time.
fn same_content(left: &AgentOrders, right: &AgentOrders) -> bool {
    left.revision == right.revision
        && left.hold == right.hold
        && left.load == right.load
        && left.leaving == right.leaving
        && left.origin == right.origin
}

fn planner_settings(settings: &ControlSettings) -> PlannerSettings {
    let origin = &settings.origin;
    PlannerSettings {
        origin_bytes_per_second: origin.bytes_per_second,
        link_bytes_per_second: origin.link_bytes_per_second,
        control_latency_ms: CONTROL_LATENCY_MS,
        objective: match origin.objective {
            ObjectiveSetting::Time => Objective::Time,
            ObjectiveSetting::OriginBytes => Objective::OriginBytes,
        },
        extra_copies_percent: origin.extra_copies_percent,
        holder_wait_ms: origin.holder_wait_ms,
        plan: match origin.plan {
            PlanSetting::OriginOnly => PlanKind::OriginOnly,
            PlanSetting::Tree => PlanKind::Tree,
            PlanSetting::Swarm => PlanKind::Swarm,
        },
    }
}
