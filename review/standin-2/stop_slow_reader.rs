//! An entry is asked to stop while a client reads its answer slowly.

use crate::http::Connection;
use crate::record::Record;
use crate::system::System;
use crate::target::Target;
use crate::{Outcome, configuration, request};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT_MS: u64 = 6_000;
const ANSWER_BYTES: usize = 400_000;
/// For how long the slow client reads nothing.
const PAUSE_MS: u64 = 4_000;

pub fn play(record: Record, trouble: bool) -> Result<Outcome, String> {
    let system = System::start(record.clone(), 160);
    let controls: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.control).collect();
    let target = Target::start(&record, "i-0", "depot-api", "cardiff-hall", 6);
    let route = ("label", "/label/", "depot-api", "unsafe", TIMEOUT_MS, 400);
    system.order(
        0,
        "/v1/config/replace",
        &configuration(1, &[route], &["depot-api"]),
    );
    system.wait_for_version(1);
    target.beat_always(controls.clone());
    std::thread::sleep(Duration::from_millis(4_000));
    let frontend = system.entries[0].frontend;
    let mut connection = Connection::open(frontend, Duration::from_millis(TIMEOUT_MS))
        .map_err(|error| error.to_string())?;
    let path = format!("/label/100/{ANSWER_BYTES}");
    record.note(&format!("client: sends slow-1 (POST {path})"));
    connection
        .send(&request(&path, "slow-1", TIMEOUT_MS, "{}"))
        .map_err(|error| error.to_string())?;
    let sent = record.now();
    std::thread::sleep(Duration::from_millis(50));
    system.signal(0, "TERM");
    if trouble {
        record.note(&format!("client: reads nothing for {PAUSE_MS} ms"));
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    let answer = connection.read();
    let took = (record.now() - sent).as_millis();
    let (complete, bytes) = match &answer {
        Ok(Some(answer)) => (answer.complete, answer.body.len()),
        _ => (false, 0),
    };
    record.note(&format!("client: slow-1 has {bytes} bytes of the body, complete: {complete}, {took} ms after it was sent"));
    if target.runs_of("slow-1").len() != 1 {
        return Err("the request did not run".into());
    }
    Ok(if complete {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
