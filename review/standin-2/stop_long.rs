//! An entry is asked to stop. A client whose list of entries is still valid sends it a
//! request that takes longer than the recent ones of its route.

use crate::http::{Connection, call};
use crate::record::Record;
use crate::system::System;
use crate::target::Target;
use crate::{Outcome, configuration, request};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT_MS: u64 = 6_000;
const GRACE_MS: u64 = 8_000;
/// When the client opens its connection, and when it sends the request on it, after the
/// SIGTERM.
const CONNECTED_MS: u64 = 2_950;
const SENT_MS: u64 = 3_050;

fn exchange(record: &Record, connection: &mut Connection, path: &str, id: &str) -> Option<u16> {
    record.note(&format!("client: sends {id} (POST {path})"));
    connection.send(&request(path, id, TIMEOUT_MS, "{}")).ok()?;
    let answer = connection.read();
    match answer {
        Ok(Some(answer)) if answer.complete => {
            record.note(&format!("client: {id} is answered {}", answer.status()));
            Some(answer.status())
        }
        other => {
            let what = other.map(|answer| answer.map(|answer| answer.line));
            record.note(&format!(
                "client: {id}: the connection ends without a complete answer: {what:?}"
            ));
            None
        }
    }
}

pub fn play(record: Record, trouble: bool) -> Result<Outcome, String> {
    let system = System::start(record.clone(), 260);
    let controls: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.control).collect();
    let targets = [0, 1, 2].map(|n| {
        Target::start(
            &record,
            &format!("i-{n}"),
            "depot-api",
            crate::system::HALLS[n].0,
            6,
        )
    });
    let route = ("label", "/label/", "depot-api", "unsafe", TIMEOUT_MS, 400);
    system.order(
        0,
        "/v1/config/replace",
        &configuration(1, &[route], &["depot-api"]),
    );
    system.wait_for_version(1);
    for target in &targets {
        target.beat_always(controls.clone());
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let frontend = system.entries[0].frontend;
    let limit = Duration::from_millis(TIMEOUT_MS + 3_000);
    // Usual requests of the route, for some seconds.
    for number in 0..20 {
        let mut connection =
            Connection::open(frontend, limit).map_err(|error| error.to_string())?;
        if exchange(
            &record,
            &mut connection,
            "/label/30/800",
            &format!("usual-{number}"),
        ) != Some(200)
        {
            return Err("a usual request is not served".into());
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    // The client asks the directory, and is one of those that keep its answer for three
    // times its time to live.
    let registry = system.entries[1].registry;
    let ask = "/v1/resolve?Name=depot.example&Region=south-wales&Zone=cardiff-hall";
    let list = call(registry, "GET", ask, "", "", Duration::from_secs(1));
    let list = list.map_err(|error| error.to_string())?.text();
    record.note(&format!("client: the directory answers {list}"));
    if !list.contains(&frontend.to_string()) {
        return Err("the directory does not name the entry".into());
    }
    let begun = record.now();
    if trouble {
        system.signal(0, "TERM");
    }
    std::thread::sleep((begun + Duration::from_millis(CONNECTED_MS)).saturating_sub(record.now()));
    let mut connection = Connection::open(frontend, limit)
        .map_err(|error| format!("the entry takes no connection: {error}"))?;
    record.note("client: opens a connection to the entry that its list names");
    std::thread::sleep((begun + Duration::from_millis(SENT_MS)).saturating_sub(record.now()));
    let answered = exchange(&record, &mut connection, "/label/5000/800", "long-1");
    let ran = targets
        .iter()
        .any(|target| !target.runs_of("long-1").is_empty());
    let ended = record.now();
    record.note(&format!(
        "long-1 ran: {ran}; its connection ended {} ms after the signal, {} ms after it was sent",
        (ended - begun).as_millis(),
        (ended - begun).as_millis() as u64 - SENT_MS
    ));
    // The deadline and the route's time-out are at SENT_MS + TIMEOUT_MS.
    let in_time = ended < begun + Duration::from_millis(GRACE_MS + 1_000)
        && ended < begun + Duration::from_millis(SENT_MS + TIMEOUT_MS);
    let lost = ran && answered.is_none() && in_time;
    if lost {
        record.note(
            "LOST: the request was passed on and its connection ended without a complete answer",
        );
    }
    Ok(if lost { Outcome::Broken } else { Outcome::Held })
}
