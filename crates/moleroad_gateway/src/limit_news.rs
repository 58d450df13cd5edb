//! Which targets named a limit, from what this daemon heard of them.

use crate::view::View;
use moleroad_directory::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::HashMap;

/// A limit that holds, as this daemon knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownLimit {
    /// Requests that the target takes from all entries.
    pub(crate) rate: RequestRate,
    /// Since when this daemon knows that it names a limit.
    pub(crate) since: Millis,
}

/// The limits that hold, by their targets.
#[derive(Debug, Default)]
pub struct LimitMemory(HashMap<TargetId, KnownLimit>);

impl LimitMemory {
    /// The limit of a target; `None` where it names none.
    pub(crate) fn get(&self, target: &TargetId) -> Option<KnownLimit> {
        self.0.get(target).copied()
    }
}

impl View {
    /// Remembers which targets name a limit, and says so in the log.
    pub(crate) fn note_limits(&mut self, now: Millis) {
        let mut holding = HashMap::new();
        for heard in self.directory.targets() {
            let record = &heard.record;
            let Some(rate) = record.limit.rate else {
                continue;
            };
            let known = self.limits.get(&record.id);
            let since = known.map_or(now, |known| known.since);
            if known.is_none_or(|known| known.rate != rate) {
                log_limit(record);
            }
            holding.insert(record.id.clone(), KnownLimit { rate, since });
        }
        for target in self.limits.0.keys() {
            if !holding.contains_key(target) {
                log::info!(event = "target_not_limited", target:% = target; "");
            }
        }
        self.limits.0 = holding;
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
