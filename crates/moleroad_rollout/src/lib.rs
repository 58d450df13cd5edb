//! Distribution of a model version to all engines of a service: which agent fetches
//! which piece from where, and when each engine switches over.
//!
//! Agents reach the same decisions from the same data, without a coordinator: one copy
//! leaves the origin, one copy enters each region, and within a region agents pass
//! pieces on to each other. [`sources`] defines the members and their timeouts,
//! [`trees`] the tree along which each piece is distributed, [`choice`] which piece an
//! agent fetches next, [`schedule`] the order in which pieces leave the origin,
//! [`backoff`] how long a failing source is left alone, [`fallback`] which version to
//! fetch when the newest one does not arrive, [`superseded`] when a fetch is abandoned
//! for a newer version, [`arrival`] when the weights are expected, [`waves`] when an
//! engine may switch its weights, [`switch`] by which steps it does, [`staged_check`]
//! what permits the order, [`agreed_reads`] when digests are believed, and [`old_weights`] until when it may serve older ones.
//!
//! ```
//! use moleroad_rollout::prelude::*;
//!
//! let plan = WavePlan { engines: 12, outage_ms: 1_000, earliest_start_ms: 2_000, latest_start_ms: 5_000 };
//! assert_eq!(plan.wave_size(2_000), 3);
//! ```
#![warn(missing_docs)]

pub mod agreed_reads;
pub mod arrival;
pub mod backoff;
pub mod choice;
pub mod fallback;
pub mod old_weights;
pub mod schedule;
pub mod sources;
pub mod staged_check;
pub mod superseded;
pub mod switch;
pub mod trees;
pub mod waves;

/// The types that most users of the crate need.
pub mod prelude {
    pub use crate::agreed_reads::AgreedReads;
    pub use crate::arrival::ArrivalEstimate;
    pub use crate::backoff::Backoff;
    pub use crate::choice::{
        ANNOUNCE_EVERY_MS, FetchConditions, MissingPiece, STALL_MS, SourceKind, choose_source,
        should_announce,
    };
    pub use crate::fallback::fallback;
    pub use crate::old_weights::OldWeightsCutoff;
    pub use crate::schedule::OriginSchedule;
    pub use crate::sources::{
        AllowedSources, DigestQueryResult, Member, TakeoverTimeouts, copy_ms,
        may_ask_origin_for_digests,
    };
    pub use crate::staged_check::{CheckReads, PieceRead, StagedCheck};
    pub use crate::superseded::SupersededFetch;
    pub use crate::switch::{EngineObservation, Switch, SwitchStep};
    pub use crate::trees::DistributionTrees;
    pub use crate::waves::WavePlan;
}
