//! Which target a request goes to, when it goes, and how often it may be
//! repeated.
//!
//! Pure decisions of one entry; the shell reports what was sent and how it
//! ended. Each entry shares the targets with others that it does not ask:
//! [`load`] estimates what they have in flight from what agents report,
//! [`reading`] predicts its first event, [`eligibility`] says which targets a
//! request may go to, [`choice`] picks the cheapest of them, [`queue`] orders those that wait for
//! a place, [`pace`] tells how soon late ones get one
//! and [`overdue_share`] how many they may take, [`share`] says whose the last places are, [`health`] remembers what failed, and [`budget`] holds the entry's
//! share of the repeats that all entries may send.
//!
//! ```
//! use moleroad_dispatch::prelude::*;
//! use moleroad_types::prelude::Millis;
//!
//! let mut budget = RepeatBudget::new(BudgetTerms { ratio: 0.2, slack: 20.0, window_ms: 10_000 });
//! budget.note_request(Millis(0));
//! assert!(budget.take(Millis(1), 4));
//! ```
#![warn(missing_docs)]

pub mod budget;
pub mod choice;
pub mod eligibility;
pub mod health;
pub mod load;
pub mod overdue_share;
pub mod pace;
pub mod queue;
pub mod reading;
pub mod share;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::budget::{BudgetTerms, RepeatBudget};
    pub use crate::choice::{Candidate, Choice, Distance, Needs, Reach, Targets};
    pub use crate::eligibility::{Barrier, BarrierTally, barrier, tally};
    pub use crate::health::{Health, Outcome};
    pub use crate::load::TargetLoad;
    pub use crate::overdue_share::OverdueShare;
    pub use crate::pace::Pace;
    pub use crate::queue::{Line, WaitQueue, Waiter, WaiterId};
    pub use crate::reading::ReadingSpeed;
    pub use crate::share::{EntryDemand, share};
}
