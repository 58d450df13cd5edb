//! Requests under load: planned stops, hostile callers and floods, on real processes.

mod support;

use moleroad_fakes::caller::{caller_get, caller_post};
use moleroad_fakes::deployment::account_key;
use moleroad_fakes::prelude::*;
use moleroad_fakes::process::Signal;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use support::*;

/// Callers that request streams through the listed entries, as the API documents it, and
/// collect failed responses.
struct LoadGenerator {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<Vec<CallerAnswer>>>,
}

impl LoadGenerator {
    fn start(listing: SocketAddr, root: RootDigest, callers: usize) -> Self {
        let (stop, answered): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let threads = (0..callers).map(|number| {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            thread::spawn(move || {
                let mut failed = Vec::new();
                while !stop.load(Ordering::Acquire) {
                    let listed = caller_get(listing, "/v1/entries", "").json();
                    let entries = listed["entries"].as_array().cloned().unwrap_or_default();
                    let Some(entry) = entries.get(number % entries.len().max(1)) else {
                        continue;
                    };
                    let Some(Ok(address)) = entry["address"].as_str().map(str::parse) else {
                        continue;
                    };
                    let answer = request_stream(address, 8);
                    if answer.is_complete_stream(root, 8) {
                        answered.fetch_add(1, Ordering::AcqRel);
                    } else {
                        failed.push(answer);
                    }
                }
                failed
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            answered,
        }
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Acquire)
    }

    /// Waits for more than 40 further complete responses.
    fn wait_for_more(&self) {
        let before = self.answered();
        wait_until("more responses", || {
            (self.answered() > before + 40).then_some(())
        });
    }

    /// Stops the load and returns the responses that were not complete.
    fn stop(self) -> Vec<CallerAnswer> {
        self.stop.store(true, Ordering::Release);
        self.threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect()
    }
}

#[test]
fn planned_stops_of_every_role_cut_no_request() {
    let (mut deployment, root) = start(DeploymentShape {
        engines: 3,
        entries: 4,
        ..shape()
    });
    let load = LoadGenerator::start(deployment.entry(0), root, 8);
    load.wait_for_more();
    // An agent, an entry that is no control member, and an entry that is one.
    for name in ["engine-1", "entry-3", "entry-2"] {
        deployment.process(name).signal(Signal::Terminate);
        let status = wait_until("the process to end by itself", || {
            deployment.process(name).exit_status()
        });
        assert!(status.success(), "{name}: {status}");
        load.wait_for_more();
    }
    let failed = load.stop();
    assert!(
        failed.is_empty(),
        "{} failed responses, the first: {:?}",
        failed.len(),
        failed.first()
    );
}

#[test]
fn a_target_listed_as_leaving_gets_no_new_work() {
    let (deployment, root) = start(shape());
    let load = LoadGenerator::start(deployment.entry(0), root, 4);
    load.wait_for_more();
    deployment.set_leaving(&["engine-0"]).unwrap();
    wait_until("the route to be withdrawn", || {
        let before = started_counts(&deployment);
        load.wait_for_more();
        let after = started_counts(&deployment);
        (after["engine-0"] == before["engine-0"] && after["engine-1"] > before["engine-1"])
            .then_some(())
    });
    let failed = load.stop();
    assert!(failed.is_empty(), "{:?}", failed.first());
}

#[test]
fn slow_and_hostile_callers_do_not_keep_others_from_being_served() {
    let (deployment, root) = start(shape());
    let entry = deployment.entry(0);
    let key = account_key("labs");
    // Connections with incomplete heads and bodies that never arrive.
    let mut open = Vec::new();
    for number in 0..200 {
        let mut stream = TcpStream::connect(entry).unwrap();
        let head = match number % 3 {
            0 => "POST /v1/comp".to_string(),
            1 => format!("POST {BOOKINGS} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\nContent-Length: 90000\r\n\r\nhalf"),
            _ => "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\nContent-Length: 90000\r\n\r\n".into(),
        };
        stream.write_all(head.as_bytes()).unwrap();
        open.push(stream);
    }
    let flood = thread::spawn(move || {
        let mut stream = TcpStream::connect(entry).unwrap();
        let _ = stream.write_all(b"GET /v1/entries HTTP/1.1\r\n");
        for number in 0..20_000 {
            if stream
                .write_all(format!("X-Flood-{number}: {number}\r\n").as_bytes())
                .is_err()
            {
                break;
            }
        }
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let _ = stream.read(&mut [0; 64]);
    });
    let mut served = 0;
    for _ in 0..30 {
        let answer = request_stream(entry, 4);
        assert!(answer.is_complete_stream(root, 4), "{answer:?}");
        served += 1;
    }
    assert_eq!(served, 30);
    flood.join().unwrap();
    // A key of one account grants no access to the model of another.
    let foreign = caller_post(
        entry,
        "/v1/completions",
        &key,
        &BTreeMap::new(),
        r#"{"model":"notes"}"#,
    );
    assert_eq!(foreign.code.as_deref(), Some("MR-2005"), "{foreign:?}");
}

#[test]
fn an_agent_takes_requests_and_chunk_draws_from_its_own_system_only() {
    let (deployment, root) = start(shape());
    let agent = deployment.agents()[&InstanceId::new("engine-0")];
    let request = BTreeMap::from([
        ("X-Request-Id", "r-1".to_string()),
        ("X-Moleroad-Account", "pallets".to_string()),
        ("X-Moleroad-Incarnation", "1".to_string()),
        ("X-Moleroad-Root", root.to_hex()),
        ("X-Moleroad-Proof", "00".repeat(32)),
    ]);
    let answer = caller_post(
        agent,
        "/run/v1/completions",
        "",
        &request,
        r#"{"model":"notes"}"#,
    );
    assert_eq!(answer.code.as_deref(), Some("MR-2003"), "{answer:?}");
    let held = caller_get(agent, &format!("/chunks/{root}/0"), "");
    let not_held = caller_get(
        agent,
        &format!("/chunks/{}/0", RootDigest::of(b"other")),
        "",
    );
    assert_eq!(held.code.as_deref(), Some("MR-4002"));
    assert_eq!(
        (held.status, &held.body),
        (not_held.status, &not_held.body),
        "the rejection must not reveal whether chunks are held"
    );
}

#[test]
fn an_account_that_floods_is_refused_and_others_are_served() {
    let (mut deployment, root) = start(DeploymentShape {
        target_places: 4,
        token_time: Duration::from_millis(5),
        ..shape()
    });
    deployment.add_account("labs", 12, 5_000).unwrap();
    let entry = deployment.entry(0);
    let stop = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(AtomicU64::new(0));
    let flood: Vec<_> = (0..24)
        .map(|_| {
            let (stop, refused) = (Arc::clone(&stop), Arc::clone(&refused));
            thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let answer =
                        caller_get(entry, "/v1/services/depot-api/slots", &account_key("labs"));
                    if answer.code.as_deref() == Some("MR-2006") {
                        assert!(
                            answer.retry_after.is_some(),
                            "the rejection must contain Retry-After"
                        );
                        refused.fetch_add(1, Ordering::AcqRel);
                    }
                }
            })
        })
        .collect();
    wait_until("the flood to be rejected", || {
        (refused.load(Ordering::Acquire) > 20).then_some(())
    });
    for _ in 0..20 {
        assert!(request_stream(entry, 4).is_complete_stream(root, 4));
        assert_eq!(send_read(entry).status, 200);
    }
    stop.store(true, Ordering::Release);
    flood.into_iter().for_each(|thread| thread.join().unwrap());
}

#[test]
fn an_entry_that_cannot_show_that_it_is_current_refuses_as_not_run() {
    let (mut deployment, root) = start(DeploymentShape {
        entries: 4,
        ..shape()
    });
    let entry = deployment.entry(3);
    for name in ["entry-0", "entry-1", "entry-2"] {
        deployment.process(name).signal(Signal::Stop);
    }
    let refused = wait_until("the entry to reject requests", || {
        let answer = request_stream(entry, 1);
        (answer.status != 200).then_some(answer)
    });
    assert_eq!(
        (refused.status, refused.code.as_deref()),
        (503, Some("MR-2009")),
        "{refused:?}"
    );
    assert!(refused.body.contains("\"not_run\"") && refused.retry_after.is_some());
    for name in ["entry-0", "entry-1", "entry-2"] {
        deployment.process(name).signal(Signal::Continue);
    }
    wait_until("the entry to serve again", || {
        request_stream(entry, 2)
            .is_complete_stream(root, 2)
            .then_some(())
    });
}

#[test]
fn work_that_cannot_end_in_time_is_refused_at_once() {
    let (deployment, _) = start(DeploymentShape {
        engines: 1,
        target_places: 1,
        engine_slots: 1,
        token_time: Duration::from_millis(20),
        ..shape()
    });
    let entry = deployment.entry(0);
    // The first request provides the estimate of the service time.
    assert_eq!(request_stream(entry, 50).status, 200);
    // Ten requests of one second each wait for a single slot.
    let waiting: Vec<_> = (0..10)
        .map(|_| thread::spawn(move || request_stream(entry, 50)))
        .collect();
    let headers = BTreeMap::from([("X-Deadline-Ms", "2000".to_string())]);
    let body = r#"{"model":"notes","prompt":"x","stream":true,"max_tokens":50}"#;
    let answer = wait_until("a rejection because of the deadline", || {
        let answer = caller_post(
            entry,
            "/v1/completions",
            &account_key("pallets"),
            &headers,
            body,
        );
        (answer.code.as_deref() == Some("MR-2007")).then_some(answer)
    });
    assert!(
        answer.body.contains("\"not_run\"") && answer.retry_after.is_some(),
        "{answer:?}"
    );
    waiting.into_iter().for_each(|thread| drop(thread.join()));
}
