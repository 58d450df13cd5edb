//! Quarantine of requests that terminate the targets that run them.
//!
//! Some requests terminate every target that starts to run them, and their callers
//! retry them under other ids, at other entries. Others have only a part of their prompts
//! in common with those before. [`suspect`] says what of a request may be the cause, and
//! [`fingerprint`] identifies it. These are the decisions of one daemon, without I/O:
//! [`suspects`] collects which targets terminated while running a suspect, as observed
//! here and reported by other daemons, and decides when it is held; [`successes`]
//! remembers what completed; [`holds`] is the state that the control group stores for a
//! restart of all daemons, and [`reviews`] releases what was held by mistake.
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
//! let suspect = Suspect::Content(content.fingerprint());
//! let mut suspects = Suspects::default();
//! for name in ["t-1", "t-2", "t-3"] {
//!     let life = TargetIncarnation { target: TargetId::new(name), born_ms: 0 };
//!     suspects.record(Millis(0), TerminationReport { suspect, life, age_ms: 0, is_excused: false });
//! }
//! assert!(suspects.hold_left_ms(Millis(1), &suspect).is_some());
//! ```
#![warn(missing_docs)]

pub mod fingerprint;
pub mod holds;
pub mod reviews;
pub mod successes;
pub mod suspect;
pub mod suspects;
pub mod terminations;

/// The types that most users of the crate need.
pub mod prelude {
    pub use crate::fingerprint::{AccountTag, Fingerprint, RequestContent};
    pub use crate::holds::{HoldOrder, Holds, UnixMillis};
    pub use crate::reviews::{ReleaseOrder, Reviews, TrialOrder, TrialToken};
    pub use crate::successes::RecentSuccesses;
    pub use crate::suspect::{RequestSuspects, Suspect};
    pub use crate::suspects::{HOLD_DECISION_MS, RecordOutcome, Suspects, TerminationReport};
    pub use crate::terminations::{
        DerivedHold, TERMINATION_TTL_MS, TERMINATIONS_TO_HOLD, TargetIncarnation,
    };
}
