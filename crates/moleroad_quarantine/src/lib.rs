//! Which requests end the targets that run them, and are not sent any more.
//!
//! Some requests end each target that begins them. Their callers repeat them
//! under other ids, at other entries. Pure decisions of one daemon:
//! [`fingerprint`] says what stays of a request when it comes again, [`suspects`]
//! adds up which targets ended under it, as seen here and told by others, and
//! says when it is held; [`successes`] speaks for requests that ran to a good
//! end; [`holds`] is what the control group keeps for when all daemons begin
//! anew, and [`reviews`] the way back for what was held by mistake.
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
//!     suspects.take(Millis(0), TerminationReport { request, life, age_ms: 0, is_excused: false });
//! }
//! assert!(suspects.hold_left_ms(Millis(1), &content.fingerprint()).is_some());
//! ```
#![warn(missing_docs)]

pub mod fingerprint;
pub mod holds;
pub mod reviews;
pub mod successes;
pub mod suspects;

/// The types most users of the crate need.
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
