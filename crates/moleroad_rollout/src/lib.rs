//! Bringing a version of a model to all engines of a service: which agent
//! takes which piece from where, and when each engine changes over.
//!
//! Agents decide alike from the same knowledge, without a planner: one copy
//! leaves the origin, one copy enters each region, and within a region
//! agents give pieces to each other. [`sources`] says who takes part, [`spread`]
//! how each piece spreads, [`choice`] which piece an agent fetches next,
//! [`turns`] in which order pieces leave the origin, [`pause`] for how long a source that refuses is left alone, [`fallback`]
//! what to bring when the newest version does not come, [`waves`] when an
//! engine may change its weights, [`bound`] until when it may serve older ones.
//!
//! ```
//! use moleroad_rollout::prelude::*;
//!
//! let plan = WavePlan { engines: 12, turn_ms: 1_000, earliest_start_ms: 2_000, latest_start_ms: 5_000 };
//! assert_eq!(plan.at_once(2_000), 3);
//! ```
#![warn(missing_docs)]

pub mod arrival;
pub mod bound;
pub mod choice;
pub mod fallback;
pub mod overtaking;
pub mod pause;
pub mod sources;
pub mod spread;
pub mod turns;
pub mod waves;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::arrival::Arrival;
    pub use crate::bound::OldWeights;
    pub use crate::choice::{
        ANNOUNCE_EVERY_MS, FetchConditions, MissingPiece, STALL_MS, SourceKind, choose_source,
        should_announce,
    };
    pub use crate::fallback::fallback;
    pub use crate::overtaking::SupersededFetch;
    pub use crate::pause::Backoff;
    pub use crate::sources::{
        AllowedSources, DigestQueryResult, Member, TakeoverTimeouts, copy_ms,
        may_ask_origin_for_digests,
    };
    pub use crate::spread::DistributionTrees;
    pub use crate::turns::OriginSchedule;
    pub use crate::waves::WavePlan;
}
