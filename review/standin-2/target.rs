//! A plain target (an engine of a plain service): it takes requests, heartbeats and leaves
//! as PROTOCOL says.

use crate::http::{Connection, Message, call};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that the target began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Duration,
}

pub struct State {
    /// Changes when the target starts again.
    id: Mutex<String>,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    record: Record,
    sequence: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
    busy: AtomicUsize,
    acknowledged: AtomicUsize,
    pub runs: Mutex<Vec<Run>>,
}

/// How long the target works on a request, and the size of its answer, both told by the
/// path: `/prefix/MS/BYTES`.
fn work(path: &str) -> (u64, usize) {
    let mut parts = path.trim_matches('/').rsplit('/');
    let bytes = parts.next().and_then(|part| part.parse().ok());
    let ms = parts.next().and_then(|part| part.parse().ok());
    (ms.unwrap_or(30), bytes.unwrap_or(800))
}

impl State {
    pub fn id(&self) -> String {
        self.id.lock().expect("the id").clone()
    }
}

#[derive(Clone)]
pub struct Target(pub Arc<State>);

impl Target {
    pub fn start(record: &Record, id: &str, service: &str, zone: &str, slots: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = Arc::new(State {
            id: Mutex::new(id.into()),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("its address"),
            slots,
            record: record.clone(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            acknowledged: AtomicUsize::new(0),
            runs: Mutex::default(),
        });
        let target = Self(state);
        let server = target.clone();
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                if server.0.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = server.clone();
                std::thread::spawn(move || server.serve(Connection::new(connection)));
            }
        });
        target
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let has_ended = || self.0.ended.load(Ordering::SeqCst);
            if has_ended() || !request.complete {
                return;
            }
            let answer = self.answer(&request);
            if has_ended() || connection.send(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let state = &self.0;
        let own = state.id();
        let id = request.header("attempt-id").unwrap_or("-").to_string();
        let head = |status: &str, more: &str, length: usize| {
            format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Signature: {}.{id}\r\nKeep-Alive: timeout=10\r\n{more}Content-Length: {length}\r\n\r\n",
                own
            )
        };
        if request.path() == "/healthz" {
            let more = format!("Instance-Id: {own}\r\n");
            let status = if state.draining.load(Ordering::SeqCst) {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            return head(status, &more, 0).into_bytes();
        }
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != own)
        {
            return head("421 Misdirected Request", "Not-Executed: 1\r\n", 0).into_bytes();
        }
        if state.busy.fetch_add(1, Ordering::SeqCst) >= state.slots {
            state.busy.fetch_sub(1, Ordering::SeqCst);
            state
                .record
                .note(&format!("{own}: {id} arrives and is turned away: full"));
            return head("503 Service Unavailable", "Not-Executed: 1\r\n", 0).into_bytes();
        }
        let (ms, bytes) = work(request.path());
        let run = Run {
            id: id.clone(),
            at: state.record.now(),
        };
        state.runs.lock().expect("the runs").push(run);
        state.record.note(&format!(
            "{own}: {id} arrives and runs ({ms} ms, answer of {bytes} bytes)"
        ));
        std::thread::sleep(Duration::from_millis(ms));
        state.busy.fetch_sub(1, Ordering::SeqCst);
        let end = if state.ended.load(Ordering::SeqCst) {
            "is cut off: the engine has ended"
        } else {
            "has run, is answered"
        };
        state.record.note(&format!("{own}: {id} {end}"));
        let mut answer = head("200 OK", "", bytes).into_bytes();
        answer.resize(answer.len() + bytes, b'x');
        answer
    }

    /// Returns the path and the body of the next heartbeat.
    pub fn heartbeat(&self) -> (String, String) {
        let state = &self.0;
        let word = if state.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\"State\":\"{word}\",\"ColdLeftMs\":0,\"CallSeq\":{sequence}}}",
            state.service, state.address, state.zone, state.slots
        );
        (format!("/v1/instances/{}/heartbeat", state.id()), body)
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn beat(&self, control: SocketAddr) -> bool {
        let (path, body) = self.heartbeat();
        let answer = call(control, "POST", &path, "", &body, Duration::from_secs(1));
        let taken = answer.is_ok_and(|answer| answer.status() == 200);
        self.0
            .acknowledged
            .fetch_add(usize::from(taken), Ordering::SeqCst);
        taken
    }

    /// Sends heartbeats until the target ends.
    pub fn beat_always(&self, controls: Vec<SocketAddr>) {
        let target = self.clone();
        std::thread::spawn(move || {
            while !target.0.ended.load(Ordering::SeqCst) {
                let _ = controls.iter().any(|control| target.beat(*control));
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
    }

    /// Says that it leaves; returns when that was acknowledged.
    pub fn drain(&self, controls: &[SocketAddr]) -> Duration {
        self.0.draining.store(true, Ordering::SeqCst);
        while !controls.iter().any(|control| self.beat(*control)) {}
        let at = self.0.record.now();
        self.0
            .record
            .note(&format!("{}: says draining, is acknowledged", self.0.id()));
        at
    }

    /// The target crashes and starts again at the same address, as another incarnation.
    pub fn restart_as(&self, id: &str) {
        let state = &self.0;
        state.record.note(&format!(
            "{}: crashes; {id} starts at the same address",
            state.id()
        ));
        *state.id.lock().expect("the id") = id.into();
        state.sequence.store(0, Ordering::SeqCst);
    }

    /// Number of heartbeats that were acknowledged.
    pub fn acknowledged(&self) -> usize {
        self.0.acknowledged.load(Ordering::SeqCst)
    }

    /// Deregisters and ends.
    pub fn end(&self, controls: &[SocketAddr]) {
        let path = format!("/v1/instances/{}/deregister", self.0.id());
        let limit = Duration::from_secs(1);
        let _ = controls.iter().any(|control| {
            let answer = call(*control, "POST", &path, "", "", limit);
            answer.is_ok_and(|answer| answer.status() == 200)
        });
        self.0.ended.store(true, Ordering::SeqCst);
        // The thread that accepts connections notices with the next one.
        let _ = std::net::TcpStream::connect(self.0.address);
        self.0
            .record
            .note(&format!("{}: deregisters and ends", self.0.id()));
    }

    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.0.runs.lock().expect("the runs");
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }
}
