//! Switches that disable single mechanisms, to measure their benefit.
//!
//! Set by `experiments: { off: [...] }` in the settings; no shipped template sets it.

use serde::Deserialize;

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Entries query agents for the load of their engines before a send.
    AskedAgents,
    /// Entries divide the last free slots of a target among them.
    SharedPlaces,
    /// A request waits for a slot for a share of its target latency.
    Waiting,
    /// Requests that can no longer meet their target latency wait to be served late if
    /// a slot is expected.
    HeldOverdue,
    /// Failing targets are avoided for some time.
    Avoidance,
    /// The measured speed of an engine counts if it is below the published speed.
    Slowness,
    /// Engines switch to new weights in waves.
    Waves,
    /// An older version is served if the newest one cannot be fetched.
    Fallback,
    /// Requests to cold targets require grants of the targets' agents.
    ColdGrants,
    /// The rate limit of cold targets whose agents are not queried is divided among
    /// entries.
    ColdDivision,
    /// Piece transfers use less bandwidth while the agent's engine serves requests.
    YieldingPieces,
}

/// The `experiments` section of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiments {
    /// Disabled mechanisms.
    pub off: Vec<Mechanism>,
}

impl Experiments {
    /// Returns whether the mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
