//! When an engine may change its weights.

use moleroad_types::prelude::InstanceId;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// How engines take turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WavePlan {
    /// Engines of the service that hold an older version or changed over.
    pub engines: usize,
    /// Time that one engine is out, in milliseconds.
    pub turn_ms: u64,
    /// Time after the version was named at which the first engines can begin,
    /// in milliseconds.
    pub earliest_start_ms: u64,
    /// Time after the version was named at which all that are left begin, in
    /// milliseconds.
    pub latest_start_ms: u64,
}

impl WavePlan {
    /// Waves that there is time for, when the first begins `from_ms` after the
    /// version was named.
    fn waves(&self, from_ms: u64) -> u64 {
        1 + self.latest_start_ms.saturating_sub(from_ms) / self.turn_ms.max(1)
    }

    /// Engines that change over at once: as few as the time allows, when all
    /// pieces were there `staged_ms` after the version was named.
    pub fn at_once(&self, staged_ms: u64) -> usize {
        let waves = self.waves(staged_ms.max(self.earliest_start_ms));
        self.engines.div_ceil(waves as usize).max(1)
    }

    /// Whether the engine of `own` may begin, `elapsed_ms` after the version
    /// was named, when its pieces were there after `staged_ms`.
    ///
    /// Each engine has its wave by its rank among `others`, the other engines
    /// of the service, however far they are: what an agent knows of the others'
    /// progress is older than the time in which all of them become ready.
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
        let goes_before = |other: &&InstanceId| weight(other) > own_weight;
        let rank = others.into_iter().filter(goes_before).count();
        let wave = (rank / self.at_once(staged_ms)) as u64;
        // The first wave begins as soon as its pieces are there.
        wave == 0 || elapsed_ms >= from_ms + wave * self.turn_ms
    }
}

/// Orders engines so that those of one data hall do not change over together.
fn weight(engine: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    engine.hash(&mut hasher);
    hasher.finish()
}
