//! What one daemon believes: what is in force, who is there, who leads.

use crate::control_state::{ConfigDocument, ControlState};
use crate::interface::Interface;
use crate::peer::{Catalog, CatalogModel, CatalogOrigin, LeaderHint, VersionAge};
use crate::places::ServicePlaces;
use crate::settings::{RoleSetting, Settings};
use moleroad_config::prelude::{Configuration, ConfigurationError, RouteTable, Service, check};
use moleroad_directory::prelude::*;
use moleroad_directory::target::whole_version;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Age up to which an agent's report goes before the engine's own heartbeat,
/// in milliseconds.
const REPORT_CURRENT_MS: u64 = 3_000;
/// Part of a target's connections that entries share; the rest is left for
/// those that an entry has not yet noticed to be closed.
const CONNECTIONS_USED: f64 = 0.8;
/// Part of the time for a version that is left when requests stop going to
/// older weights: time on the way and in the target's queue.
const VERSION_MARGIN_PART: u64 = 5;

/// How much longer a step is than its bare time when many requests write.
const STEP_SLOWNESS: f64 = 1.1;
/// Most versions of a model whose times are remembered: older ones have long
/// been due.
const MOST_NAMED: usize = 8;

/// The versions of a model that were named, and when, as far as known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedVersions {
    times: BTreeMap<u64, Millis>,
}

impl NamedVersions {
    /// Learns that `version` was named at `at`; true if it is the newest.
    pub fn learn(&mut self, version: u64, at: Millis) -> bool {
        let is_newest = self.newest().is_none_or(|newest| version > newest);
        let known = self.times.entry(version).or_insert(at);
        *known = (*known).min(at);
        while self.times.len() > MOST_NAMED {
            self.times.pop_first();
        }
        is_newest
    }

    /// The newest version.
    pub fn newest(&self) -> Option<u64> {
        self.times.last_key_value().map(|(version, _)| *version)
    }

    /// The versions, from the lowest.
    pub fn versions(&self) -> impl Iterator<Item = u64> {
        self.times.keys().copied()
    }

    /// When the first version after `held` was named.
    pub fn waiting_since(&self, held: u64) -> Option<Millis> {
        let later = self.times.range(held + 1..);
        later.map(|(_, at)| *at).min()
    }

    /// The newest version that was named `age_ms` ago or earlier.
    pub fn due(&self, now: Millis, age_ms: u64) -> Option<u64> {
        let due = self
            .times
            .iter()
            .filter(|(_, at)| now.since(**at) >= age_ms);
        due.map(|(version, _)| *version).max()
    }

    /// All versions with their ages in milliseconds.
    pub fn ages(&self, now: Millis) -> Vec<VersionAge> {
        let aged = |(version, at): (&u64, &Millis)| VersionAge {
            version: *version,
            age_ms: now.since(*at),
        };
        self.times.iter().map(aged).collect()
    }
}

/// What one daemon believes.
pub struct View {
    /// What is in force.
    pub state: ControlState,
    /// The configuration in the form that requests are looked up in.
    pub table: Option<Arc<RouteTable>>,
    /// What agents need of the configuration.
    pub catalog: Catalog,
    /// Versions of models that were named.
    pub named: BTreeMap<String, NamedVersions>,
    /// Versions that agents prepare for, not known to be named.
    pub prepared: BTreeMap<String, NamedVersions>,
    /// Targets and daemons.
    pub directory: Directory,
    /// Places at the targets of each service.
    pub services: HashMap<String, ServicePlaces>,
    /// What this daemon tells of itself.
    pub own: DaemonRecord,
    /// Requests that this daemon has to place in a second.
    pub demand_per_s: f32,
    /// The leader of the control group, as believed.
    pub leader: Option<LeaderHint>,
    /// Targets that called this daemon, with the number of the call.
    pub called_here: HashMap<TargetId, u64>,
    /// Number of calls of targets so far.
    pub calls: u64,
}

impl View {
    /// Knows only this daemon.
    pub fn new(own: DaemonRecord) -> Self {
        Self {
            state: ControlState::default(),
            table: None,
            catalog: Catalog::default(),
            named: BTreeMap::new(),
            prepared: BTreeMap::new(),
            directory: Directory::new(),
            services: HashMap::new(),
            own,
            demand_per_s: 0.0,
            leader: None,
            called_here: HashMap::new(),
            calls: 0,
        }
    }

    /// Takes what is newer in `state`; true if anything was.
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
    pub fn take_leader(&mut self, hint: Option<LeaderHint>) {
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
        named.due(now, version_ms - version_ms / VERSION_MARGIN_PART)
    }

    /// Number of entries that share the targets.
    pub fn entry_count(&self, now: Millis) -> usize {
        self.directory.ready_entries(now).count().max(1)
    }

    /// Brings the candidates of every service up to date.
    pub fn refresh_candidates(&mut self, now: Millis, settings: &Settings) {
        if settings.role != RoleSetting::Entry {
            return;
        }
        let Some(table) = self.table.clone() else {
            return;
        };
        let ready: Vec<&DaemonRecord> = self.directory.ready_entries(now).collect();
        let entries: Vec<EntryDemand<'_>> = ready
            .iter()
            .map(|entry| EntryDemand {
                entry: entry.instance.as_str(),
                requests_per_s: f64::from(entry.requests_per_s),
            })
            .collect();
        let agents = self.directory.agents();
        let mut lists: HashMap<&str, Vec<Candidate>> = HashMap::new();
        for service in table.services() {
            lists.entry(&service.name).or_default();
        }
        for heard in self.directory.targets() {
            let record = &heard.record;
            let Some(service) = table.service(&record.service) else {
                continue;
            };
            if record.life != TargetLife::Ready {
                continue;
            }
            let agent = agents.get(&record.address).copied();
            let report = agent.and_then(|agent| current_report(now, agent));
            if let Some(mut candidate) = candidate(settings, service, record, report, &entries) {
                candidate.agent = agent.map(|agent| agent.record.peer);
                lists.entry(&service.name).or_default().push(candidate);
            }
        }
        for (name, candidates) in lists {
            let bounds = &settings.bounds;
            let places = self
                .services
                .entry(name.to_string())
                .or_insert_with(|| ServicePlaces::new(bounds));
            let steps = table.service(name).and_then(|service| service.steps);
            places.targets.reading =
                steps
                    .filter(|steps| steps.prompt_tokens_per_s > 0.0)
                    .map(|steps| ReadingSpeed {
                        tokens_per_ms: steps.prompt_tokens_per_s / 1_000.0,
                        usual_prompt: steps.usual_prompt,
                        steps_ms: steps.step_ms
                            * steps.steps_per_pass.max(1) as f64
                            * STEP_SLOWNESS,
                        tokens_per_pass: steps.tokens_per_pass as f64,
                    });
            places.targets.set(candidates);
        }
        self.services
            .retain(|name, places| table.service(name).is_some() || !places.is_idle());
    }
}

fn candidate(
    settings: &Settings,
    service: &Service,
    record: &TargetRecord,
    report: Option<&EngineReport>,
    entries: &[EntryDemand<'_>],
) -> Option<Candidate> {
    let version = match service.models.first() {
        None => None,
        Some(model) => {
            let holdings = match report {
                Some(report) => &report.holdings,
                None => record.holdings.as_ref()?,
            };
            Some(whole_version(holdings, &model.name, model.layers)?)
        }
    };
    let slots = record.slots.max(1);
    let count = entries.len().max(1) as f64;
    let connections = f64::from(service.max_connections) * CONNECTIONS_USED / count;
    let most_own = if service.max_connections == 0 {
        slots
    } else {
        (connections as u32).clamp(1, slots)
    };
    let distance = if record.hall == settings.hall {
        Distance::SameHall
    } else if settings.region_of(&record.hall) == settings.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    };
    let pace = report.map_or(1.0, |report| f64::from(report.pace));
    let cold = if record.cold_left_ms > 0 { 1.0 } else { 0.0 };
    Some(Candidate {
        id: record.id.clone(),
        address: record.address,
        slots,
        most_own,
        share: share(&settings.instance, entries, record.id.as_str(), slots),
        distance,
        version,
        switching: report.is_some_and(|report| report.switching),
        slowness: pace + cold,
        agent: None,
    })
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

fn current_report(now: Millis, agent: &Heard<DaemonRecord>) -> Option<&EngineReport> {
    let is_current = now.since(agent.at) < REPORT_CURRENT_MS;
    agent.record.report.as_ref().filter(|_| is_current)
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
