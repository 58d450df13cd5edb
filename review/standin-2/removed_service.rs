//! Requests wait for a place at a service. A new configuration moves their route to another
//! service and lists the old one no more; the old engine then drains.

use crate::http::Connection;
use crate::record::Record;
use crate::system::System;
use crate::target::Target;
use crate::{Outcome, configuration, request};
use std::net::SocketAddr;
use std::time::Duration;

const DRAIN_MS: u64 = 2_000;
const TIMEOUT_MS: u64 = 20_000;
const LATENCY_MS: u64 = 15_000;
/// More requests than the engine has slots, so that some of them wait.
const REQUESTS: usize = 12;
const SLOTS: usize = 6;
/// How long each request takes at the engine.
const WORK_MS: u64 = 2_900;
/// For how long the engine serves on after the acknowledgement: DrainMs and a little longer.
const SERVED_ON_MS: u64 = 4_000;

fn send(record: &Record, frontend: SocketAddr, id: String) -> std::thread::JoinHandle<()> {
    let record = record.clone();
    std::thread::spawn(move || {
        let limit = Duration::from_millis(TIMEOUT_MS + 1_000);
        let Ok(mut connection) = Connection::open(frontend, limit) else {
            return record.note(&format!("client: {id} gets no connection"));
        };
        record.note(&format!("client: sends {id}"));
        let path = format!("/label/{WORK_MS}/800");
        let _ = connection.send(&request(&path, &id, TIMEOUT_MS, "{}"));
        let answer = connection.read().ok().flatten().unwrap_or_default();
        let by = answer.header("server-signature").unwrap_or("the entry");
        record.note(&format!(
            "client: {id} is answered {} by {by}",
            answer.status()
        ));
    })
}

pub fn play(record: Record, trouble: bool) -> Result<Outcome, String> {
    let system = System::start(record.clone(), 260);
    let controls: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.control).collect();
    let old = Target::start(&record, "i-old", "depot-api", "cardiff-hall", SLOTS);
    let new = Target::start(&record, "i-new", "depot-next", "cardiff-hall", SLOTS);
    let route = |service| {
        (
            "label", "/label/", service, "unsafe", TIMEOUT_MS, LATENCY_MS,
        )
    };
    let both = ["depot-api", "depot-next"];
    system.order(
        0,
        "/v1/config/replace",
        &configuration(1, &[route("depot-api")], &both),
    );
    system.wait_for_version(1);
    old.beat_always(controls.clone());
    new.beat_always(controls.clone());
    // All machines are in touch ContactMs (3 s) after the start.
    std::thread::sleep(Duration::from_millis(5_000));

    let frontend = system.entries[0].frontend;
    let ids = (0..REQUESTS).map(|number| format!("r-{number}"));
    let clients: Vec<_> = ids.map(|id| send(&record, frontend, id)).collect();
    std::thread::sleep(Duration::from_millis(150));
    if trouble {
        let moved = configuration(2, &[route("depot-next")], &["depot-next"]);
        system.order(1, "/v1/config/replace", &moved);
    }
    let drained = old.drain(&controls);
    std::thread::sleep(Duration::from_millis(SERVED_ON_MS));
    old.end(&controls);
    for client in clients {
        let _ = client.join();
    }
    let runs = old.0.runs.lock().map_err(|_| "runs")?.clone();
    let mut late = 0;
    for run in runs
        .iter()
        .filter(|run| run.at > drained + Duration::from_millis(DRAIN_MS))
    {
        late += 1;
        let ms = (run.at - drained).as_millis();
        record.note(&format!("DRAIN: {} reached i-old {ms} ms after it was acknowledged as draining; DrainMs is {DRAIN_MS}", run.id));
    }
    if runs.len() <= late {
        return Err("no request ran before the engine drained".into());
    }
    Ok(if late == 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
