//! What fails while callers' requests are under way, with real processes.

use moleroad_fakes::caller::{caller_get, caller_post};
use moleroad_fakes::deployment::{account_key, weights_of};
use moleroad_fakes::prelude::*;
use moleroad_fakes::process::Signal;
use moleroad_types::label::Operator;
use moleroad_types::object::{REGION_LABEL, Replicas};
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const BOOKINGS: &str = "/v1/services/depot-api/bookings";

fn shape() -> DeploymentShape {
    DeploymentShape {
        engines: 2,
        services: vec![("depot-api", 2)],
        ..DeploymentShape::small()
    }
}

/// A deployment in which both engines serve `pallets/notes`.
fn start(shape: DeploymentShape) -> (Deployment, RootDigest) {
    let engines = shape.engines as u32;
    let mut deployment = Deployment::start(shape).unwrap();
    deployment.add_account("pallets", 300, 5_000).unwrap();
    deployment.add_account("labs", 300, 5_000).unwrap();
    deployment
        .add_service("depot-api", &["pallets", "labs"])
        .unwrap();
    let everywhere = vec![Requirement {
        key: REGION_LABEL.into(),
        operator: Operator::Exists,
        values: vec![],
    }];
    deployment
        .select("notes", "pallets", "notes", everywhere, Replicas::All)
        .unwrap();
    let root = deployment
        .publish(
            "pallets",
            "notes",
            "v1",
            &weights_of(1, 256 << 10),
            64 << 10,
        )
        .unwrap();
    deployment.wait_serving("notes", root, engines);
    for (_, entry) in deployment.entries() {
        until("the entry to know routes", || {
            (engines == 0 || ask(*entry, 1).status == 200).then_some(())
        });
        until("the entry to know services", || {
            (read_slots(*entry).status == 200).then_some(())
        });
    }
    (deployment, root)
}

fn read_slots(entry: SocketAddr) -> CallerAnswer {
    caller_get(
        entry,
        "/v1/services/depot-api/slots",
        &account_key("pallets"),
    )
}

fn ask(entry: SocketAddr, tokens: u64) -> CallerAnswer {
    let body =
        format!("{{\"model\":\"notes\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":{tokens}}}");
    caller_post(
        entry,
        "/v1/completions",
        &account_key("pallets"),
        &BTreeMap::new(),
        &body,
    )
}

fn book(entry: SocketAddr, key: &str, body: &str) -> CallerAnswer {
    let headers = BTreeMap::from([("Idempotency-Key", key.to_string())]);
    caller_post(entry, BOOKINGS, &account_key("pallets"), &headers, body)
}

/// How often each body ran, over both services.
fn runs(deployment: &Deployment) -> BTreeMap<String, u64> {
    let mut total = BTreeMap::new();
    for service in ["depot-api-0", "depot-api-1"] {
        let counts = caller_get(deployment.target(service), "/runs", "").json();
        for (body, count) in counts.as_object().into_iter().flatten() {
            *total.entry(body.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    total
}

/// The engine on which a request began to run.
fn busy_engine(deployment: &Deployment, before: &BTreeMap<String, u64>) -> String {
    until("a request to begin", || {
        let started = started_counts(deployment);
        started
            .into_iter()
            .find(|(name, count)| *count > before[name])
            .map(|(name, _)| name)
    })
}

fn started_counts(deployment: &Deployment) -> BTreeMap<String, u64> {
    let names = ["engine-0", "engine-1"];
    let count = |name: &&str| {
        caller_get(deployment.target(name), "/state", "").json()["started"]
            .as_u64()
            .unwrap_or(0)
    };
    names
        .iter()
        .map(|name| (name.to_string(), count(name)))
        .collect()
}

#[test]
fn a_stream_whose_engine_dies_goes_on_whole_at_another_replica() {
    let (mut deployment, root) = start(DeploymentShape {
        token_time: Duration::from_millis(20),
        ..shape()
    });
    for victim in ["-target", ""] {
        let before = started_counts(&deployment);
        let entry = deployment.entry(0);
        let asking = thread::spawn(move || ask(entry, 60));
        let engine = busy_engine(&deployment, &before);
        let name = format!("{engine}{victim}");
        deployment.process(&name).kill();
        let answer = asking.join().unwrap();
        assert!(
            answer.is_stream_of(root, 60),
            "{name} was killed: {answer:?}"
        );
        deployment.process(&name).restart().unwrap();
        deployment.wait_serving("notes", root, 2);
        until("both replicas to be routed to", || {
            let counts = started_counts(&deployment);
            ask(entry, 1);
            let after = started_counts(&deployment);
            (after[&engine] > counts[&engine]).then_some(())
        });
    }
}

#[test]
fn a_stream_that_nobody_can_go_on_with_is_not_passed_off_as_whole() {
    let (mut deployment, _) = start(DeploymentShape {
        token_time: Duration::from_millis(20),
        ..shape()
    });
    let before = started_counts(&deployment);
    let entry = deployment.entry(0);
    let asking = thread::spawn(move || ask(entry, 100));
    busy_engine(&deployment, &before);
    deployment.process("engine-0-target").kill();
    deployment.process("engine-1-target").kill();
    let answer = asking.join().unwrap();
    assert!(!answer.whole, "{answer:?}");
    assert!(
        answer.body.contains("MR-2011") && !answer.body.contains("[DONE]"),
        "{answer:?}"
    );
}

#[test]
fn a_target_that_is_gone_before_the_request_costs_the_caller_nothing() {
    let (mut deployment, _) = start(shape());
    deployment.process("depot-api-0-target").kill();
    for number in 0..10 {
        let answer = book(
            deployment.entry(0),
            &format!("key-{number}"),
            &format!("booking {number}"),
        );
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(runs(&deployment).values().all(|count| *count == 1));
}

#[test]
fn a_booking_whose_agent_dies_while_it_runs_is_unknown_and_never_runs_again() {
    let (mut deployment, _) = start(DeploymentShape {
        service_time: Duration::from_millis(1_500),
        ..shape()
    });
    let entry = deployment.entry(0);
    let booking = thread::spawn(move || book(entry, "key-1", "one booking"));
    until("the booking to run", || {
        runs(&deployment).contains_key("one booking").then_some(())
    });
    deployment.process("depot-api-0").kill();
    deployment.process("depot-api-1").kill();
    let answer = booking.join().unwrap();
    assert_eq!(
        (answer.status, answer.code.as_deref()),
        (502, Some("MR-2010")),
        "{answer:?}"
    );
    deployment.process("depot-api-0").restart().unwrap();
    deployment.process("depot-api-1").restart().unwrap();
    until("the service to be routed to", || {
        (read_slots(entry).status == 200).then_some(())
    });
    let again = book(deployment.entry(1), "key-1", "one booking");
    assert_eq!(again.code.as_deref(), Some("MR-2010"), "{again:?}");
    assert_eq!(runs(&deployment)["one booking"], 1);
}

#[test]
fn a_booking_repeated_at_another_entry_while_it_runs_runs_once() {
    let (deployment, _) = start(DeploymentShape {
        service_time: Duration::from_millis(800),
        ..shape()
    });
    let entry = deployment.entry(0);
    let booking = thread::spawn(move || book(entry, "key-1", "one booking"));
    until("the booking to run", || {
        runs(&deployment).contains_key("one booking").then_some(())
    });
    let meanwhile = book(deployment.entry(1), "key-1", "one booking");
    assert_eq!(
        (meanwhile.status, meanwhile.code.as_deref()),
        (409, Some("MR-2013")),
        "{meanwhile:?}"
    );
    assert!(meanwhile.retry_after.is_some(), "it says when to come back");
    let first = booking.join().unwrap();
    assert_eq!(first.status, 200);
    let repeated = book(deployment.entry(2), "key-1", "one booking");
    assert_eq!((repeated.status, &repeated.body), (200, &first.body));
    let other = book(deployment.entry(2), "key-1", "another booking");
    assert_eq!(
        (other.status, other.code.as_deref()),
        (422, Some("MR-2012")),
        "{other:?}"
    );
    assert_eq!(runs(&deployment).get("one booking"), Some(&1));
    assert_eq!(runs(&deployment).get("another booking"), None);
}

#[test]
fn an_entry_frozen_while_it_holds_a_claim_runs_the_booking_once() {
    let (mut deployment, _) = start(DeploymentShape {
        entries: 4,
        service_time: Duration::from_millis(1_000),
        ..shape()
    });
    // The last entry is no control member, so that freezing it stops no log.
    let entry = deployment.entry(3);
    let booking = thread::spawn(move || book(entry, "key-1", "one booking"));
    until("the booking to run", || {
        runs(&deployment).contains_key("one booking").then_some(())
    });
    deployment.process("entry-3").signal(Signal::Stop);
    thread::sleep(Duration::from_millis(1_200));
    let meanwhile = book(deployment.entry(0), "key-1", "one booking");
    assert_eq!(meanwhile.code.as_deref(), Some("MR-2013"), "{meanwhile:?}");
    deployment.process("entry-3").signal(Signal::Continue);
    assert_eq!(booking.join().unwrap().status, 200);
    assert_eq!(
        book(deployment.entry(0), "key-1", "one booking").status,
        200
    );
    assert_eq!(runs(&deployment)["one booking"], 1);
}

#[test]
fn bookings_through_the_death_of_the_claims_leader_run_at_most_once_and_refusals_are_true() {
    let (mut deployment, _) = start(shape());
    let leader = until("the leader's name", || deployment.leader());
    let entries: Vec<SocketAddr> = deployment
        .entries()
        .iter()
        .filter(|(name, _)| *name != leader)
        .map(|(_, address)| *address)
        .collect();
    let next = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..4)
        .map(|number| {
            let (entry, next) = (entries[number % entries.len()], Arc::clone(&next));
            thread::spawn(move || {
                let mut answers = Vec::new();
                for _ in 0..40 {
                    let booking = format!("booking {}", next.fetch_add(1, Ordering::AcqRel));
                    answers.push((booking.clone(), book(entry, &booking, &booking)));
                }
                answers
            })
        })
        .collect();
    until("bookings to be under way", || {
        (next.load(Ordering::Acquire) > 20).then_some(())
    });
    deployment.process(leader.as_str()).kill();
    let answers: Vec<_> = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap())
        .collect();
    let runs = runs(&deployment);
    assert!(
        answers
            .iter()
            .filter(|(_, answer)| answer.status == 200)
            .count()
            > 20
    );
    for (booking, answer) in answers {
        let count = runs.get(&booking).copied().unwrap_or(0);
        assert!(count <= 1, "{booking} ran {count} times");
        match answer.status {
            200 => assert_eq!(count, 1, "{booking}"),
            _ if answer.body.contains("\"not_run\"") => {
                assert_eq!(count, 0, "a false refusal of {booking}: {answer:?}")
            }
            _ => {}
        }
    }
}

#[test]
fn each_caller_gets_its_own_answer_under_concurrency() {
    let (deployment, _) = start(DeploymentShape {
        service_time: Duration::from_millis(3),
        ..shape()
    });
    let threads: Vec<_> = (0..12)
        .map(|number| {
            let entry = deployment.entry(number % 3);
            thread::spawn(move || {
                for turn in 0..40 {
                    let body = format!("caller {number} turn {turn}");
                    let answer = caller_post(
                        entry,
                        "/v1/services/depot-api/echo",
                        &account_key("pallets"),
                        &BTreeMap::new(),
                        &body,
                    );
                    assert_eq!(answer.status, 200, "{answer:?}");
                    assert_eq!(answer.json()["echo"], body);
                }
            })
        })
        .collect();
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
}

/// Callers that ask for streams through the entries that are listed, as the
/// interface asks them to, and count what was cut.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<Vec<CallerAnswer>>>,
}

impl Load {
    fn start(listing: SocketAddr, root: RootDigest, callers: usize) -> Self {
        let (stop, answered): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let threads = (0..callers).map(|number| {
            let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
            thread::spawn(move || {
                let mut bad = Vec::new();
                while !stop.load(Ordering::Acquire) {
                    let listed = caller_get(listing, "/v1/entries", "").json();
                    let entries = listed["entries"].as_array().cloned().unwrap_or_default();
                    let Some(entry) = entries.get(number % entries.len().max(1)) else {
                        continue;
                    };
                    let Some(Ok(address)) = entry["address"].as_str().map(str::parse) else {
                        continue;
                    };
                    let answer = ask(address, 8);
                    if answer.is_stream_of(root, 8) {
                        answered.fetch_add(1, Ordering::AcqRel);
                    } else {
                        bad.push(answer);
                    }
                }
                bad
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

    /// Waits for more answers.
    fn wait_more(&self) {
        let before = self.answered();
        until("more answers", || {
            (self.answered() > before + 40).then_some(())
        });
    }

    /// Ends the load and returns the answers that were not whole.
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
    let load = Load::start(deployment.entry(0), root, 8);
    load.wait_more();
    // An agent, an entry, and a control member that is an entry too.
    for name in ["engine-1", "entry-3", "entry-2"] {
        deployment.process(name).signal(Signal::Terminate);
        let status = until("the process to end by itself", || {
            deployment.process(name).exit_status()
        });
        assert!(status.success(), "{name}: {status}");
        load.wait_more();
    }
    let bad = load.stop();
    assert!(
        bad.is_empty(),
        "{} of the answers: {:?}",
        bad.len(),
        bad.first()
    );
}

#[test]
fn a_target_listed_as_leaving_gets_no_new_work() {
    let (deployment, root) = start(shape());
    let load = Load::start(deployment.entry(0), root, 4);
    load.wait_more();
    deployment.list_leaving(&["engine-0"]).unwrap();
    until("the route to be withdrawn", || {
        let before = started_counts(&deployment);
        load.wait_more();
        let after = started_counts(&deployment);
        (after["engine-0"] == before["engine-0"] && after["engine-1"] > before["engine-1"])
            .then_some(())
    });
    let bad = load.stop();
    assert!(bad.is_empty(), "{:?}", bad.first());
}

#[test]
fn slow_and_hostile_callers_do_not_keep_others_from_being_served() {
    let (deployment, root) = start(shape());
    let entry = deployment.entry(0);
    let key = account_key("labs");
    // Half-open connections and bodies that never come.
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
        let answer = ask(entry, 4);
        assert!(answer.is_stream_of(root, 4), "{answer:?}");
        served += 1;
    }
    assert_eq!(served, 30);
    flood.join().unwrap();
    // Another account's key and another account's model reach nothing.
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
        "a refusal reveals nothing"
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
                            "a refusal says when to come back"
                        );
                        refused.fetch_add(1, Ordering::AcqRel);
                    }
                }
            })
        })
        .collect();
    until("the flood to be refused", || {
        (refused.load(Ordering::Acquire) > 20).then_some(())
    });
    for _ in 0..20 {
        assert!(ask(entry, 4).is_stream_of(root, 4));
        assert_eq!(read_slots(entry).status, 200);
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
    let refused = until("the entry to refuse", || {
        let answer = ask(entry, 1);
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
    until("the entry to serve again", || {
        ask(entry, 2).is_stream_of(root, 2).then_some(())
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
    // How long such a request takes is known from the first one.
    assert_eq!(ask(entry, 50).status, 200);
    // Ten requests of a second each wait for one place.
    let waiting: Vec<_> = (0..10)
        .map(|_| thread::spawn(move || ask(entry, 50)))
        .collect();
    let headers = BTreeMap::from([("X-Deadline-Ms", "2000".to_string())]);
    let body = r#"{"model":"notes","prompt":"x","stream":true,"max_tokens":50}"#;
    let answer = until("a refusal for the deadline", || {
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
