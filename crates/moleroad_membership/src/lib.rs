//! Whom a daemon greets, how often, and what they tell each other.
//!
//! Daemons tell and ask the relays of their data hall, and relays ask relays of
//! the other data halls: [`contacts`] chooses whom, [`greeted`] keeps what passed
//! and says who is due, [`speaker`] is what a daemon says of itself. [`fan_out`] is for
//! what all must hear at once.
//! What is told of others is [`moleroad_directory::news`].
//!
//! Nothing here calls anybody or reads a clock: the daemon's greeting task does,
//! and so does the fleet in virtual time under `tests/`, which counts what grows
//! with the number of daemons.
#![warn(missing_docs)]

pub mod contacts;
pub mod fan_out;
pub mod greeted;
pub mod speaker;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::contacts::{Contact, ContactPlanner};
    pub use crate::fan_out::{Branch, fan_out};
    pub use crate::greeted::{Answered, GossipState, PeerState};
    pub use crate::speaker::{CallerUpdate, CallerUpdateOutcome};
}
