//! Tests of distributing a message from one daemon to many.

use moleroad_membership::prelude::{Branch, fan_out};
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn daemons(count: usize) -> Vec<(String, SocketAddr)> {
    let address = |number: usize| SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16));
    (0..count)
        .map(|number| (format!("hall-{}", number % 5), address(number)))
        .collect()
}

/// Returns the largest number of calls that one daemon makes.
fn max_calls(branches: &[Branch]) -> usize {
    let forwarded = branches.iter().map(|branch| branch.rest.len());
    forwarded.max().unwrap_or(0).max(branches.len())
}

#[test]
fn each_daemon_is_notified_once_and_within_its_hall() {
    for count in [0, 1, 9, 32, 33, 154, 556] {
        let daemons = daemons(count);
        let hall_of = |address: &SocketAddr| {
            let found = daemons.iter().find(|(_, other)| other == address);
            found.map(|(hall, _)| hall.clone())
        };
        let branches = fan_out(daemons.clone());
        let mut called = BTreeSet::new();
        for branch in &branches {
            for address in std::iter::once(&branch.head).chain(&branch.rest) {
                assert!(called.insert(*address), "{address} is called twice");
                assert_eq!(hall_of(address), hall_of(&branch.head));
            }
        }
        assert_eq!(called.len(), count);
    }
}

#[test]
fn no_daemon_makes_many_more_calls_than_the_square_root_of_the_fan_out() {
    assert_eq!(max_calls(&fan_out(daemons(30))), 30);
    for (count, most) in [(125, 20), (250, 25), (500, 30), (1_000, 40), (2_000, 55)] {
        let calls = max_calls(&fan_out(daemons(count)));
        assert!(calls <= most, "{calls} calls for {count} daemons");
    }
}

#[test]
fn a_few_daemons_are_notified_directly() {
    let branches = fan_out(daemons(32));
    assert!(branches.iter().all(|branch| branch.rest.is_empty()));
}
