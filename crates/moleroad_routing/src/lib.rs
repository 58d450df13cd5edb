//! Decisions about callers' requests: which target, whether now, whether again.
//!
//! [`Router`](router::Router) chooses among the targets that may serve a
//! request. [`AccountLimits`](limits::AccountLimits) keeps one account from
//! taking what belongs to others, [`RetryBudget`](retry::RetryBudget) keeps
//! retries from making an overload worse, and [`spread`] spreads callers over
//! the entries. All of it is pure: the time comes in with each call.
//!
//! ```
//! use moleroad_routing::prelude::*;
//! use moleroad_types::prelude::*;
//! use moleroad_types::target::{Destination, Served};
//!
//! let mut router = Router::new(RouterSettings::default(), "cardiff-hall".into(), 7);
//! router.set_route(
//!     Millis(0),
//!     "depot-1".into(),
//!     Some(TargetRoute {
//!         instance: "depot-1".into(),
//!         data_hall: "cardiff-hall".into(),
//!         address: "127.0.0.1:9000".parse().unwrap(),
//!         incarnation: Incarnation(1),
//!         serves: Served::Service("depot-api".into()),
//!     }),
//! );
//! let wanted = RequestShape::new(Destination::Service("depot-api".into()), 1);
//! let chosen = router.choose(Millis(0), &wanted, &[]).unwrap();
//! assert_eq!(chosen.instance, "depot-1".into());
//! ```
#![warn(missing_docs)]

pub mod fair_queue;
pub mod limits;
pub mod load;
pub mod retry;
pub mod router;
pub mod spread;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::fair_queue::{FairQueue, QueueTicket, Queued};
    pub use crate::limits::{AccountLimits, LimitShare};
    pub use crate::load::{Finish, TargetLoad};
    pub use crate::retry::RetryBudget;
    pub use crate::router::{Policy, RequestShape, Router, RouterSettings};
    pub use crate::spread::{EntryShare, spread};
}
