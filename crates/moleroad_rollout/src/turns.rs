//! In which order the pieces of a version leave the origin.

use std::sync::Arc;

/// The pieces that have a turn at the origin, one after the other.
///
/// At first these are all pieces. After a stall only the pieces that are still
/// missing have one: the others need no time of the origin's link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginSchedule(Option<Arc<[u32]>>);

impl OriginSchedule {
    /// All pieces, from the first.
    pub fn all() -> Self {
        Self(None)
    }

    /// Only these pieces, which must be in ascending order.
    pub fn of_missing(missing: &[u32]) -> Self {
        Self(Some(missing.into()))
    }

    /// Number of the turn of `piece`; a piece without a turn has that of the
    /// next one that has.
    pub fn number(&self, piece: u32) -> u32 {
        match &self.0 {
            None => piece,
            Some(missing) => missing.partition_point(|other| *other < piece) as u32,
        }
    }
}
