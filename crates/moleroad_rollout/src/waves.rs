//! When an engine may change its weights.

use moleroad_types::prelude::InstanceId;

/// How far an engine is on its way to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineStage {
    /// Serves an older version.
    Old,
    /// Is changing over and takes no requests.
    Switching,
    /// Serves the version.
    Done,
}

/// How engines take turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WavePlan {
    /// Engines of the service that hold an older version or changed over.
    pub engines: usize,
    /// Time that one engine is out, in milliseconds.
    pub turn_ms: u64,
    /// Time after the version was named at which the first engines can begin,
    /// in milliseconds.
    pub begin_from_ms: u64,
    /// Time after the version was named at which all that are left begin, in
    /// milliseconds.
    pub begin_by_ms: u64,
}

impl WavePlan {
    /// Engines that change over at once: as few as the time allows.
    pub fn at_once(&self) -> usize {
        let window_ms = self.begin_by_ms.saturating_sub(self.begin_from_ms);
        let waves = 1 + window_ms / self.turn_ms.max(1);
        self.engines.div_ceil(waves as usize).max(1)
    }

    /// Whether the engine of `own` may begin, `elapsed_ms` after the version
    /// was named. `others` are the other engines of the service; the order of
    /// their names breaks ties between those that are ready at once.
    pub fn may_begin(
        &self,
        own: &InstanceId,
        others: &[(InstanceId, EngineStage, bool)],
        elapsed_ms: u64,
    ) -> bool {
        if elapsed_ms >= self.begin_by_ms {
            return true;
        }
        let switching = others
            .iter()
            .filter(|(_, stage, _)| *stage == EngineStage::Switching)
            .count();
        let staged_before = others
            .iter()
            .filter(|(name, stage, staged)| *stage == EngineStage::Old && *staged && name < own)
            .count();
        switching + staged_before < self.at_once()
    }
}
