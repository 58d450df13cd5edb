//! Order in which the pieces of a version leave the origin.

use std::sync::Arc;

/// The pieces to be fetched from the origin, one after the other.
///
/// Initially these are all pieces. After a stall only the pieces that are still missing
/// are scheduled: the others need no time on the origin's link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginSchedule(Option<Arc<[u32]>>);

impl OriginSchedule {
    /// Schedules all pieces, in ascending order.
    pub fn all() -> Self {
        Self(None)
    }

    /// Schedules only these pieces, which must be in ascending order.
    pub fn of_missing(missing: &[u32]) -> Self {
        Self(Some(missing.into()))
    }

    /// Returns the position of `piece`; a piece that is not scheduled gets that of the
    /// next scheduled one.
    pub fn position_of(&self, piece: u32) -> u32 {
        match &self.0 {
            None => piece,
            Some(missing) => missing.partition_point(|other| *other < piece) as u32,
        }
    }
}
