//! Fences: numbers that let a receiver refuse orders from a deposed sender.

use serde::{Deserialize, Serialize};

/// An election term of the control members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Term(pub u64);

/// The rank of an order: the leader's [`Term`], then a sequence within it.
///
/// A receiver keeps the highest fence it has seen and refuses lower ones, so
/// a control instance that was cut off and replaced cannot have an effect.
///
/// ```
/// use moleroad_types::prelude::*;
/// let old = Fence { term: Term(1), sequence: 900 };
/// let new = Fence { term: Term(2), sequence: 1 };
/// assert!(new > old);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence {
    /// Term of the leader that gave the order.
    pub term: Term,
    /// Position among that leader's orders.
    pub sequence: u64,
}

/// Remembers the highest [`Fence`] that a receiver has accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGuard {
    highest: Fence,
}

impl FenceGuard {
    /// Accepts `fence` unless a higher one was accepted before.
    ///
    /// # Errors
    /// Returns the highest fence seen when `fence` is lower.
    pub fn admit(&mut self, fence: Fence) -> Result<(), Fence> {
        if fence < self.highest {
            return Err(self.highest);
        }
        self.highest = fence;
        Ok(())
    }

    /// The highest fence accepted so far.
    pub fn highest(&self) -> Fence {
        self.highest
    }
}
