//! Gossip between daemons: the choice of peers, the exchange intervals and the
//! updates sent.
//!
//! In an exchange, a daemon sends an update of its own record and requests the
//! changes of the peer's directory. Daemons exchange with the relays of their data
//! hall, and relays with relays of the other data halls. [`contacts`] chooses the
//! peers, [`gossip_state`] tracks the state of each peer and selects those that are
//! due, and [`caller_update`] is the update that a daemon sends about itself.
//! [`fan_out`] distributes urgent messages to all daemons. Changes of other daemons
//! and targets are transferred as a [`moleroad_directory::delta`].
//!
//! The crate performs no I/O and reads no clock; the daemon's gossip task does. The
//! simulated fleet under `tests/` runs in virtual time and measures how the
//! traffic grows with the number of daemons.
#![warn(missing_docs)]

pub mod caller_update;
pub mod contacts;
pub mod fan_out;
pub mod gossip_state;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::caller_update::{CallerUpdate, CallerUpdateOutcome};
    pub use crate::contacts::{Contact, ContactPlanner};
    pub use crate::fan_out::{Branch, fan_out};
    pub use crate::gossip_state::{GossipReply, GossipState, PeerState};
}
