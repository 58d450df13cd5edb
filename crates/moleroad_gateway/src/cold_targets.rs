//! Which targets count as cold, from the state reported to this daemon. A cold target
//! started recently and takes fewer requests per second than usual.

use crate::candidates::reading_speed;
use crate::experiments::Mechanism;
use crate::settings::Settings;
use crate::view::View;
use moleroad_config::prelude::{ColdStart, RouteTable, Service};
use moleroad_directory::prelude::*;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// When each target was first seen, and which targets are believed to be cold.
#[derive(Debug, Default)]
pub struct ColdTargets {
    started_at: Option<Millis>,
    first_heard: HashMap<TargetId, Millis>,
    believed: HashMap<TargetId, ColdSource>,
}

impl ColdTargets {
    /// Adds the targets of the directory and removes all others.
    pub fn update_targets(&mut self, now: Millis, directory: &Directory) {
        self.started_at.get_or_insert(now);
        for observed in directory.targets() {
            let id = &observed.record.id;
            if !self.first_heard.contains_key(id) {
                self.first_heard.insert(id.clone(), now);
            }
        }
        self.first_heard
            .retain(|id, _| directory.target(id).is_some());
        self.believed.retain(|id, _| directory.target(id).is_some());
    }

    fn first_heard(&self, id: &TargetId) -> Millis {
        self.first_heard.get(id).copied().unwrap_or_default()
    }

    /// Logs when a target becomes cold or stops being cold.
    fn update_believed(
        &mut self,
        now: Millis,
        observed: &Observed<TargetRecord>,
        cold: &ColdTarget,
    ) {
        let id = &observed.record.id;
        // The assumption that a newly seen target is cold is not logged.
        let is_cold = cold.until > now && cold.source != ColdSource::FirstHeard;
        let known = self.believed.get(id).copied();
        if is_cold == known.is_some() {
            return;
        }
        if is_cold {
            self.believed.insert(id.clone(), cold.source);
        } else {
            self.believed.remove(id);
        }
        log::info!(
            event = if is_cold { "target_cold" } else { "target_not_cold" },
            target:% = id,
            source = known.unwrap_or(cold.source).name(),
            age_ms = now.since(observed.last_seen),
            left_ms = cold.until.since(now);
            ""
        );
    }
}

/// Returns whether the targets of the service have agents that are queried. Engines do,
/// provided that their reading speed is known.
pub(crate) fn queries_agents(settings: &Settings, service: &Service) -> bool {
    let require_queries = settings.experiments.is_enabled(Mechanism::AskedAgents);
    !service.models.is_empty() && reading_speed(service).is_some() && require_queries
}

/// Returns the limit on cold targets of the service, and whether it is enforced with
/// grants; `None` when it is not enforced.
fn cold_limit(settings: &Settings, service: &Service) -> Option<(ColdStart, bool)> {
    let start = service.cold_start?;
    let has = |mechanism| settings.experiments.is_enabled(mechanism);
    let requires_grant = queries_agents(settings, service) && has(Mechanism::ColdGrants);
    let is_enforced = requires_grant || has(Mechanism::ColdDivision);
    is_enforced.then_some((start, requires_grant))
}

impl View {
    /// Returns the rate limits of targets while they are cold, for services that have
    /// one.
    pub(crate) fn cold_targets(
        &mut self,
        now: Millis,
        settings: &Settings,
        table: &RouteTable,
    ) -> HashMap<TargetId, Arc<ColdTarget>> {
        let former = self.former_services.values();
        let mut services = table.services().chain(former);
        if services.all(|s| cold_limit(settings, s).is_none()) {
            return HashMap::new();
        }
        self.cold.update_targets(now, &self.directory);
        let ready = self.directory.ready_entries(now);
        let entries: Vec<&str> = ready.map(|entry| entry.instance.as_str()).collect();
        let mut cold_targets = HashMap::new();
        for observed in self.directory.targets() {
            let id = &observed.record.id;
            let Some((start, requires_grant)) = self
                .service(&observed.record.service)
                .and_then(|service| cold_limit(settings, service))
            else {
                continue;
            };
            let cold = ColdTarget {
                requires_grant,
                ..self.cold_target(settings, start, observed)
            };
            let cold = cold.with_quota(&settings.instance, &entries, id.as_str());
            cold_targets.insert(id.clone(), Arc::new(cold));
        }
        for observed in self.directory.targets() {
            if let Some(cold) = cold_targets.get(&observed.record.id) {
                self.cold.update_believed(now, observed, cold);
            }
        }
        cold_targets
    }

    fn cold_target(
        &self,
        settings: &Settings,
        start: ColdStart,
        observed: &Observed<TargetRecord>,
    ) -> ColdTarget {
        let id = &observed.record.id;
        let first_heard = self.cold.first_heard(id);
        let evidence = ColdEvidence {
            cold_duration_ms: start.cold_duration_ms,
            first_heard,
            last_heartbeat: observed.last_seen,
            left_ms: observed.record.cold_left_ms,
            restored: self.restored_at(&observed.record.hall),
        };
        let (until, source) = evidence.until();
        let bounds = &settings.bounds;
        let (overshoot, slack) = (bounds.cold_overshoot, bounds.cold_slack);
        ColdTarget {
            bound: RateBound::new(start.requests_per_s, overshoot, slack),
            until,
            source,
            reported_until: evidence.reported_until(),
            cold_duration_ms: start.cold_duration_ms,
            requires_grant: false,
            quota: 0,
            quota_from: quota_usable_from(self.cold.started_at.unwrap_or_default(), first_heard),
        }
    }
}
