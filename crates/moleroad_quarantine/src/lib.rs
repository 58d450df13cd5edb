//! Quarantine of requests that terminate the targets that run them.
//!
//! Some requests terminate every target that starts to run them, and their callers
//! retry them under other ids, at other entries. These are the decisions of one daemon,
//! without I/O: [`fingerprint`] identifies a request that is repeated, [`suspects`]
//! collects which targets terminated while running it, as observed here and reported
//! by other daemons, and decides when it is held; [`successes`] remembers requests that
//! completed; [`holds`] is the state that the control group stores for a restart of
//! all daemons, and [`reviews`] releases requests that were held by mistake.
//!
//! ```
//! use moleroad_directory::prelude::TargetId;
//! use moleroad_quarantine::prelude::*;
//! use moleroad_types::prelude::Millis;
//!
//! let content = RequestContent {
//!     account: Some("account-one"),
//!     method: "POST",
//!     host: "a.example",
//!     target: "/chat/",
//!     body: b"words",
//! };
//! let mut suspects = Suspects::default();
//! for name in ["t-1", "t-2", "t-3"] {
//!     let life = TargetIncarnation { target: TargetId::new(name), born_ms: 0 };
//!     let request = content.fingerprint();
//!     suspects.record(Millis(0), TerminationReport { request, life, age_ms: 0, is_excused: false });
//! }
//! assert!(suspects.hold_left_ms(Millis(1), &content.fingerprint()).is_some());
//! ```
#![warn(missing_docs)]

pub mod fingerprint;
pub mod holds;
pub mod reviews;
pub mod successes;
pub mod suspects;

/// The types that most users of the crate need.
pub mod prelude {
    pub use crate::fingerprint::{RequestContent, RequestFingerprint};
    pub use crate::holds::{HoldOrder, Holds, UnixMillis};
    pub use crate::reviews::{ReleaseOrder, Reviews, TrialOrder, TrialToken};
    pub use crate::successes::RecentSuccesses;
    pub use crate::suspects::{
        HOLD_DECISION_MS, RecordOutcome, Suspects, TERMINATION_TTL_MS, TERMINATIONS_TO_HOLD,
        TargetIncarnation, TerminationReport,
    };
}
