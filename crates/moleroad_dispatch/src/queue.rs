//! Requests that wait at the entry for a place at a target.

use moleroad_types::prelude::Millis;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterId(pub u64);

/// One waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiter {
    /// Its name.
    pub id: WaiterId,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When it began to wait.
    pub since: Millis,
    /// Until when a place still makes its wanted latency.
    pub wanted_by: Millis,
    /// Until when a place is of any use.
    pub until: Millis,
}

/// Most requests that wait for one service; further ones are refused.
pub const MAX_WAITING: usize = 512;

/// The requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiters: Vec<Waiter>,
}

impl WaitQueue {
    /// Adds a request; false when the queue is full.
    pub fn enter(&mut self, waiter: Waiter) -> bool {
        if self.waiters.len() >= MAX_WAITING {
            return false;
        }
        self.waiters.push(waiter);
        true
    }

    /// Takes a request out, whether it was served or left.
    pub fn leave(&mut self, id: WaiterId) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Who should get the next place: among the most urgent those that can
    /// still be in time, the longest waiting first; then those that are late.
    pub fn next(&self, now: Millis) -> Option<WaiterId> {
        let useful = self.waiters.iter().filter(|waiter| now < waiter.until);
        let rank = |waiter: &&Waiter| {
            let late = now > waiter.wanted_by;
            (late, waiter.priority, waiter.since, waiter.id.0)
        };
        useful.min_by_key(rank).map(|waiter| waiter.id)
    }

    /// Requests whose time is over at `now`.
    pub fn expired(&self, now: Millis) -> Vec<WaiterId> {
        let over = self.waiters.iter().filter(|waiter| now >= waiter.until);
        over.map(|waiter| waiter.id).collect()
    }
}
