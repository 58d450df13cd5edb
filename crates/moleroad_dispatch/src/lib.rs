//! Which target a request goes to, when it goes, and how often it may be
//! repeated.
//!
//! Pure decisions of one entry; the shell reports what was sent and how it
//! ended. Each entry shares the targets with others that it does not ask:
//! [`load`] estimates what they have in flight from what agents report,
//! [`reading`] predicts its first event, [`targets`] keeps both for each
//! [`candidate`], [`eligibility`] says which a request may go to, [`cost`] what
//! that costs, [`choice`] picks the cheapest of them, [`queue`] orders
//! those that wait for a place, [`pace`] tells how soon late ones get one and
//! [`overdue_share`] how many they may take, [`share`] says whose the last
//! places are, [`health`] remembers what failed, [`rest`] who asked for rest,
//! and [`budget`] holds the
//! entry's share of the repeats that all entries may send.
//!
//! A target that is cold takes few requests a second: [`cold`] says whether it
//! is, [`admission`] how a request may go there, [`rate_bound`] gives the grants
//! by which all entries keep the bound, and [`division`] stands in where nobody
//! gives any.
//!
//! ```
//! use moleroad_dispatch::prelude::*;
//! use moleroad_types::prelude::Millis;
//!
//! let mut budget = SharedRetryBudget::new(RetryBudgetParams { ratio: 0.2, slack: 20.0, window_ms: 10_000 });
//! budget.note_request(Millis(0));
//! assert!(budget.take(Millis(1), 4));
//! ```
#![warn(missing_docs)]

pub mod admission;
pub mod budget;
pub mod candidate;
pub mod choice;
pub mod cold;
pub mod cost;
pub mod division;
pub mod eligibility;
pub mod health;
pub mod limit;
pub mod load;
pub mod overdue_share;
pub mod pace;
pub mod queue;
pub mod rate_bound;
pub mod reading;
pub mod rest;
pub mod share;
pub mod targets;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::admission::COLD_SLOWNESS;
    pub use crate::budget::{RetryBudgetParams, SharedRetryBudget};
    pub use crate::candidate::{Candidate, Distance, Requirements};
    pub use crate::choice::{Choice, SearchScope};
    pub use crate::cold::{Admission, ColdEvidence, ColdSource, ColdTarget};
    pub use crate::division::{Division, SendTimes, quota_usable_from};
    pub use crate::eligibility::{Exclusion, ExclusionCounts, barrier, tally};
    pub use crate::health::{Health, Outcome};
    pub use crate::limit::{LEAST_PER_S, LimitedTarget, limit_bucket_params, owner};
    pub use crate::load::TargetLoad;
    pub use crate::overdue_share::OverdueShare;
    pub use crate::pace::WaitEstimator;
    pub use crate::queue::{WaitClass, WaitQueue, Waiter, WaiterId};
    pub use crate::rate_bound::{GRANT_TTL_MS, GrantTerms, RateBound, TokenBucket};
    pub use crate::reading::PrefillSpeed;
    pub use crate::rest::{LONGEST_REST_MS, Responder, Rests, parse_retry_after_ms};
    pub use crate::share::{EntryDemand, SlotShares};
    pub use crate::targets::{BackoffEnds, Targets};
}
