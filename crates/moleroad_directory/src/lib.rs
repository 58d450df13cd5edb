//! A daemon's view of the targets and of the other daemons.
//!
//! The directory is soft state, spread by gossip: targets and daemons report about
//! themselves, daemons forward the records they received together with their age, and
//! records that are not refreshed expire. Merging two views gives the same result in
//! any order. [`relays`] chooses the daemons that forward records, [`delta`]
//! transfers only what changed, and `entry_addresses` chooses the entries that are
//! returned to callers.
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

pub mod addresses;
pub mod apply;
pub mod changes;
pub mod daemon;
pub mod delta;
pub mod directory;
mod entry_addresses;
pub mod limit;
pub mod relays;
pub mod slots;
pub mod target;
pub mod target_merge;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::addresses::HolderChange;
    pub use crate::apply::DeltaOutcome;
    pub use crate::changes::{Aged, DaemonLoad, RecordVersion};
    pub use crate::daemon::{DaemonRecord, DaemonRole, DaemonState, EngineReport, PieceMap};
    pub use crate::delta::{
        Cursor, DaemonDelta, DeltaRequest, DirectoryDelta, Interest, Scope, SlotLoad,
    };
    pub use crate::directory::{Directory, Observed, TargetChange};
    pub use crate::limit::{AdvertisedLimit, RequestRate};
    pub use crate::slots::{Slot, SlotAges, SlotTable};
    pub use crate::target::{Holding, TargetId, TargetLifecycle, TargetRecord};
}
