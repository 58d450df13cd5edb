//! The targets that are eligible for requests, derived from the state of targets,
//! agents and entries.

use crate::experiments::Mechanism;
use crate::places::ServiceSlots;
use crate::settings::{RoleSetting, Settings};
use crate::view::View;
use moleroad_config::prelude::{RouteTable, Service};
use moleroad_directory::prelude::*;
use moleroad_directory::target::complete_version;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{Millis, Region};
use std::collections::HashMap;
use std::sync::Arc;

/// Age up to which an agent's report takes precedence over the engine's own heartbeat,
/// in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 3_000;
/// Fraction of a target's connections that entries share. The remainder covers
/// connections that an entry has not yet noticed to be closed.
const SHARED_CONNECTIONS_FRACTION: f64 = 0.8;
/// Factor by which a step is longer than its nominal time when many requests are
/// generating.
const STEP_OVERHEAD: f64 = 1.1;

impl View {
    /// Rebuilds the candidates of every service.
    pub fn refresh_candidates(&mut self, now: Millis, settings: &Settings) {
        if settings.role != RoleSetting::Entry {
            return;
        }
        let Some(table) = self.table.clone() else {
            return;
        };
        let cold_targets = self.cold_targets(now, settings, &table);
        self.limits.update_targets(&self.directory);
        let entries = || self.directory.ready_entries(now);
        let demands = entries().map(|entry| EntryDemand {
            entry: entry.instance.as_str(),
            requests_per_s: f64::from(entry.requests_per_s),
        });
        let shares = SlotShares::new(&settings.instance, demands);
        let entries = entries().count();
        let agents = self.directory.agents_by_engine();
        let mut lists: HashMap<&str, Vec<Candidate>> = HashMap::new();
        for service in table.services() {
            lists.entry(&service.name).or_default();
        }
        for name in self.former_services.keys() {
            lists.entry(name).or_default();
        }
        for observed in self.directory.targets() {
            let record = &observed.record;
            let Some(service) = self.service(&record.service) else {
                continue;
            };
            if self.directory.lifecycle(observed) != TargetLifecycle::Ready {
                continue;
            }
            let agent = agents.get(&record.address).copied();
            let report = agent.and_then(|agent| current_report(now, agent));
            let evacuated = self.is_evacuated(&record.hall);
            let candidate = candidate(
                settings, service, record, report, entries, &shares, evacuated,
            );
            if let Some(mut candidate) = candidate {
                candidate.agent = agent.map(|agent| agent.record.peer);
                candidate.cold = cold_targets.get(&record.id).cloned();
                let limit = self.limited_target(now, settings, service, record, candidate.agent);
                candidate.limit = limit.map(Arc::new);
                candidate.backoff_until = self.backoffs.until(now, &Responder::of(record));
                if self.needs_cold_grant(now, &service.name, &candidate) {
                    // Other entries may already know its agent.
                    let agent = settings.peer_address_at(record.address.ip());
                    candidate.agent.get_or_insert(agent);
                }
                // Where cold targets have a rate limit, the choice already takes their
                // cold state into account.
                if candidate.cold.is_none() && record.cold_left_ms > 0 {
                    candidate.slowness += COLD_SLOWNESS;
                }
                lists.entry(&service.name).or_default().push(candidate);
            }
        }
        let lists: Vec<_> = lists
            .into_iter()
            .map(|(name, candidates)| {
                let prefill = self
                    .service(name)
                    .and_then(|service| reading_speed(service));
                (name.to_string(), candidates, prefill)
            })
            .collect();
        for (name, candidates, prefill) in lists {
            let bounds = &settings.bounds;
            let slots = self
                .services
                .entry(name)
                .or_insert_with(|| ServiceSlots::new(bounds));
            slots.targets.prefill = prefill;
            slots.targets.ignores_failures = !settings.experiments.is_enabled(Mechanism::Avoidance);
            slots.targets.set(candidates);
        }
        self.update_arrivals(now, &table);
        self.services
            .retain(|name, slots| table.service(name).is_some() || !slots.is_idle());
        self.drop_former_services();
    }

    /// Returns whether requests may currently go to the target only with a grant.
    fn needs_cold_grant(&self, now: Millis, service: &str, candidate: &Candidate) -> bool {
        let cold = candidate.cold.as_deref();
        let Some(cold) = cold.filter(|cold| cold.requires_grant) else {
            return false;
        };
        let slots = self.services.get(service);
        slots.map_or(cold.until > now, |slots| {
            slots.targets.cold_until(now, candidate).is_some()
        })
    }

    /// Records the progress of weights that are being transferred to engines.
    fn update_arrivals(&mut self, now: Millis, table: &RouteTable) {
        let origins = self.catalog.origins.iter();
        let fastest_kbps = origins.map(|origin| origin.link_kbps).max().unwrap_or(0);
        for service in table.services() {
            let Some(model) = service.models.first() else {
                continue;
            };
            let named = self.named.get(&model.name).and_then(|named| named.newest());
            let held = self.max_pieces_held(&service.name, &model.name, named.unwrap_or(0));
            if let Some(slots) = self.services.get_mut(&service.name) {
                slots.arrival.note(now, held, model.pieces);
                let bits = model.piece_bytes as f64 * 8.0;
                slots.piece_ms = bits / (fastest_kbps as f64).max(1.0);
            }
        }
    }

    /// Returns the largest number of pieces of version `min_version` or later that an
    /// agent of the service holds, ignoring agents in evacuated halls.
    fn max_pieces_held(&self, service: &str, model: &str, min_version: u64) -> u32 {
        let daemons = self.directory.daemons().map(|observed| &observed.record);
        let agents = daemons.filter(|record| {
            record.service.as_deref() == Some(service) && !self.is_evacuated(&record.hall)
        });
        let maps = agents.flat_map(|agent| &agent.pieces);
        let matching = maps.filter(|map| map.model == model && map.version >= min_version);
        matching.map(PieceMap::count).max().unwrap_or(0)
    }
}

/// Returns how fast engines of the service read prompts; `None` when that is unknown.
pub(crate) fn reading_speed(service: &Service) -> Option<PrefillSpeed> {
    let steps = service.steps?;
    (steps.prompt_tokens_per_s > 0.0).then(|| PrefillSpeed {
        tokens_per_ms: steps.prompt_tokens_per_s / 1_000.0,
        typical_prompt_tokens: steps.typical_prompt_tokens,
        steps_ms: steps.step_ms * steps.steps_per_pass.max(1) as f64 * STEP_OVERHEAD,
        tokens_per_pass: steps.tokens_per_pass as f64,
    })
}

fn candidate(
    settings: &Settings,
    service: &Service,
    record: &TargetRecord,
    report: Option<&EngineReport>,
    entries: usize,
    shares: &SlotShares,
    evacuated: bool,
) -> Option<Candidate> {
    let version = match service.models.first() {
        None => None,
        Some(model) => {
            let holdings = match report {
                Some(report) => &report.holdings,
                None => record.holdings.as_ref()?,
            };
            Some(complete_version(holdings, &model.name, model.layers)?)
        }
    };
    let slots = record.slots.max(1);
    let count = entries.max(1) as f64;
    let connections = f64::from(service.max_connections) * SHARED_CONNECTIONS_FRACTION / count;
    let max_own = if service.max_connections == 0 {
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
    let pace_report = report.filter(|_| settings.experiments.is_enabled(Mechanism::Slowness));
    let slowness = pace_report.map_or(1.0, |report| f64::from(report.pace));
    Some(Candidate {
        id: record.id.clone(),
        address: record.address,
        slots,
        max_own,
        share: if settings.experiments.is_enabled(Mechanism::SharedPlaces) {
            shares.of(record.id.as_str(), slots)
        } else {
            slots
        },
        distance,
        region: Region::new(settings.region_of(&record.hall)),
        evacuated,
        version,
        switching: report.is_some_and(|report| report.switching),
        slowness,
        agent: None,
        cold: None,
        limit: None,
        granted_until: None,
        backoff_until: None,
    })
}

fn current_report(now: Millis, agent: &Observed<DaemonRecord>) -> Option<&EngineReport> {
    let is_current = now.since(agent.last_seen) < REPORT_MAX_AGE_MS;
    agent.record.report.as_ref().filter(|_| is_current)
}
