//! One daemon's view of the cluster: the committed state, the known daemons and
//! targets, and the leader.

use crate::cold_targets::ColdTargets;
use crate::control_state::{ConfigDocument, ControlState};
use crate::halls::KnownHalls;
use crate::interface::Interface;
use crate::named_versions::NamedVersions;
use crate::peer::{Catalog, CatalogModel, CatalogOrigin, LeaderHint, VersionAge};
use crate::places::ServiceSlots;
use crate::quarantine::Quarantine;
use crate::target_limits::TargetLimits;
use moleroad_config::prelude::{
    ConfigVersion, Configuration, ConfigurationError, Residency, RouteTable, Service, check,
};
use moleroad_directory::prelude::*;
use moleroad_dispatch::prelude::TargetBackoffs;
use moleroad_rollout::prelude::OldWeightsCutoff;
use moleroad_types::prelude::Millis;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Reciprocal of the part of a version's time limit that remains when requests stop
/// going to older weights. It covers the network delay and the target's queue. Engines
/// have no more time than a request may start in, so a larger margin only leaves them
/// idle while newer weights are still in transfer.
const VERSION_MARGIN_DIVISOR: u64 = 8;

/// Returns the time after the naming of a version at which requests stop going to older
/// ones, in milliseconds, where the version is due after `version_ms`.
pub fn older_version_cutoff_ms(version_ms: u64) -> u64 {
    version_ms - version_ms / VERSION_MARGIN_DIVISOR
}

/// One daemon's view of the cluster.
pub struct View {
    /// Committed state of the control group, as far as known.
    pub state: ControlState,
    /// Prefix of the digest of the current configuration; 0 without one.
    pub config_digest: u64,
    /// Current configuration, compiled for request lookup.
    pub table: Option<Arc<RouteTable>>,
    /// Services that the configuration lists no more and that still have requests, as they
    /// were last listed.
    pub former_services: HashMap<String, Arc<Service>>,
    /// Parts of the configuration that agents need.
    pub catalog: Catalog,
    /// Versions that were named, by model.
    pub named: BTreeMap<String, NamedVersions>,
    /// Versions that agents prefetch without knowing whether they are named, by model.
    pub prepared: BTreeMap<String, NamedVersions>,
    /// State of evacuated halls that is not part of the committed state.
    pub halls: KnownHalls,
    /// Targets and daemons.
    pub directory: Directory,
    /// Slots at the targets of each service.
    pub services: HashMap<String, ServiceSlots>,
    /// The record of this daemon that is sent to others.
    pub own: DaemonRecord,
    /// Whether the state of this agent's engine was read since the start of this
    /// process.
    pub engine_was_polled: bool,
    /// Requests per second that arrive at this daemon for dispatch.
    pub demand_per_s: f32,
    /// The last known leader of the control group.
    pub leader: Option<LeaderHint>,
    /// Targets to announce to other daemons, because they called this daemon or
    /// reported something in an answer, with the number of the announcement.
    pub pending_announcements: HashMap<TargetId, u64>,
    /// Number of announcements so far.
    pub announcement_count: u64,
    /// Which targets are cold.
    pub cold: ColdTargets,
    /// Rate limits that targets named.
    pub limits: TargetLimits,
    /// Targets that asked this daemon to back off.
    pub backoffs: TargetBackoffs,
    /// Requests that terminate targets.
    pub quarantine: Quarantine,
}

impl View {
    /// Creates a view that contains only this daemon.
    pub fn new(own: DaemonRecord) -> Self {
        Self {
            state: ControlState::default(),
            config_digest: 0,
            table: None,
            former_services: HashMap::new(),
            catalog: Catalog::default(),
            named: BTreeMap::new(),
            prepared: BTreeMap::new(),
            halls: KnownHalls::default(),
            directory: Directory::new(),
            services: HashMap::new(),
            own,
            engine_was_polled: false,
            demand_per_s: 0.0,
            leader: None,
            pending_announcements: HashMap::new(),
            announcement_count: 0,
            cold: ColdTargets::default(),
            limits: TargetLimits::default(),
            backoffs: TargetBackoffs::default(),
            quarantine: Quarantine::default(),
        }
    }

    /// Merges newer parts of `state`; returns true if anything changed. Times at which
    /// halls changed are merged separately, see [`View::merge_halls`].
    pub fn merge_state(
        &mut self,
        now: Millis,
        state: &ControlState,
        interface: &dyn Interface,
    ) -> bool {
        let before = self.state.config_version();
        if !self.state.merge(state) {
            return false;
        }
        for (model, version) in self.state.versions.clone() {
            self.name_version(now, &model, version, 0);
        }
        if self.state.config_version() > before {
            self.activate_configuration(interface);
        }
        true
    }

    /// Returns whether another daemon that reports this version and digest holds a
    /// different document under the version of this one.
    pub fn has_conflicting_document(&self, version: ConfigVersion, digest: u64) -> bool {
        let both_hold = digest != 0 && self.config_digest != 0;
        both_hold && version == self.state.config_version() && digest != self.config_digest
    }

    /// Publishes to agents the models of a state that may not be committed, so that they
    /// can prefetch weights. Requests are not routed by it.
    pub fn prepare_for(&mut self, now: Millis, state: &ControlState, interface: &dyn Interface) {
        let Some(document) = state
            .configuration
            .as_ref()
            .filter(|_| self.table.is_none())
        else {
            return;
        };
        match read_document(document, interface) {
            Ok(configuration) => {
                self.catalog = catalog_of(&RouteTable::compile(&configuration));
            }
            Err(error) => log::warn!(event = "configuration_unreadable"; "{error}"),
        }
        for (model, version) in &state.versions {
            let named = self.prepared.entry(model.clone()).or_default();
            named.learn(*version, now);
        }
    }

    fn activate_configuration(&mut self, interface: &dyn Interface) {
        let Some(document) = &self.state.configuration else {
            return;
        };
        self.config_digest = document.id().short_digest();
        let parsed = read_document(document, interface)
            .and_then(|configuration| check(&configuration).map(|()| configuration));
        match parsed {
            Ok(configuration) => {
                let table = RouteTable::compile(&configuration);
                warn_unknown_reading_speeds(&table);
                self.catalog = catalog_of(&table);
                log::info!(event = "configuration_in_force", version = document.version.0; "");
                let former = self.table.replace(Arc::new(table));
                self.keep_former_services(former.as_deref());
            }
            // It was validated before it was accepted.
            Err(error) => log::error!(event = "configuration_unreadable"; "{error}"),
        }
    }

    /// Keeps the services of the former configuration that have slots and are not listed
    /// any more.
    fn keep_former_services(&mut self, former: Option<&RouteTable>) {
        let listed = former.into_iter().flat_map(RouteTable::services);
        let listed = listed.map(|service| (service.name.clone(), service.clone()));
        self.former_services.extend(listed);
        self.drop_former_services();
    }

    /// Drops former services that are listed again or whose requests have ended.
    pub(crate) fn drop_former_services(&mut self) {
        let (table, slots) = (&self.table, &self.services);
        self.former_services.retain(|name, _| {
            let is_listed = |table: &Arc<RouteTable>| table.service(name).is_some();
            slots.contains_key(name) && !table.as_ref().is_some_and(is_listed)
        });
    }

    /// Returns the service with this name: the one that the configuration lists, or a
    /// former one that still has requests.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let listed = self.table.as_ref().and_then(|table| table.service(name));
        listed.or_else(|| self.former_services.get(name))
    }

    /// Applies the current configuration to waiting requests.
    pub fn refresh_residency(&mut self) {
        let Some(table) = &self.table else {
            return;
        };
        for slots in self.services.values_mut() {
            slots.refresh_residency(table);
        }
    }

    /// Returns the regions that may serve a request under the current configuration.
    pub fn residency(&self, accepted: &Residency) -> Residency {
        let table = self.table.as_ref();
        table.map_or_else(
            || accepted.clone(),
            |table| accepted.for_configuration(table),
        )
    }

    /// Records that `version` of `model` was named `age_ms` ago; returns true if that
    /// was unknown.
    pub fn name_version(&mut self, now: Millis, model: &str, version: u64, age_ms: u64) -> bool {
        let at = Millis(now.0.saturating_sub(age_ms));
        let known = self.named.entry(model.into()).or_default();
        if !known.learn(version, at) {
            return false;
        }
        let versions = &mut self.state.versions;
        let held = versions.entry(model.into()).or_default();
        *held = (*held).max(version);
        log::info!(event = "version_named", model = model, version = version, age_ms = age_ms; "");
        true
    }

    /// Returns the named versions and their ages, for another entry.
    pub fn named_ages(&self, now: Millis) -> BTreeMap<String, Vec<VersionAge>> {
        let aged = |(model, named): (&String, &NamedVersions)| (model.clone(), named.ages(now));
        self.named.iter().map(aged).collect()
    }

    /// Returns the versions to fetch and their ages, for an agent. Before any
    /// configuration is in effect, these are the versions to prefetch.
    pub fn version_ages(&self, now: Millis) -> BTreeMap<String, Vec<VersionAge>> {
        let known = if self.table.is_some() {
            &self.named
        } else {
            &self.prepared
        };
        let aged = |(model, named): (&String, &NamedVersions)| (model.clone(), named.ages(now));
        known.iter().map(aged).collect()
    }

    /// Replaces the known leader if `hint` has a newer term.
    pub fn update_leader(&mut self, hint: Option<LeaderHint>) {
        if let Some(hint) = hint
            && self.leader.is_none_or(|known| hint.term > known.term)
        {
            self.leader = Some(hint);
        }
    }

    /// Returns the lowest version that requests for `service` may start on: the newest
    /// named version whose time limit has passed.
    pub fn min_version(&self, now: Millis, service: &Service, version_ms: u64) -> Option<u64> {
        let model = service.models.first()?;
        let named = self.named.get(&model.name)?;
        named.due(now, older_version_cutoff_ms(version_ms))
    }

    /// Returns until when requests may start on `version` of the weights for `service`;
    /// `None` while no newer version is named.
    pub fn old_weights(
        &self,
        service: &Service,
        version: u64,
        version_ms: u64,
    ) -> Option<OldWeightsCutoff> {
        let model = service.models.first()?;
        let named = self.named.get(&model.name)?;
        let newer_named_at = named.superseded_at(version)?;
        Some(OldWeightsCutoff::new(newer_named_at, version_ms))
    }

    /// Returns the number of entries that share the targets.
    pub fn entry_count(&self, now: Millis) -> usize {
        self.directory.ready_entries(now).count().max(1)
    }
}

fn read_document(
    document: &ConfigDocument,
    interface: &dyn Interface,
) -> Result<Configuration, ConfigurationError> {
    interface.read_configuration(&document.bytes()?)
}

/// Warns of engines whose first events cannot be predicted because their configuration
/// does not state their reading speed.
fn warn_unknown_reading_speeds(table: &RouteTable) {
    let reads = |service: &Service| service.steps.is_some_and(|s| s.prompt_tokens_per_s > 0.0);
    let unknown = table
        .services()
        .filter(|service| !service.models.is_empty() && !reads(service));
    for service in unknown {
        log::warn!(event = "reading_speed_unknown", service = service.name.as_str(); "");
    }
}

fn catalog_of(table: &RouteTable) -> Catalog {
    let mut catalog = Catalog::default();
    for service in table.services() {
        if let Some(origin) = &service.origin {
            catalog.origins.push(CatalogOrigin {
                address: origin.address,
                hall: service.hall.clone(),
                link_kbps: (origin.link_mbps * 1_000.0) as u64,
                max_connections: service.max_connections,
            });
        }
        for model in &service.models {
            catalog.models.push(CatalogModel {
                service: service.name.clone(),
                model: model.name.clone(),
                layers: model.layers,
                pieces: model.pieces,
                piece_bytes: model.piece_bytes,
                usual_request_ms: service.steps.map_or(0, |steps| {
                    (steps.typical_output_tokens * steps.step_ms) as u64
                }),
            });
        }
    }
    catalog.origins.sort();
    catalog
        .models
        .sort_by(|a, b| (&a.service, &a.model).cmp(&(&b.service, &b.model)));
    catalog
}
