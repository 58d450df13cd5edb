//! Choice of the target for a request, the time of sending, and the number of
//! retries.
//!
//! The decisions of one entry, without I/O; the caller reports each send and
//! its outcome. Each entry shares the targets with others that it does not
//! coordinate with: [`load`] estimates their requests in flight from the agents'
//! reports, [`prefill`] predicts the first event, [`targets`] keeps both for each
//! [`candidate`], [`eligibility`] decides which targets a request may go to, [`cost`]
//! estimates the cost of a send, [`choice`] picks the cheapest target, [`queue`]
//! orders the requests that wait for a slot, [`wait_estimate`] predicts how soon
//! overdue ones get one and [`overdue_share`] limits how many they may use, [`share`]
//! divides the last slots of a target among the entries, [`health`] tracks failures,
//! [`backoff`] tracks targets that asked for a backoff, and [`budget`] holds the entry's
//! share of the retries that all entries may send.
//!
//! A cold target accepts only few requests per second: [`cold`] decides whether a
//! target is cold, [`admission`] on what condition a request may be sent there,
//! [`rate_bound`] provides the grants by which all entries keep the bound,
//! [`division`] divides the bound where no agent gives grants, and [`limit`] enforces
//! the limits that targets advertise.
//!
//! ```
//! use moleroad_dispatch::prelude::*;
//! use moleroad_types::prelude::Millis;
//!
//! let mut budget = SharedRetryBudget::new(RetryBudgetParams { ratio: 0.2, slack: 20.0, window_ms: 10_000 });
//! budget.note_request(Millis(0));
//! assert!(budget.try_take(Millis(1), 4));
//! ```
#![warn(missing_docs)]

pub mod admission;
pub mod backoff;
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
pub mod prefill;
pub mod queue;
pub mod rate_bound;
pub mod share;
pub mod targets;
pub mod wait_estimate;

/// The types that most users of the crate need.
pub mod prelude {
    pub use crate::admission::COLD_SLOWNESS;
    pub use crate::backoff::{MAX_BACKOFF_MS, Responder, TargetBackoffs, parse_retry_after_ms};
    pub use crate::budget::{RetryBudgetParams, SharedRetryBudget};
    pub use crate::candidate::{Candidate, Distance, Requirements};
    pub use crate::choice::{Choice, SearchScope};
    pub use crate::cold::{Admission, ColdEvidence, ColdSource, ColdTarget};
    pub use crate::division::{Division, SendTimes, quota_usable_from};
    pub use crate::eligibility::{Exclusion, ExclusionCounts, count_exclusions, exclusion};
    pub use crate::health::{Health, Outcome};
    pub use crate::limit::{LimitedTarget, MIN_PER_S, limit_bucket_params, owner};
    pub use crate::load::TargetLoad;
    pub use crate::overdue_share::OverdueShare;
    pub use crate::prefill::PrefillSpeed;
    pub use crate::queue::{WaitClass, WaitQueue, Waiter, WaiterId};
    pub use crate::rate_bound::{BucketParams, GRANT_TTL_MS, RateBound, TokenBucket};
    pub use crate::share::{EntryDemand, SlotShares};
    pub use crate::targets::{BackoffEnds, Targets};
    pub use crate::wait_estimate::WaitEstimator;
}
