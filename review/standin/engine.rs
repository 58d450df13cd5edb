//! A stand-in for a model engine, in a process of its own.
//!
//! `GET /test/verified` (how many times the last piece was read back) and
//! `POST /test/rot?Quantity=N` (a piece turns bad) are for the test only.

use crate::documents::{self, HOST, LAYERS, MODEL, PIECES, SERVICE};
use crate::http::{self, Request};
use crate::record;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const WARM_UP: Duration = Duration::from_millis(300);

/// A piece that lies at the engine.
#[derive(Clone)]
struct Piece {
    bytes: Vec<u8>,
    /// Time of day at which it turned bad, in milliseconds.
    bad_since: Option<u128>,
}

/// A piece that was wrong when the engine took it.
#[derive(Clone)]
struct WrongPiece {
    number: u64,
    /// For how long it had been bad when it was taken; `None` if it was missing or of
    /// another version.
    bad_ms: Option<u128>,
}

#[derive(Default)]
struct State {
    held: Option<u64>,
    wrong: Vec<WrongPiece>,
    staged: BTreeMap<u64, Piece>,
    orders: u64,
    busy: bool,
    running: u64,
    verified: u64,
    /// Rises when running requests are cut.
    cut: u64,
}

/// What the answers of an engine look like.
#[derive(Clone, Copy)]
pub struct Shape {
    pub events: u64,
    pub event_bytes: usize,
    pub gap_ms: u64,
}

pub struct Engine {
    id: String,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    shape: Shape,
    /// Holds the staged pieces, which outlast a crash.
    store: PathBuf,
    state: Mutex<State>,
}

/// Serves until the process is killed.
pub fn run(address: SocketAddr, control: Vec<SocketAddr>, held: Option<u64>, shape: Shape, store: &Path) {
    let listener = TcpListener::bind(address).expect("the engine's address");
    let engine = Arc::new(Engine {
        id: format!("i-{}-{}", address.ip(), record::now_ms()),
        address,
        control,
        shape,
        store: store.to_path_buf(),
        state: Mutex::new(State { held, ..State::default() }),
    });
    std::fs::create_dir_all(store).expect("a folder for staged pieces");
    let staged = match held {
        // The engines of the start hold version 1, staged too.
        Some(version) => {
            let piece = |number| Piece { bytes: documents::piece(version, number), bad_since: None };
            (0..PIECES).map(|number| (number, piece(number))).collect()
        }
        None => engine.read_store(),
    };
    record::line(&format!(
        "engine {} starts as {} with version {held:?} and {} staged pieces", address.ip(), engine.id, staged.len()
    ));
    engine.state.lock().unwrap().staged = staged;
    let serving = engine.clone();
    http::serve(listener, move |request, stream| serving.handle(request, stream));
    engine.send_heartbeats();
}

impl Engine {
    fn read_store(&self) -> BTreeMap<u64, Piece> {
        let read = |number: u64| {
            let bytes = std::fs::read(self.store.join(number.to_string())).ok()?;
            let bad = std::fs::read_to_string(self.store.join(format!("{number}.bad"))).ok();
            Some((number, Piece { bytes, bad_since: bad.and_then(|ms| ms.parse().ok()) }))
        };
        (0..PIECES).filter_map(read).collect()
    }

    fn write_store(&self, number: u64, piece: &Piece) -> io::Result<()> {
        std::fs::write(self.store.join(number.to_string()), &piece.bytes)?;
        let mark = self.store.join(format!("{number}.bad"));
        match piece.bad_since {
            Some(since) => std::fs::write(mark, since.to_string()),
            None => {
                let _ = std::fs::remove_file(mark);
                Ok(())
            }
        }
    }

    fn send_heartbeats(&self) {
        let mut at = 0;
        let mut preferred: Option<SocketAddr> = None;
        for sequence in 1.. {
            let holdings = documents::holdings(self.state.lock().unwrap().held);
            let body = format!(
                r#"{{"Service":"{SERVICE}","Address":"{}","Zone":"hall-a","Version":"v1","Slots":16,"State":"ready","ColdLeftMs":0,"Stage":"both",{holdings},"CallSeq":{sequence}}}"#,
                self.address
            );
            for _ in 0..=self.control.len() {
                let to = preferred.unwrap_or(self.control[at % self.control.len()]);
                let line = format!("POST /v1/instances/{}/heartbeat", self.id);
                let kind = [("Content-Type", "application/json".to_string())];
                let answer = http::call(to, &line, &kind, body.as_bytes(), Duration::from_secs(1));
                let Some(answer) = answer.ok().filter(|answer| answer.status / 100 == 2) else {
                    at += 1;
                    preferred = None;
                    continue;
                };
                let document = String::from_utf8_lossy(&answer.body).into_owned();
                let named = documents::text(&document, "HeartbeatAddr");
                preferred = named.and_then(|named| named.parse().ok()).or(preferred);
                break;
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn handle(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let number = request.query("Quantity").unwrap_or(0);
        let path = request.path();
        match request.method.as_str() {
            "GET" if path == "/v1/report" => {
                let state = self.state.lock().unwrap();
                let body = format!(
                    r#"{{"Stage":"both",{},"Utilization":{},"CallSeq":{},"Queued":0,"Running":{},"KvUsed":0,"KvTotal":{},"Handles":0,"pace":1.0}}"#,
                    documents::holdings(state.held), state.busy, state.orders, state.running, 685_000 * LAYERS
                );
                drop(state);
                http::respond(stream, "200 OK", &[("Content-Type", "application/json".into())], body.as_bytes())
            }
            "PUT" if path == format!("/v1/stage-put/{MODEL}") => {
                let piece = Piece { bytes: request.body.clone(), bad_since: None };
                self.write_store(number, &piece)?;
                self.state.lock().unwrap().staged.insert(number, piece);
                http::respond(stream, "200 OK", &[], b"")
            }
            "GET" if path == format!("/v1/stage-get/{MODEL}") => {
                let staged = {
                    let mut state = self.state.lock().unwrap();
                    state.verified += u64::from(number + 1 == PIECES);
                    state.staged.get(&number).cloned()
                };
                match staged {
                    Some(piece) => http::respond(stream, "200 OK", &[], &piece.bytes),
                    None => http::respond(stream, "404 Not Found", &[], b""),
                }
            }
            "POST" if path == "/v1/order" => self.take_order(request, stream),
            "GET" if path == "/healthz" => {
                http::respond(stream, "200 OK", &[("Instance-Id", self.id.clone())], b"")
            }
            "GET" if path == "/test/verified" => {
                let verified = self.state.lock().unwrap().verified.to_string();
                http::respond(stream, "200 OK", &[], verified.as_bytes())
            }
            "POST" if path == "/test/rot" => {
                if let Some(piece) = self.state.lock().unwrap().staged.get_mut(&number) {
                    piece.bytes[100] ^= 1;
                    piece.bad_since = Some(record::now_ms());
                    self.write_store(number, piece)?;
                }
                record::line(&format!("engine {}: piece {number} turns bad", self.address.ip()));
                http::respond(stream, "200 OK", &[], b"")
            }
            _ => self.answer(request, stream),
        }
    }

    fn take_order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(version) = documents::number(&body, "Version") else {
            return http::respond(stream, "400 Bad Request", &[], b"");
        };
        let mut state = self.state.lock().unwrap();
        let expected = documents::number(&body, "ExpectedRev");
        if state.busy || expected.is_some_and(|expected| expected != state.orders) {
            drop(state);
            return http::respond(stream, "409 Conflict", &[], b"");
        }
        state.orders += 1;
        state.busy = true;
        let cuts = documents::text(&body, "Mode") == Some("truncate");
        state.cut += u64::from(cuts);
        // The engine takes what lies there as it takes the order.
        let mut wrong = Vec::new();
        for number in 0..PIECES {
            let lies = state.staged.get(&number);
            if lies.is_none_or(|piece| piece.bytes != documents::piece(version, number)) {
                let since = lies.and_then(|piece| piece.bad_since);
                let bad_ms = since.map(|since| record::now_ms() - since);
                wrong.push(WrongPiece { number, bad_ms });
            }
        }
        drop(state);
        let text: Vec<String> =
            wrong.iter().map(|piece| format!("{} (bad for {:?} ms)", piece.number, piece.bad_ms)).collect();
        record::line(&format!(
            "engine {} takes the order to start version {version}; wrong pieces: [{}]",
            self.address.ip(), text.join(", ")
        ));
        let engine = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(WARM_UP);
            let mut state = engine.state.lock().unwrap();
            (state.held, state.wrong, state.busy) = (Some(version), wrong, false);
        });
        http::respond(stream, "202 Accepted", &[], b"")
    }

    /// Answers a client's request with a stream.
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let id = request.header("attempt-id").unwrap_or("-").to_string();
        let reply_id = ("Attempt-Id", id.clone());
        let other = request.header("expect-instance").is_some_and(|wanted| wanted != self.id);
        let (held, cut) = {
            let state = self.state.lock().unwrap();
            (state.held.filter(|_| !state.busy), state.cut)
        };
        let wanted = request.header("expect-version").and_then(|version| version.parse::<u64>().ok());
        if other || held.is_none() || wanted.is_some_and(|wanted| Some(wanted) != held) {
            record::line(&format!("engine {} rejects {id} with 421", self.address.ip()));
            return http::respond(stream, "421 Misdirected Request", &[reply_id, ("Not-Executed", "1".into())], b"");
        }
        let deadline_ms = request.header("deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(600_000);
        let until = Instant::now() + Duration::from_millis(deadline_ms);
        let first = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok()).map_or(0, |id| id + 1);
        {
            let mut state = self.state.lock().unwrap();
            state.running += 1;
            let version = state.held.unwrap_or(0);
            let bad: Vec<&WrongPiece> =
                state.wrong.iter().filter(|piece| piece.bad_ms.is_none_or(|ms| ms > 3_000)).collect();
            let numbers: Vec<u64> = bad.iter().map(|piece| piece.number).collect();
            let what = if bad.is_empty() { "RUN" } else { "RUN-ON-WRONG-WEIGHTS" };
            record::line(&format!(
                "engine {} {what} {id} from event {first}, version {version}, wrong pieces {numbers:?}, host {}",
                self.address.ip(), request.header("host").unwrap_or(HOST)
            ));
        }
        let result = self.stream_events(stream, &id, first, until, cut);
        self.state.lock().unwrap().running -= 1;
        result
    }

    fn stream_events(&self, stream: &mut TcpStream, id: &str, first: u64, until: Instant, cut: u64) -> io::Result<()> {
        std::thread::sleep(Duration::from_millis(40));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: {id}\r\nServer-Signature: sig.{id}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        stream.set_write_timeout(Some(Duration::from_secs(30)))?;
        for number in first..self.shape.events {
            let is_cut = self.state.lock().unwrap().cut != cut;
            if is_cut || Instant::now() > until {
                record::line(&format!("engine {} stops {id} before event {number}", self.address.ip()));
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let last = number + 1 == self.shape.events;
            let data = "x".repeat(self.shape.event_bytes);
            let event = format!("id: {number}\ndata: {{\"piece\":{number},\"last\":{last},\"text\":\"{data}\"}}\n\n");
            let mut chunk = format!("{:x}\r\n", event.len()).into_bytes();
            chunk.extend_from_slice(event.as_bytes());
            chunk.extend_from_slice(b"\r\n");
            stream.write_all(&chunk)?;
            std::thread::sleep(Duration::from_millis(self.shape.gap_ms));
        }
        stream.write_all(b"0\r\n\r\n")?;
        record::line(&format!("engine {} ends {id} whole", self.address.ip()));
        Ok(())
    }
}
