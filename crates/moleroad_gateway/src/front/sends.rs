//! Counts the sends of a request, and ensures that per-request statistics are
//! recorded once.
//!
//! A slot may be given back before anything is sent, because no connection could
//! be opened or the target became ineligible in the meantime. The request then
//! acquires another slot, but must not be counted again.

/// Number of sends of a request, and which statistics already include it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sends {
    made: u32,
    /// Whether a retry was taken from the budget for the next send.
    holds_repeat: bool,
    counted_in_time: bool,
    counted_first: bool,
}

impl Sends {
    /// Returns the number of sends that reached a target.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Returns whether no send has reached a target yet.
    pub fn is_first(&self) -> bool {
        self.made == 0
    }

    /// Returns whether the next send must take a retry from the budget.
    pub fn needs_repeat(&self) -> bool {
        self.made > 0 && !self.holds_repeat
    }

    /// Records that a retry was taken for the next send.
    pub fn took_repeat(&mut self) {
        self.holds_repeat = true;
    }

    /// Records that a send reached a target.
    pub fn reached_target(&mut self) {
        self.made += 1;
        self.holds_repeat = false;
    }

    /// Returns true on the first call before the first send reaches a target. The
    /// caller then counts whether a slot was found in time.
    pub fn claim_in_time_count(&mut self) -> bool {
        self.made == 0 && !std::mem::replace(&mut self.counted_in_time, true)
    }

    /// Returns true on the first call before the first send reaches a target. The
    /// caller then counts the first slot.
    pub fn claim_first_count(&mut self) -> bool {
        self.made == 0 && !std::mem::replace(&mut self.counted_first, true)
    }
}
