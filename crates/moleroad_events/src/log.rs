//! A bounded ring of the events of one process.

use crate::clock::{HybridClock, Stamp};
use crate::event::{Event, EventKind};
use moleroad_types::prelude::InstanceId;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// Events that a process keeps.
pub const MAX_EVENTS: usize = 8_192;

/// The events of one process, newest last; the oldest give way.
#[derive(Debug)]
pub struct EventLog {
    instance: InstanceId,
    ring: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    clock: HybridClock,
    events: VecDeque<Event>,
}

impl EventLog {
    /// An empty log of the process on `instance`.
    pub fn new(instance: InstanceId) -> Self {
        Self { instance, ring: Mutex::default() }
    }

    /// Records an event now.
    pub fn record(&self, kind: EventKind) -> Stamp {
        let mut ring = self.lock();
        let at = ring.clock.tick(unix_ms());
        if ring.events.len() == MAX_EVENTS {
            ring.events.pop_front();
        }
        ring.events.push_back(Event { at, instance: self.instance.clone(), kind });
        at
    }

    /// A stamp to send with a message.
    pub fn stamp(&self) -> Stamp {
        self.lock().clock.tick(unix_ms())
    }

    /// Takes note of the stamp that came with a message.
    pub fn observe(&self, stamp: Stamp) {
        self.lock().clock.observe(unix_ms(), stamp);
    }

    /// All events kept, oldest first.
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Milliseconds since the Unix epoch by this machine's wall clock.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
