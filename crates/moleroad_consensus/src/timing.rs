//! Timing parameters of elections, heartbeats and the leader lease.

/// Timing parameters, in milliseconds.
///
/// The lease is safe when `lease_ms` plus the drift of two clocks over that
/// time is below `election_min_ms`: a member does not vote for
/// `election_min_ms` after its last contact with the leader. See
/// [`Timing::is_safe`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat_ms: u64,
    /// Minimum election timeout: time without contact with the leader before a
    /// member starts an election.
    pub election_min_ms: u64,
    /// Maximum election timeout.
    pub election_max_ms: u64,
    /// Lease duration, counted from the sending of messages that a majority
    /// acknowledged.
    pub lease_ms: u64,
    /// Time without contact after which a voter is replaced, if a spare member
    /// is available.
    pub repair_after_ms: u64,
}

/// Maximum assumed drift between two clocks, in percent of the elapsed time.
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
    /// Returns whether the timing is safe: the lease expires before another
    /// member can be elected and lasts longer than two heartbeats, and the
    /// election timeouts form a range.
    pub fn is_safe(&self) -> bool {
        let longest_lease = self.lease_ms * (100 + DRIFT_BOUND_PERCENT) / 100;
        longest_lease < self.election_min_ms
            && self.heartbeat_ms * 2 < self.lease_ms
            && self.election_min_ms < self.election_max_ms
    }
}
