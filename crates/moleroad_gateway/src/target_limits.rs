//! Rate limits that targets named, as reported to this daemon.

use crate::cold_targets::queries_agents;
use crate::settings::Settings;
use crate::view::View;
use moleroad_config::prelude::Service;
use moleroad_directory::prelude::*;
use moleroad_dispatch::prelude::{LimitedTarget, owner};
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Current limits by target.
#[derive(Debug, Default)]
pub struct TargetLimits(HashMap<TargetId, RequestRate>);

impl TargetLimits {
    /// Updates the limits from the directory and logs changes.
    pub(crate) fn update_targets(&mut self, directory: &Directory) {
        let mut current = HashMap::new();
        for observed in directory.targets() {
            let record = &observed.record;
            let Some(rate) = record.limit.rate else {
                continue;
            };
            if self.0.get(&record.id) != Some(&rate) {
                log_limit(record);
            }
            current.insert(record.id.clone(), rate);
        }
        for target in self.0.keys() {
            if !current.contains_key(target) {
                log::info!(event = "target_not_limited", target:% = target; "");
            }
        }
        self.0 = current;
    }
}

impl View {
    /// Returns the limit that a target named, and the daemon that issues grants for it.
    /// Where agents are queried, this is the agent of the target, at its expected address
    /// if it is not known yet; otherwise it is an entry.
    pub(crate) fn limited_target(
        &self,
        now: Millis,
        settings: &Settings,
        service: &Service,
        record: &TargetRecord,
        agent: Option<SocketAddr>,
    ) -> Option<LimitedTarget> {
        let rate = record.limit.rate?;
        let owner = if queries_agents(settings, service) {
            agent.unwrap_or_else(|| settings.peer_address_at(record.address.ip()))
        } else {
            self.owner_entry(now, &record.id)
                .unwrap_or_else(|| settings.peer_address())
        };
        Some(LimitedTarget { rate, owner })
    }

    /// Returns the peer address of the entry that owns a target without an agent.
    fn owner_entry(&self, now: Millis, target: &TargetId) -> Option<SocketAddr> {
        let ready = || self.directory.ready_entries(now);
        let names = ready().map(|entry| entry.instance.as_str());
        let name = owner(names, target.as_str())?;
        let entry = ready().find(|entry| entry.instance.as_str() == name)?;
        Some(entry.peer)
    }
}

fn log_limit(record: &TargetRecord) {
    log::info!(
        event = "target_limited",
        target:% = record.id,
        per_s = record.limit.rate.map_or(0.0, RequestRate::as_per_s),
        revision = record.limit.revision;
        ""
    );
}
