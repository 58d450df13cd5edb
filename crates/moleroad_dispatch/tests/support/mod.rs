//! A target for tests of the choice; each test changes the relevant fields.

#![allow(dead_code)]

use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::{Candidate, Distance};
use moleroad_types::prelude::Region;

/// Returns a target in the entry's hall with this many slots, all of them the entry's,
/// that may get requests now.
pub fn target(name: &str, slots: u32) -> Candidate {
    Candidate {
        id: TargetId::new(name),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots,
        max_own: slots,
        share: slots,
        distance: Distance::SameHall,
        region: Region::new("r"),
        evacuated: false,
        version: Some(1),
        switching: false,
        slowness: 1.0,
        agent: None,
        cold: None,
        limit: None,
        granted_until: None,
        backoff_until: None,
    }
}

/// Returns a target with four slots at this distance.
pub fn candidate(name: &str, distance: Distance) -> Candidate {
    Candidate {
        distance,
        ..target(name, 4)
    }
}
