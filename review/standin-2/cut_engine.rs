//! A cut separates an engine from an entry while an answer without a length is on its way. The
//! engine crashes behind the cut, in the middle of the answer, and starts again.

use crate::http::{Connection, call};
use crate::record::Record;
use crate::system::System;
use crate::{Outcome, configuration, request};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 6_000;
/// Size of the engine's whole answer, and what of it is sent at once.
const ANSWER_BYTES: usize = 800;
const FIRST_BYTES: usize = 500;
/// The rest is sent after that time.
const REST_MS: u64 = 1_500;
/// How long the cut lasts, and when the engine crashes after its begin.
const CUT_MS: u64 = 3_000;
const CRASH_MS: u64 = 300;
/// How long the engine is down.
const DOWN_MS: u64 = 1_000;

/// The link to the engine. A cut holds back all bytes, and the end of a connection; they
/// arrive after it. The port is open while the engine's process runs, and else refuses.
#[derive(Clone)]
struct Link(Arc<LinkState>);

struct LinkState {
    address: SocketAddr,
    engine: SocketAddr,
    is_cut: AtomicBool,
    is_open: AtomicBool,
}

impl Link {
    fn start(engine: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let link = Self(Arc::new(LinkState {
            address,
            engine,
            is_cut: AtomicBool::new(false),
            is_open: AtomicBool::new(true),
        }));
        let accepting = link.clone();
        std::thread::spawn(move || accepting.accept(listener));
        Ok(link)
    }

    fn accept(&self, first: TcpListener) {
        let _ = first.set_nonblocking(true);
        let mut listener = Some(first);
        loop {
            std::thread::sleep(Duration::from_millis(2));
            if !self.0.is_open.load(Ordering::SeqCst) {
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.0.address).ok();
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                }
            }
            let Some(Ok((entry, _))) = listener.as_ref().map(TcpListener::accept) else {
                continue;
            };
            let _ = entry.set_nonblocking(false);
            let link = self.clone();
            std::thread::spawn(move || link.connect(entry));
        }
    }

    fn connect(&self, entry: TcpStream) {
        self.wait();
        let Ok(engine) = TcpStream::connect(self.0.engine) else {
            return;
        };
        let (Ok(entry_end), Ok(engine_end)) = (entry.try_clone(), engine.try_clone()) else {
            return;
        };
        let there = self.clone();
        std::thread::spawn(move || there.pass(entry, engine));
        self.pass(engine_end, entry_end);
    }

    /// Waits until the link is not cut.
    fn wait(&self) {
        while self.0.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 4_096];
        loop {
            let count = from.read(&mut bytes);
            self.wait();
            match count {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                // A reset is passed on as an end that no sender of data expects.
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
                Ok(count) if to.write_all(&bytes[..count]).is_err() => return,
                Ok(_) => {}
            }
        }
    }
}

/// The engine, as a process of its own: `cases engine ID ADDRESS`. Its answers have no
/// length and end with their connection.
pub fn run_engine(id: &str, address: &str) {
    let Ok(listener) = TcpListener::bind(address) else {
        std::process::exit(2);
    };
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        std::thread::spawn(move || answer(Connection::new(stream), &id));
    }
}

fn answer(mut connection: Connection, id: &str) {
    let Ok(Some(request)) = connection.read() else {
        return;
    };
    let attempt = request.header("attempt-id").unwrap_or("-").to_string();
    if request
        .header("expect-instance")
        .is_some_and(|expected| expected != id)
    {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = connection.send(head.as_bytes());
        return;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {id}.{attempt}\r\nConnection: close\r\n\r\n"
    );
    let _ = connection.send(head.as_bytes());
    let _ = connection.send(&[b'x'; FIRST_BYTES]);
    std::thread::sleep(Duration::from_millis(REST_MS));
    let _ = connection.send(&[b'x'; ANSWER_BYTES - FIRST_BYTES]);
    let _ = connection.stream.flush();
}

fn start_engine(record: &Record, id: &str, address: SocketAddr) -> Result<Child, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let child = Command::new(program)
        .args(["engine", id, &address.to_string()])
        .stdin(Stdio::null())
        .spawn()
        .map_err(|error| error.to_string())?;
    let until = Instant::now() + Duration::from_secs(3);
    while TcpStream::connect(address).is_err() {
        if Instant::now() > until {
            return Err("the engine does not start".into());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    record.note(&format!("{id}: runs at its address"));
    Ok(child)
}

/// Kills the engine's process when dropped.
struct Engine(Child);

impl Engine {
    fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends heartbeats of the engine that is named, until the case ends.
fn beat_always(id: Arc<Mutex<String>>, address: SocketAddr, controls: Vec<SocketAddr>) {
    std::thread::spawn(move || {
        for sequence in 1.. {
            let id = id.lock().map(|id| id.clone()).unwrap_or_default();
            if !id.is_empty() {
                let body = format!(
                    "{{\"Service\":\"depot-api\",\"Address\":\"{address}\",\"Zone\":\"wrexham-hall\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"CallSeq\":{sequence}}}"
                );
                let path = format!("/v1/instances/{id}/heartbeat");
                let limit = Duration::from_secs(1);
                let _ = controls.iter().any(|control| {
                    let answer = call(*control, "POST", &path, "", &body, limit);
                    answer.is_ok_and(|answer| answer.status() == 200)
                });
            }
            std::thread::sleep(Duration::from_millis(600));
        }
    });
}

pub fn play(record: Record, trouble: bool) -> Result<Outcome, String> {
    let system = System::start(record.clone(), 260);
    let controls: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.control).collect();
    let free = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = free.local_addr().map_err(|error| error.to_string())?;
    drop(free);
    let link = Link::start(address)?;
    let mut engine = Engine(start_engine(&record, "i-one", address)?);
    let id = Arc::new(Mutex::new("i-one".to_string()));
    let route = ("label", "/label/", "depot-api", "unsafe", TIMEOUT_MS, 400);
    system.order(
        1,
        "/v1/config/replace",
        &configuration(1, &[route], &["depot-api"]),
    );
    system.wait_for_version(1);
    beat_always(id.clone(), link.0.address, controls);
    std::thread::sleep(Duration::from_millis(4_000));

    let frontend = system.entries[0].frontend;
    let client_record = record.clone();
    let client = std::thread::spawn(move || {
        let limit = Duration::from_millis(TIMEOUT_MS + 1_000);
        let mut connection = Connection::open(frontend, limit).ok()?;
        client_record.note("client: sends label-1");
        connection
            .send(&request("/label/one", "label-1", TIMEOUT_MS, "{}"))
            .ok()?;
        let answer = connection.read().ok()?;
        client_record.note("client: label-1 is answered");
        answer
    });
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        record.note("cut: the engine is cut from the entries and from control");
        link.0.is_cut.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_millis(CRASH_MS));
    record.note("i-one: crashes (SIGKILL) in the middle of its answer");
    if let Ok(mut id) = id.lock() {
        id.clear();
    }
    link.0.is_open.store(false, Ordering::SeqCst);
    // The port closes with the process, before the end of its connections is seen.
    std::thread::sleep(Duration::from_millis(20));
    engine.kill();
    std::thread::sleep(Duration::from_millis(DOWN_MS));
    engine = Engine(start_engine(&record, "i-two", address)?);
    link.0.is_open.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(CUT_MS - CRASH_MS - DOWN_MS));
    if trouble {
        record.note("cut: ends");
        link.0.is_cut.store(false, Ordering::SeqCst);
    }
    if let Ok(mut id) = id.lock() {
        *id = "i-two".into();
    }
    let answer = client.join().map_err(|_| "the client")?.unwrap_or_default();
    drop(engine);
    let by = answer.header("server-signature").unwrap_or("none");
    record.note(&format!("client: status {}, signature {by}, {} bytes, complete: {}; the engine's whole body has {ANSWER_BYTES} bytes", answer.status(), answer.body.len(), answer.complete));
    let is_success = answer.status() == 200 && answer.complete;
    Ok(if is_success && answer.body.len() < ANSWER_BYTES {
        record.note("MIXED: a success whose body is not the engine's whole body");
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
