//! Mechanisms that can be switched off to measure what they are worth.
//!
//! `experiments: { off: [...] }` in the settings; no shipped template has it.

use serde::Deserialize;

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Agents are asked what their engines have in hand before a send.
    AskedAgents,
    /// The last places of a target are shared out among entries.
    SharedPlaces,
    /// A request waits for a place for a part of its wanted latency.
    Waiting,
    /// Requests are held to be served late where a place can be expected.
    HeldOverdue,
    /// Targets that fail are avoided for a while.
    Avoidance,
    /// Engines that are slower than published count as slower.
    Slowness,
    /// Engines change their weights in waves.
    Waves,
    /// An older version stands in for a newest one that does not come.
    Fallback,
    /// Requests go to cold targets on grants of the agents beside them.
    ColdGrants,
    /// The bound on cold targets whose agents are not asked is divided among
    /// entries.
    ColdDivision,
    /// Pieces take less of the link while the engine beside the agent serves.
    YieldingPieces,
}

/// The section of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiments {
    /// Mechanisms that are switched off.
    pub off: Vec<Mechanism>,
}

impl Experiments {
    /// Whether the mechanism works.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
