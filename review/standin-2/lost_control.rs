//! A core of five: one machine is taken away, another loses its disk and comes back, then
//! machines that lead stand still, one at a time. Never more than two of five are lost.

use crate::record::Record;
use crate::system::System;
use crate::{Outcome, configuration};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

const CORES: usize = 5;
/// A machine counts as lost until so long after its start or its waking.
const CATCH_UP_MS: u64 = 4_200;
/// How long a machine that leads stands still.
const FROZEN_MS: u64 = 3_500;
/// At most so many machines stand still, one after the other.
const ROUNDS: u64 = 8;
/// Time for the operator to read the configuration at the end: AckMs, and StretchMs.
const READ_MS: u64 = 12_000;

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Returns a number by which the daemons order the founding members of a group.
fn order(system: &System, number: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    "founding member".hash(&mut hasher);
    system.peer_address(number).hash(&mut hasher);
    hasher.finish()
}

/// Sends a change until it is acknowledged, for a while; returns whether it was.
fn is_acknowledged(system: &System, version: u64, limit_ms: u64) -> bool {
    let route = ("label", "/label/", "depot-api", "unsafe", 1_500, 150);
    let document = configuration(version, &[route], &["depot-api"]);
    let until = Instant::now() + Duration::from_millis(limit_ms);
    let count = system.entries.len();
    for attempt in 0.. {
        // The entries, which always run.
        let number = CORES + attempt % (count - CORES);
        let answer = system.control(number, "POST", "/v1/config/replace", &document);
        if answer.is_some_and(|answer| answer.status() == 200) {
            system
                .record
                .note(&format!("operator: version {version} is acknowledged"));
            return true;
        }
        if Instant::now() > until {
            break;
        }
        sleep(50);
    }
    system.record.note(&format!(
        "operator: version {version} is not acknowledged for {limit_ms} ms"
    ));
    false
}

/// Reads the configuration at all daemons that run, until one gives it.
fn is_read(system: &System, limit_ms: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    let mut last = 0;
    while Instant::now() < until {
        for number in 0..system.entries.len() {
            if system.entries[number].child.is_none() {
                continue;
            }
            let answer = system.control(number, "GET", "/v1/config/read", "");
            last = answer.as_ref().map_or(0, |answer| answer.status());
            if last == 200 {
                let text = answer.map(|answer| answer.text()).unwrap_or_default();
                let version = text.split(',').next().unwrap_or_default().to_string();
                system.record.note(&format!(
                    "operator: reads {version} at {}",
                    system.entries[number].name
                ));
                return true;
            }
        }
        sleep(100);
    }
    system.record.note(&format!(
        "operator: no daemon gives the configuration for {limit_ms} ms (the last says {last})"
    ));
    false
}

pub fn play(record: Record, trouble: bool) -> Result<Outcome, String> {
    let mut system = System::start_with_core(record.clone(), CORES, 2);
    if !is_acknowledged(&system, 1, 10_000) {
        return Err("the first configuration is not taken".into());
    }
    // The group grows to five members.
    sleep(6_000);
    let mut founders: Vec<usize> = (0..3).collect();
    founders.sort_by_key(|number| order(&system, *number));
    let gone = founders[0];
    record.note("one machine of the core is taken away for good");
    system.kill(gone);
    sleep(4_000);
    let leader = system.leader().ok_or("no leader")?;
    let wiped = if founders[1] == leader {
        founders[2]
    } else {
        founders[1]
    };
    if trouble {
        record.note("another one loses its disk and comes back 1 s later");
        system.kill(wiped);
        system.wipe(wiped);
        sleep(1_000);
        system.start_entry(wiped, false);
    }
    sleep(CATCH_UP_MS + 1_000);
    let mut version = 2;
    if !is_acknowledged(&system, version, 4_000) {
        return Err("no change is taken with one machine gone".into());
    }
    let mut is_suspicious = false;
    for _ in 0..ROUNDS {
        let leader = system.leader().ok_or("no leader")?;
        record.note("the machine that leads stands still");
        system.signal(leader, "STOP");
        sleep(1_500);
        version += 1;
        is_suspicious = !is_acknowledged(&system, version, FROZEN_MS - 1_500);
        system.signal(leader, "CONT");
        sleep(CATCH_UP_MS);
        if is_suspicious {
            break;
        }
    }
    // Nobody is lost now but the one that is gone. A second one goes, and the day ends.
    let second = system
        .leader()
        .filter(|leader| *leader != wiped && *leader != gone);
    let second = second.or_else(|| (0..CORES).find(|core| *core != wiped && *core != gone));
    record.note("a second machine of the core is taken away; three of five run, the core stays so");
    system.kill(second.ok_or("no machine")?);
    sleep(3_000);
    let is_read = is_read(&system, READ_MS);
    for number in 0..CORES {
        let log = system.log(number);
        for line in log
            .lines()
            .filter(|line| line.contains("\"event\":\"panic\""))
        {
            record.note(&format!("{} wrote: {line}", system.entries[number].name));
        }
    }
    if !is_read {
        record.note("CONFIG: read back at the end of the day, the configuration does not come");
    }
    record.note(&format!(
        "a change was not acknowledged while a machine stood still: {is_suspicious}"
    ));
    Ok(if is_read {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
