//! Addresses that a deployment's programs listen on.

use moleroad_fakes::address::{free_port, free_ports};
use moleroad_fakes::prelude::{AddressPool, Process};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// So many that two would be equal if a port were let go before the last is
/// chosen.
const PORTS: usize = 1_000;
/// Threads that start processes while ports are drawn.
const STARTING_THREADS: usize = 8;

#[test]
fn ports_of_one_instance_all_differ() {
    let ports: [_; PORTS] = free_ports(AddressPool::new().next_ip());
    let distinct: BTreeSet<_> = ports.iter().collect();
    assert_eq!(distinct.len(), PORTS);
}

/// A process that is just being started has what its parent had open.
#[test]
fn drawn_ports_are_free_while_other_processes_are_started() {
    let log = std::env::temp_dir().join(format!("moleroad-{:016x}.log", rand::random::<u64>()));
    let is_over = AtomicBool::new(false);
    let start_processes = || {
        while !is_over.load(Ordering::Relaxed) {
            Process::start(Path::new("true"), Vec::new(), log.clone()).unwrap();
        }
    };
    let ip = AddressPool::new().next_ip();
    let taken = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(start_processes);
        }
        let is_taken = |_: &usize| TcpListener::bind(free_port(ip)).is_err();
        let taken = (0..PORTS).filter(is_taken).count();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    let _ = std::fs::remove_file(log);
    assert_eq!(taken, 0, "of {PORTS} ports");
}
