//! What a daemon knows of the targets and of the other daemons.
//!
//! Soft state: targets and daemons tell of themselves, daemons pass on what
//! they heard together with its age, and what is not renewed expires. Merging
//! two views gives the same result in any order. [`relays`] says who passes on
//! what, [`news`] that only differences are passed on,
//! and `naming` which entries callers are sent to.
//!
//! ```
//! use moleroad_directory::prelude::*;
//! use moleroad_types::prelude::*;
//!
//! let mut directory = Directory::new();
//! let record = TargetRecord::new(TargetId::new("i-1"), "chat", "127.0.0.1:80".parse().unwrap());
//! assert_eq!(directory.merge_target(Millis(5), record, 0), TargetChange::Changed);
//! assert_eq!(directory.targets().count(), 1);
//! ```
#![warn(missing_docs)]

pub mod changes;
pub mod daemon;
pub mod directory;
pub mod limit;
mod naming;
pub mod news;
pub mod relays;
pub mod slots;
pub mod take;
pub mod target;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::changes::{Aged, LoadNews, RecordVersion};
    pub use crate::daemon::{DaemonRecord, DaemonRole, DaemonState, EngineReport, PieceMap};
    pub use crate::directory::{Directory, Observed, TargetChange};
    pub use crate::limit::{AdvertisedLimit, RequestRate};
    pub use crate::news::{Cursor, DaemonNews, DeltaRequest, Interest, News, Scope, SlotLoad};
    pub use crate::slots::{KnownSlots, Slot, SlotAges};
    pub use crate::take::DeltaOutcome;
    pub use crate::target::{Holding, TargetId, TargetLifecycle, TargetRecord};
}
