//! Which targets count as cold, from what this daemon heard of them.

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

/// When targets were first heard of, and which are believed to be cold.
#[derive(Debug, Default)]
pub struct ColdMemory {
    began: Option<Millis>,
    first_heard: HashMap<TargetId, Millis>,
    believed: HashMap<TargetId, ColdSource>,
}

impl ColdMemory {
    /// Remembers the targets of the directory, and forgets others.
    pub fn note_targets(&mut self, now: Millis, directory: &Directory) {
        self.began.get_or_insert(now);
        for heard in directory.targets() {
            let id = &heard.record.id;
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

    /// Says so in the log when a target turns cold or is cold no longer.
    fn note_belief(&mut self, now: Millis, heard: &Observed<TargetRecord>, cold: &ColdTarget) {
        let id = &heard.record.id;
        // What is only assumed of targets that are new here is no news.
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
            age_ms = now.since(heard.at),
            left_ms = cold.until.since(now);
            ""
        );
    }
}

/// Whether the targets of the service have agents beside them that are asked: engines
/// do, where the choice goes by how fast prompts are read.
pub(crate) fn has_asked_agents(settings: &Settings, service: &Service) -> bool {
    let require_queries = settings.experiments.has(Mechanism::AskedAgents);
    !service.models.is_empty() && reading_speed(service).is_some() && require_queries
}

/// Whether a bound on cold targets of the service is kept, and whether by grants.
fn way(settings: &Settings, service: &Service) -> Option<(ColdStart, bool)> {
    let start = service.cold_start?;
    let has = |mechanism| settings.experiments.has(mechanism);
    let requires_grant = has_asked_agents(settings, service) && has(Mechanism::ColdGrants);
    let is_kept = requires_grant || has(Mechanism::ColdDivision);
    is_kept.then_some((start, requires_grant))
}

impl View {
    /// The bounds on targets while they are cold, where their services have
    /// any.
    pub(crate) fn cold_targets(
        &mut self,
        now: Millis,
        settings: &Settings,
        table: &RouteTable,
    ) -> HashMap<TargetId, Arc<ColdTarget>> {
        if table.services().all(|s| way(settings, s).is_none()) {
            return HashMap::new();
        }
        self.cold.note_targets(now, &self.directory);
        let ready = self.directory.ready_entries(now);
        let entries: Vec<&str> = ready.map(|entry| entry.instance.as_str()).collect();
        let mut cold_targets = HashMap::new();
        for heard in self.directory.targets() {
            let id = &heard.record.id;
            let Some((start, requires_grant)) = table
                .service(&heard.record.service)
                .and_then(|service| way(settings, service))
            else {
                continue;
            };
            let cold = ColdTarget {
                requires_grant,
                ..self.cold_target(settings, start, heard)
            };
            let cold = cold.with_quota(&settings.instance, &entries, id.as_str());
            cold_targets.insert(id.clone(), Arc::new(cold));
        }
        for heard in self.directory.targets() {
            if let Some(cold) = cold_targets.get(&heard.record.id) {
                self.cold.note_belief(now, heard, cold);
            }
        }
        cold_targets
    }

    fn cold_target(
        &self,
        settings: &Settings,
        start: ColdStart,
        heard: &Observed<TargetRecord>,
    ) -> ColdTarget {
        let id = &heard.record.id;
        let first_heard = self.cold.first_heard(id);
        let news = ColdEvidence {
            lasts_ms: start.lasts_ms,
            first_heard,
            heard: heard.at,
            left_ms: heard.record.cold_left_ms,
            restored: self.restored_at(&heard.record.hall),
        };
        let (until, source) = news.until();
        let bounds = &settings.bounds;
        let (overshoot, slack) = (bounds.cold_overshoot, bounds.cold_slack);
        ColdTarget {
            bound: RateBound::new(start.requests_per_s, overshoot, slack),
            until,
            source,
            said_until: news.said_until(),
            lasts_ms: start.lasts_ms,
            requires_grant: false,
            part: 0,
            quota_from: quota_usable_from(self.cold.began.unwrap_or_default(), first_heard),
        }
    }
}
