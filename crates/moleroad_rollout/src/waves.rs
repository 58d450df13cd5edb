//! Time at which an engine may switch its weights.

use moleroad_types::prelude::InstanceId;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Division of the engines into waves that switch one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WavePlan {
    /// Number of engines of the service that hold an older version or have switched.
    pub engines: usize,
    /// Time for which an engine that switches is out of service, in milliseconds.
    pub outage_ms: u64,
    /// Time after the announcement of the version at which the first engines can begin,
    /// in milliseconds.
    pub earliest_start_ms: u64,
    /// Time after the announcement of the version at which all remaining engines begin,
    /// in milliseconds.
    pub latest_start_ms: u64,
}

impl WavePlan {
    /// Number of waves that fit, if the first begins `from_ms` after the announcement
    /// of the version.
    fn waves(&self, from_ms: u64) -> u64 {
        1 + self.latest_start_ms.saturating_sub(from_ms) / self.outage_ms.max(1)
    }

    /// Returns the number of engines that switch at the same time: as few as the time
    /// allows, if all pieces were there `staged_ms` after the announcement of the
    /// version.
    pub fn wave_size(&self, staged_ms: u64) -> usize {
        let waves = self.waves(staged_ms.max(self.earliest_start_ms));
        self.engines.div_ceil(waves as usize).max(1)
    }

    /// Returns whether the engine of `own` may begin `elapsed_ms` after the
    /// announcement of the version, if its pieces were there after `staged_ms`.
    ///
    /// Each engine gets its wave from its rank among `others`, the other engines of the
    /// service, regardless of their progress: an agent's knowledge of that is older
    /// than the time in which all of them become ready.
    pub fn may_begin<'a>(
        &self,
        own: &InstanceId,
        others: impl IntoIterator<Item = &'a InstanceId>,
        elapsed_ms: u64,
        staged_ms: u64,
    ) -> bool {
        if elapsed_ms >= self.latest_start_ms {
            return true;
        }
        let from_ms = staged_ms.max(self.earliest_start_ms);
        let own_weight = weight(own);
        let ranks_before = |other: &&InstanceId| weight(other) > own_weight;
        let rank = others.into_iter().filter(ranks_before).count();
        let wave = (rank / self.wave_size(staged_ms)) as u64;
        // The first wave begins as soon as its pieces are there.
        wave == 0 || elapsed_ms >= from_ms + wave * self.outage_ms
    }
}

/// Orders engines so that those of one data hall do not switch together.
fn weight(engine: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    engine.hash(&mut hasher);
    hasher.finish()
}
