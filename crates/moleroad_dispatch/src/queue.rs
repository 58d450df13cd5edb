//! Requests that wait at the entry for a place at a target.

use moleroad_types::prelude::{AllowedRegions, Millis};

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterId(pub u64);

/// What a waiting request still hopes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitClass {
    /// An answer within its wanted latency, or the rest of one that was begun.
    InTime,
    /// An answer at all: its wanted latency can no longer be met.
    Overdue,
}

/// One waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiter {
    /// Its name.
    pub id: WaiterId,
    /// What it still hopes for.
    pub line: WaitClass,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When it began to wait.
    pub since: Millis,
    /// Until when a place still makes its wanted latency.
    pub wanted_by: Millis,
    /// Until when a place is of any use.
    pub until: Millis,
    /// Regions in which it may be served.
    pub regions: AllowedRegions,
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

    /// Number of requests of one line that wait for any place that one with
    /// these regions would wait for. Those that may be served in fewer regions
    /// do not count: the places that they wait for may not be its own.
    pub fn count_ahead(&self, line: WaitClass, regions: &AllowedRegions) -> usize {
        let is_ahead = |waiter: &&Waiter| waiter.line == line && waiter.regions.covers(regions);
        self.waiters.iter().filter(is_ahead).count()
    }

    /// Notes that another configuration changed where a request may be served.
    pub fn set_regions(&mut self, id: WaiterId, regions: &AllowedRegions) {
        let found = self.waiters.iter_mut().find(|waiter| waiter.id == id);
        if let Some(waiter) = found {
            waiter.regions = regions.clone();
        }
    }

    /// Who should get the next place: those that hope for their wanted latency
    /// before those that do not; among them those that can still be in time,
    /// by rank, the longest waiting first. Passes over those that may be served
    /// in regions alone that are `full`.
    pub fn next(&self, now: Millis, full: &[AllowedRegions]) -> Option<WaiterId> {
        let has_room = |waiter: &&Waiter| !full.iter().any(|full| full.covers(&waiter.regions));
        let hopeful = self.useful(now).filter(has_room);
        let first = hopeful.min_by_key(|waiter| rank(now, waiter));
        first.map(|waiter| waiter.id)
    }

    /// Whether a request is among the first `count` of those of its line that
    /// wait for the same places.
    pub fn is_among_first(&self, count: usize, id: WaiterId, now: Millis) -> bool {
        let Some(own) = self.waiters.iter().find(|waiter| waiter.id == id) else {
            return false;
        };
        let same_line = self
            .useful(now)
            .filter(|waiter| waiter.line == own.line && waiter.regions.covers(&own.regions));
        let before = same_line.filter(|waiter| rank(now, waiter) < rank(now, own));
        before.count() < count
    }

    fn useful(&self, now: Millis) -> impl Iterator<Item = &Waiter> {
        self.waiters.iter().filter(move |waiter| now < waiter.until)
    }

    /// Requests whose time is over at `now`.
    pub fn expired(&self, now: Millis) -> Vec<WaiterId> {
        let over = self.waiters.iter().filter(|waiter| now >= waiter.until);
        over.map(|waiter| waiter.id).collect()
    }
}

fn rank(now: Millis, waiter: &Waiter) -> (WaitClass, bool, u8, Millis, u64) {
    let late = now > waiter.wanted_by;
    (
        waiter.line,
        late,
        waiter.priority,
        waiter.since,
        waiter.id.0,
    )
}
