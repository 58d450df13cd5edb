//! The records of the daemons in a simulated fleet, by their numbers.

use moleroad_directory::prelude::*;
use moleroad_types::prelude::*;
use std::net::SocketAddr;

/// Returns the peer address of a daemon, which is also used for its other addresses.
pub fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

/// Returns the record of a daemon. In each data hall, five of every nine daemons are
/// entries and the others agents.
pub fn record(number: usize, halls: usize) -> DaemonRecord {
    let is_agent = number % 9 >= 5;
    let hall = format!("data-hall-{}", number % halls);
    let instance = InstanceId::new(format!("instance-{hall}-{number}"));
    let role = if is_agent {
        DaemonRole::Agent
    } else {
        DaemonRole::Entry
    };
    DaemonRecord {
        incarnation: u64::MAX - number as u64,
        frontend: (!is_agent).then(|| address(number)),
        control: (!is_agent).then(|| address(number)),
        region: format!("region-{hall}"),
        engine: is_agent.then(|| address(number)),
        service: is_agent.then(|| "assistant".to_string()),
        pieces: if is_agent {
            vec![PieceMap::empty("model", 1, 48)]
        } else {
            Vec::new()
        },
        report: is_agent.then(EngineReport::default),
        ..DaemonRecord::new(instance, role, address(number), hall)
    }
}
