//! Records of targets and daemons.

#![allow(dead_code, reason = "each test file uses a part of it")]

use moleroad_directory::prelude::*;
use moleroad_types::prelude::*;

/// Returns the record of a target that serves `chat`.
pub fn target(id: &str, port: u16, sequence: u64) -> TargetRecord {
    let address = format!("127.0.0.1:{port}").parse().unwrap();
    TargetRecord {
        sequence,
        ..TargetRecord::new(TargetId::new(id), "chat", address)
    }
}

/// Returns the record of an entry; callers use the port that is higher by 1,000.
pub fn entry(name: &str, hall: &str, region: &str, port: u16) -> DaemonRecord {
    let peer = format!("127.0.0.1:{port}").parse().unwrap();
    DaemonRecord {
        frontend: Some(format!("127.0.0.1:{}", port + 1000).parse().unwrap()),
        region: region.into(),
        ..DaemonRecord::new(InstanceId::new(name), DaemonRole::Entry, peer, hall)
    }
}
