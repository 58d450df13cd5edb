//! What is counted once for a request, however often it looks for a place.
//!
//! A place may be given back before anything goes out: no connection comes up,
//! or what was learned meanwhile bars the target. The request then looks for a
//! place again, but counts once.

/// How often a request was sent, and what was already counted of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sends {
    made: u32,
    /// Whether a repeat was taken from the budget for a send that is yet to be
    /// made.
    holds_repeat: bool,
    noted_in_time: bool,
    noted_first: bool,
}

impl Sends {
    /// Number of sends that reached a target.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Whether nothing was sent yet.
    pub fn is_first(&self) -> bool {
        self.made == 0
    }

    /// Whether the next send must take a repeat from the budget.
    pub fn needs_repeat(&self) -> bool {
        self.made > 0 && !self.holds_repeat
    }

    /// Notes that a repeat was taken for the next send.
    pub fn took_repeat(&mut self) {
        self.holds_repeat = true;
    }

    /// Notes that a send reached a target.
    pub fn reached_target(&mut self) {
        self.made += 1;
        self.holds_repeat = false;
    }

    /// True the first time it is called before anything was sent: whether a place
    /// was found in time is then to be counted.
    pub fn claim_in_time_count(&mut self) -> bool {
        self.made == 0 && !std::mem::replace(&mut self.noted_in_time, true)
    }

    /// True the first time it is called before anything was sent: the first place
    /// is then to be counted.
    pub fn claim_first_count(&mut self) -> bool {
        self.made == 0 && !std::mem::replace(&mut self.noted_first, true)
    }
}
