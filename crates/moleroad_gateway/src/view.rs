//! What one daemon believes: what is in force, who is there, who leads.

use crate::cold_targets::ColdMemory;
use crate::control_state::{ConfigDocument, ControlState};
use crate::halls::KnownHalls;
use crate::interface::Interface;
use crate::named_versions::NamedVersions;
use crate::peer::{Catalog, CatalogModel, CatalogOrigin, LeaderHint, VersionAge};
use crate::places::ServicePlaces;
use crate::quarantine::Quarantine;
use crate::target_limits::LimitMemory;
use moleroad_config::prelude::{
    ConfigVersion, Configuration, ConfigurationError, Residency, RouteTable, Service, check,
};
use moleroad_directory::prelude::*;
use moleroad_dispatch::prelude::Rests;
use moleroad_rollout::prelude::OldWeights;
use moleroad_types::prelude::Millis;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Part of the time for a version that is left when requests stop going to
/// older weights: time on the way and in the target's queue. Engines are given
/// no more time than a request may begin in, so a larger part only leaves them
/// idle while newer weights are still on their way.
const VERSION_MARGIN_PART: u64 = 8;

/// Time from the naming of a version until requests no longer go to older ones,
/// in milliseconds, where it is due after `version_ms`.
pub fn older_version_cutoff_ms(version_ms: u64) -> u64 {
    version_ms - version_ms / VERSION_MARGIN_PART
}

/// What one daemon believes.
pub struct View {
    /// What is in force.
    pub state: ControlState,
    /// Begin of the digest of the configuration in force; 0 without one.
    pub config_digest: u64,
    /// The configuration in the form that requests are looked up in.
    pub table: Option<Arc<RouteTable>>,
    /// What agents need of the configuration.
    pub catalog: Catalog,
    /// Versions of models that were named.
    pub named: BTreeMap<String, NamedVersions>,
    /// Versions that agents prepare for, not known to be named.
    pub prepared: BTreeMap<String, NamedVersions>,
    /// What is known of evacuated halls beside their states.
    pub halls: KnownHalls,
    /// Targets and daemons.
    pub directory: Directory,
    /// Places at the targets of each service.
    pub services: HashMap<String, ServicePlaces>,
    /// What this daemon tells of itself.
    pub own: DaemonRecord,
    /// Whether the engine beside this agent was read in this life.
    pub engine_was_polled: bool,
    /// Requests that this daemon has to place in a second.
    pub demand_per_s: f32,
    /// The leader of the control group, as believed.
    pub leader: Option<LeaderHint>,
    /// Targets of which this daemon is to tell others, since they called it or told
    /// it something in an answer, with the number of the word.
    pub to_tell: HashMap<TargetId, u64>,
    /// Number of such words so far.
    pub calls: u64,
    /// Which targets are cold.
    pub cold: ColdMemory,
    /// Which targets name a limit.
    pub limits: LimitMemory,
    /// Targets that asked this daemon for rest.
    pub rests: Rests,
    /// Requests that end targets.
    pub quarantine: Quarantine,
}

impl View {
    /// Knows only this daemon.
    pub fn new(own: DaemonRecord) -> Self {
        Self {
            state: ControlState::default(),
            config_digest: 0,
            table: None,
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
            to_tell: HashMap::new(),
            calls: 0,
            cold: ColdMemory::default(),
            limits: LimitMemory::default(),
            rests: Rests::default(),
            quarantine: Quarantine::default(),
        }
    }

    /// Takes what is newer in `state`; true if anything was. When halls changed
    /// is learned apart: see [`View::learn_halls`].
    pub fn take_state(
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
            self.put_in_force(interface);
        }
        true
    }

    /// Whether another daemon that tells this of its configuration holds another document
    /// than this one under the same version.
    pub fn has_conflicting_document(&self, version: ConfigVersion, digest: u64) -> bool {
        let both_hold = digest != 0 && self.config_digest != 0;
        both_hold && version == self.state.config_version() && digest != self.config_digest
    }

    /// Tells agents of the models of a state that is not known to be in force,
    /// so that they fetch weights meanwhile; requests do not go by it.
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

    fn put_in_force(&mut self, interface: &dyn Interface) {
        let Some(document) = &self.state.configuration else {
            return;
        };
        self.config_digest = document.id().short_digest();
        let parsed = read_document(document, interface)
            .and_then(|configuration| check(&configuration).map(|()| configuration));
        match parsed {
            Ok(configuration) => {
                let table = RouteTable::compile(&configuration);
                note_unknown_speeds(&table);
                self.catalog = catalog_of(&table);
                self.table = Some(Arc::new(table));
                log::info!(event = "configuration_in_force", version = document.version.0; "");
            }
            // It was checked before it was accepted.
            Err(error) => log::error!(event = "configuration_unreadable"; "{error}"),
        }
    }

    /// Brings requests that wait under the configuration that is in force.
    pub fn renew_residency(&mut self) {
        let Some(table) = &self.table else {
            return;
        };
        for places in self.services.values_mut() {
            places.renew_residency(table);
        }
    }

    /// Where a request may be served by the configuration that is in force.
    pub fn residency(&self, accepted: &Residency) -> Residency {
        let table = self.table.as_ref();
        table.map_or_else(|| accepted.clone(), |table| accepted.under(table))
    }

    /// Learns that `version` of `model` was named `age_ms` ago; true if that
    /// is news.
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

    /// Versions that were named and their ages, for another entry.
    pub fn named_ages(&self, now: Millis) -> BTreeMap<String, Vec<VersionAge>> {
        let aged = |(model, named): (&String, &NamedVersions)| (model.clone(), named.ages(now));
        self.named.iter().map(aged).collect()
    }

    /// Versions to bring and their ages, for an agent. Before anything is in
    /// force, agents hear of what may be.
    pub fn version_ages(&self, now: Millis) -> BTreeMap<String, Vec<VersionAge>> {
        let known = if self.table.is_some() {
            &self.named
        } else {
            &self.prepared
        };
        let aged = |(model, named): (&String, &NamedVersions)| (model.clone(), named.ages(now));
        known.iter().map(aged).collect()
    }

    /// Takes a belief about the leader if it is newer.
    pub fn update_leader(&mut self, hint: Option<LeaderHint>) {
        if let Some(hint) = hint
            && self.leader.is_none_or(|known| hint.term > known.term)
        {
            self.leader = Some(hint);
        }
    }

    /// The least version that requests for `service` may begin on: the one
    /// that was named, once its time is over.
    pub fn least_version(&self, now: Millis, service: &Service, version_ms: u64) -> Option<u64> {
        let model = service.models.first()?;
        let named = self.named.get(&model.name)?;
        named.due(now, older_version_cutoff_ms(version_ms))
    }

    /// Until when requests may begin on `version` of the weights for `service`;
    /// `None` while no newer one is named.
    pub fn old_weights(
        &self,
        service: &Service,
        version: u64,
        version_ms: u64,
    ) -> Option<OldWeights> {
        let model = service.models.first()?;
        let named = self.named.get(&model.name)?;
        let newer_named_at = named.superseded_at(version)?;
        Some(OldWeights::new(newer_named_at, version_ms))
    }

    /// Number of entries that share the targets.
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

/// Says which engines' first events cannot be predicted, since their
/// configuration does not tell how fast they read.
fn note_unknown_speeds(table: &RouteTable) {
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
                usual_request_ms: service
                    .steps
                    .map_or(0, |steps| (steps.usual_answer * steps.step_ms) as u64),
            });
        }
    }
    catalog.origins.sort();
    catalog
        .models
        .sort_by(|a, b| (&a.service, &a.model).cmp(&(&b.service, &b.model)));
    catalog
}
