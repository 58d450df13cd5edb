//! Which targets named a limit, from what this daemon heard of them.

use crate::cold_targets::has_asked_agents;
use crate::settings::Settings;
use crate::view::View;
use moleroad_config::prelude::Service;
use moleroad_directory::prelude::*;
use moleroad_dispatch::prelude::{LimitedTarget, owner};
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The limits that hold, by their targets.
#[derive(Debug, Default)]
pub struct LimitMemory(HashMap<TargetId, RequestRate>);

impl LimitMemory {
    /// Remembers the limits that targets name, and says in the log what changed.
    pub(crate) fn note_targets(&mut self, directory: &Directory) {
        let mut holding = HashMap::new();
        for heard in directory.targets() {
            let record = &heard.record;
            let Some(rate) = record.limit.rate else {
                continue;
            };
            if self.0.get(&record.id) != Some(&rate) {
                log_limit(record);
            }
            holding.insert(record.id.clone(), rate);
        }
        for target in self.0.keys() {
            if !holding.contains_key(target) {
                log::info!(event = "target_not_limited", target:% = target; "");
            }
        }
        self.0 = holding;
    }
}

impl View {
    /// The limit that a target named, and who gives grants for it: the agent beside it
    /// where agents are asked, heard of or not, or else an entry.
    pub(crate) fn limited_target(
        &self,
        now: Millis,
        settings: &Settings,
        service: &Service,
        record: &TargetRecord,
        agent: Option<SocketAddr>,
    ) -> Option<LimitedTarget> {
        let rate = record.limit.rate?;
        let owner = if has_asked_agents(settings, service) {
            agent.unwrap_or_else(|| settings.peer_address_at(record.address.ip()))
        } else {
            self.owning_entry(now, &record.id)
                .unwrap_or_else(|| settings.peer_address())
        };
        Some(LimitedTarget { rate, owner })
    }

    /// Peer address of the entry that owns a target without an agent.
    fn owning_entry(&self, now: Millis, target: &TargetId) -> Option<SocketAddr> {
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
