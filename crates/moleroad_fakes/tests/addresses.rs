//! Allocation of the ports that a deployment's processes listen on.

use moleroad_fakes::address::{free_port, free_ports};
use moleroad_fakes::prelude::{AddressPool, Process};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Enough ports that duplicates would occur if a port were released before the last one
/// is chosen.
const PORTS: usize = 1_000;
/// Number of threads that start processes during port allocation.
const PROCESS_START_THREADS: usize = 8;

#[test]
fn ports_of_one_instance_all_differ() {
    let ports: [_; PORTS] = free_ports(AddressPool::new().next_ip());
    let distinct: BTreeSet<_> = ports.iter().collect();
    assert_eq!(distinct.len(), PORTS);
}

/// Guards against ports that remain in use after allocation: between fork and exec, a child
/// process has the listening sockets of its parent open.
#[test]
fn drawn_ports_are_free_while_other_processes_are_started() {
    let log = std::env::temp_dir().join(format!("moleroad-{:016x}.log", rand::random::<u64>()));
    let is_done = AtomicBool::new(false);
    let start_processes = || {
        while !is_done.load(Ordering::Relaxed) {
            Process::start(Path::new("true"), Vec::new(), log.clone()).unwrap();
        }
    };
    let ip = AddressPool::new().next_ip();
    let in_use = thread::scope(|scope| {
        for _ in 0..PROCESS_START_THREADS {
            scope.spawn(start_processes);
        }
        let is_in_use = |_: &usize| TcpListener::bind(free_port(ip)).is_err();
        let in_use = (0..PORTS).filter(is_in_use).count();
        is_done.store(true, Ordering::Relaxed);
        in_use
    });
    let _ = std::fs::remove_file(log);
    assert_eq!(in_use, 0, "some of {PORTS} allocated ports are in use");
}
