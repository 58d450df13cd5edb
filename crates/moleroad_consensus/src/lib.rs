//! The replicated log that control members agree on.
//!
//! The algorithm is Raft as published (Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", 2014; Ongaro's thesis for pre-vote,
//! check-quorum and joint membership change), with a leader lease and with
//! member identities that belong to a disk and not to an instance.
//!
//! [`Replica`](replica::Replica) is a pure state machine: it is fed
//! [`Event`](replica::Event)s and returns [`Action`](replica::Action)s that
//! the caller carries out **in order**. [`Storage`](storage::Storage) keeps
//! what must survive under one data folder.
//!
//! ```
//! use moleroad_consensus::prelude::*;
//! use moleroad_types::prelude::*;
//!
//! let member = MemberInfo::new(MemberId(7), "hub-1", "127.0.0.1:7000".parse().unwrap());
//! let founding = Configuration::of_voters([member]);
//! let restored = Restored::founded(founding);
//! let mut replica = Replica::new(MemberId(7), Timing::default(), 1, restored, Millis(0));
//! let mut now = Millis(0);
//! while !replica.is_leader() {
//!     now = now + 100;
//!     replica.on_event(now, Event::Tick);
//! }
//! let proposal = Proposal { ticket: ProposalTicket(1), data: b"change".to_vec() };
//! let actions = replica.on_event(now, Event::Propose(vec![proposal]));
//! assert!(actions.iter().any(|action| matches!(action, Action::Apply(_))));
//! ```
#![warn(missing_docs)]

pub mod disk;
mod election;
pub mod entry;
pub mod log;
pub mod member;
pub mod message;
mod repair;
pub mod replica;
mod replication;
pub mod status;
pub mod storage;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::disk::{Disk, FolderDisk};
    pub use crate::entry::{Entry, HardState, LogIndex, Payload, Snapshot};
    pub use crate::member::{Configuration, MemberId, MemberInfo};
    pub use crate::message::Message;
    pub use crate::replica::{Action, Event, Proposal, ProposalTicket, Replica, Timing};
    pub use crate::status::{MemberStatus, ReplicaStatus};
    pub use crate::storage::{Restored, Storage, StorageError};
}
