//! Addresses that a deployment's programs listen on.

use moleroad_fakes::address::free_ports;
use moleroad_fakes::prelude::AddressPool;
use std::collections::BTreeSet;

/// So many that two would be equal if a port were let go before the last is
/// chosen.
const PORTS: usize = 1_000;

#[test]
fn ports_of_one_instance_all_differ() {
    let ports: [_; PORTS] = free_ports(AddressPool::new().next_ip());
    let distinct: BTreeSet<_> = ports.iter().collect();
    assert_eq!(distinct.len(), PORTS);
}
