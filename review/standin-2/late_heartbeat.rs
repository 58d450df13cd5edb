//! The first heartbeat of a new engine is held back by a cut. The engine crashes behind the
//! cut and starts again; the new incarnation registers; then the old heartbeat arrives.

use crate::http::{Connection, call};
use crate::record::Record;
use crate::system::System;
use crate::target::Target;
use crate::{Outcome, configuration, request};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT_MS: u64 = 1_500;
/// How long the cut lasts, and when what it held back arrives after that: TCP sends again
/// after a growing pause.
const CUT_MS: u64 = 4_000;
const RESENT_MS: u64 = 2_000;
/// Requests on each of the two routes.
const REQUESTS: usize = 40;

/// Sends one request on a connection of its own; returns whether it was served.
fn is_served(record: &Record, frontend: SocketAddr, path: &str, id: &str) -> bool {
    let limit = Duration::from_millis(TIMEOUT_MS + 500);
    let answer = Connection::open(frontend, limit)
        .ok()
        .and_then(|mut connection| {
            connection.send(&request(path, id, TIMEOUT_MS, "{}")).ok()?;
            connection.read().ok()?
        });
    let answer = answer.unwrap_or_default();
    let by = answer
        .header("server-signature")
        .unwrap_or("the entry")
        .to_string();
    record.note(&format!(
        "client: {id} (POST {path}) is answered {} by {by}: {}",
        answer.status(),
        answer.text().trim().trim_matches('x')
    ));
    answer.status() == 200 && answer.complete
}

pub fn play(record: Record, trouble: bool) -> Result<Outcome, String> {
    let system = System::start(record.clone(), 260);
    let controls: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.control).collect();
    let first = Target::start(&record, "i-first", "depot-api", "cardiff-hall", 6);
    let label = ("label", "/label/", "depot-api", "unsafe", TIMEOUT_MS, 150);
    let slots = ("slots", "/slots/", "depot-next", "unsafe", TIMEOUT_MS, 150);
    let both = ["depot-api", "depot-next"];
    system.order(0, "/v1/config/replace", &configuration(1, &[label], &both));
    system.wait_for_version(1);
    first.beat_always(controls.clone());
    std::thread::sleep(Duration::from_millis(3_000));
    // The operator adds a route to a new service, whose engine starts now.
    system.order(
        1,
        "/v1/config/replace",
        &configuration(2, &[label, slots], &both),
    );
    system.wait_for_version(2);

    let added = Target::start(&record, "i-next-1", "depot-next", "wrexham-hall", 6);
    let (path, body) = added.heartbeat();
    let held_by = controls[2];
    let send_first = move |record: &Record| {
        let answer = call(held_by, "POST", &path, "", &body, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!(
            "i-next-1: its first heartbeat arrives at a daemon and is answered {status}"
        ));
    };
    if trouble {
        record.note("cut: i-next-1 is cut from control; its first heartbeat is held back");
    } else {
        send_first(&record);
    }
    std::thread::sleep(Duration::from_millis(CUT_MS / 2));
    added.restart_as("i-next-2");
    std::thread::sleep(Duration::from_millis(CUT_MS / 2));
    if trouble {
        record.note("cut: ends");
    }
    added.beat_always(vec![controls[0], controls[1]]);
    std::thread::sleep(Duration::from_millis(RESENT_MS));
    if trouble {
        send_first(&record);
    }
    // Calm from here on; all machines were in touch all the time.
    std::thread::sleep(Duration::from_millis(5_000));
    let frontend = system.entries[0].frontend;
    let mut served = [0; 2];
    for number in 0..REQUESTS {
        for (route, path) in ["/label/30/800", "/slots/30/800"].into_iter().enumerate() {
            let id = format!("{}-{number}", ["label", "slots"][route]);
            served[route] += usize::from(is_served(&record, frontend, path, &id));
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    let beats = added.acknowledged();
    record.note(&format!("i-next-2: {beats} heartbeats were acknowledged"));
    record.note(&format!(
        "served: {} of {REQUESTS} on the first route, {} of {REQUESTS} on the one added later",
        served[0], served[1]
    ));
    if served[0] < REQUESTS * 9 / 10 || beats == 0 {
        return Err("the first route is not served either".into());
    }
    let is_broken = served[1] * 4 < served[0];
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
