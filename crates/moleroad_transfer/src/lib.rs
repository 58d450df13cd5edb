//! Decisions about moving weights: who draws what from where, and how fast.
//!
//! On the control side [`TransferPlanner`](planner::TransferPlanner) grants
//! draws from the origin, each chunk once, and one import of each chunk into
//! each region; it also gives every agent its peers. On the agent's side a
//! [`Swarm`](swarm::Swarm) pulls the rest from peers, rarest chunk first.
//! [`Pacer`](pacing::Pacer) keeps a link's rate, [`Ticket`](ticket::Ticket)
//! opens one account's weights to one agent.
//!
//! Everything here is pure: time comes in, decisions come out.
//!
//! ```
//! use moleroad_transfer::prelude::*;
//! use std::time::Duration;
//!
//! let mut link = Pacer::new(1_000_000, 10_000);
//! assert_eq!(link.reserve(Duration::ZERO, 10_000), Duration::ZERO);
//! assert_eq!(link.reserve(Duration::ZERO, 50_000), Duration::from_millis(50));
//! ```
#![warn(missing_docs)]

pub mod chunk_set;
pub mod fair_share;
pub mod grant;
pub mod pacing;
pub mod peers;
pub mod planner;
mod root_plan;
pub mod swarm;
pub mod ticket;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::chunk_set::ChunkSet;
    pub use crate::grant::{Grant, Objective, PlanKind, Source};
    pub use crate::pacing::Pacer;
    pub use crate::peers::PeerRings;
    pub use crate::planner::{PlannerSettings, TransferPlanner, WantedWeights};
    pub use crate::swarm::{AttemptId, Fetch, FetchOutcome, Swarm, SwarmAction, SwarmSettings};
    pub use crate::ticket::Ticket;
}
