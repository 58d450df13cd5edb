//! Periods of elections, heartbeats and the lease.

/// Periods of the algorithm, in milliseconds.
///
/// The lease is safe when `lease_ms` plus the drift of two clocks over that
/// span stays below `election_min_ms`: a member that heard the leader does
/// not vote for that long. See [`Timing::is_safe`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between heartbeats.
    pub heartbeat_ms: u64,
    /// Shortest silence of the leader before a member stands for election.
    pub election_min_ms: u64,
    /// Longest such silence.
    pub election_max_ms: u64,
    /// How long the leader may act on its own after a majority heard it.
    pub lease_ms: u64,
    /// Silence after which a voter is replaced if there is a spare member.
    pub repair_after_ms: u64,
}

/// Largest share by which two clocks are assumed to drift apart, in percent.
pub const DRIFT_BOUND_PERCENT: u64 = 10;

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            election_min_ms: 600,
            election_max_ms: 1_200,
            lease_ms: 450,
            repair_after_ms: 10_000,
        }
    }
}

impl Timing {
    /// Whether the lease ends before any other member can be elected.
    pub fn is_safe(&self) -> bool {
        let longest_lease = self.lease_ms * (100 + DRIFT_BOUND_PERCENT) / 100;
        longest_lease < self.election_min_ms
            && self.heartbeat_ms * 2 < self.lease_ms
            && self.election_min_ms < self.election_max_ms
    }
}
