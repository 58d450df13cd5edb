//! Requests that wait at the entry for a slot at a target.

use moleroad_types::prelude::{AllowedRegions, Millis};

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterId(pub u64);

/// Urgency class of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitClass {
    /// It can still meet its latency target, or it continues an answer that has begun.
    InTime,
    /// It can no longer meet its latency target, but an answer is still useful.
    Overdue,
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiter {
    /// Identifier.
    pub id: WaiterId,
    /// Urgency class.
    pub class: WaitClass,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When it began to wait.
    pub since: Millis,
    /// Latest time at which a slot still meets its latency target.
    pub latency_deadline: Millis,
    /// Time from which on a slot is of no use.
    pub expires_at: Millis,
    /// Regions in which it may be served.
    pub regions: AllowedRegions,
}

/// Maximum number of requests waiting for one service; further ones are refused.
pub const MAX_WAITING: usize = 512;

/// The requests waiting for one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiters: Vec<Waiter>,
}

impl WaitQueue {
    /// Adds a request; returns false if the queue is full.
    pub fn enter(&mut self, waiter: Waiter) -> bool {
        if self.waiters.len() >= MAX_WAITING {
            return false;
        }
        self.waiters.push(waiter);
        true
    }

    /// Removes a request, whether it was served or gave up.
    pub fn leave(&mut self, id: WaiterId) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of requests of a class that compete for every slot a request
    /// with these regions could use. Requests allowed in fewer regions are not counted,
    /// since they may be waiting for other slots.
    pub fn count_ahead(&self, class: WaitClass, regions: &AllowedRegions) -> usize {
        let is_ahead =
            |waiter: &&Waiter| waiter.class == class && waiter.regions.is_superset(regions);
        self.waiters.iter().filter(is_ahead).count()
    }

    /// Updates the regions in which a waiting request may be served, after a
    /// configuration change.
    pub fn set_regions(&mut self, id: WaiterId, regions: &AllowedRegions) {
        let found = self.waiters.iter_mut().find(|waiter| waiter.id == id);
        if let Some(waiter) = found {
            waiter.regions = regions.clone();
        }
    }

    /// Returns the request that gets the next slot. Those that can still meet their
    /// latency target go before overdue ones; then those whose latency deadline has not
    /// passed, by priority and waiting time. Requests that may only be served in
    /// regions that are `full` are skipped.
    pub fn next(&self, now: Millis, full: &[AllowedRegions]) -> Option<WaiterId> {
        let has_room =
            |waiter: &&Waiter| !full.iter().any(|full| full.is_superset(&waiter.regions));
        let candidates = self.unexpired(now).filter(has_room);
        let first = candidates.min_by_key(|waiter| rank(now, waiter));
        first.map(|waiter| waiter.id)
    }

    /// Returns whether a request is among the first `count` requests of its class that
    /// compete for the same slots.
    pub fn is_among_first(&self, count: usize, id: WaiterId, now: Millis) -> bool {
        let Some(own) = self.waiters.iter().find(|waiter| waiter.id == id) else {
            return false;
        };
        let same_line = self
            .unexpired(now)
            .filter(|waiter| waiter.class == own.class && waiter.regions.is_superset(&own.regions));
        let before = same_line.filter(|waiter| rank(now, waiter) < rank(now, own));
        before.count() < count
    }

    fn unexpired(&self, now: Millis) -> impl Iterator<Item = &Waiter> {
        self.waiters
            .iter()
            .filter(move |waiter| now < waiter.expires_at)
    }

    /// Returns the requests that have expired at `now`.
    pub fn expired(&self, now: Millis) -> Vec<WaiterId> {
        let over = self
            .waiters
            .iter()
            .filter(|waiter| now >= waiter.expires_at);
        over.map(|waiter| waiter.id).collect()
    }
}

fn rank(now: Millis, waiter: &Waiter) -> (WaitClass, bool, u8, Millis, u64) {
    let late = now > waiter.latency_deadline;
    (
        waiter.class,
        late,
        waiter.priority,
        waiter.since,
        waiter.id.0,
    )
}
