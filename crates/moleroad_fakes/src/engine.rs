//! A stand-in for a model engine.
//!
//! It loads weights only after it computed their root itself, refuses orders of
//! a lower fence, streams its answers and names in each token the root that it
//! was made with, so that mixed or partial weights show.

use moleroad_daemon::http::exchange::WholeAnswer;
use moleroad_daemon::http::{Exchange, HttpServer};
use moleroad_types::fence::FenceGuard;
use moleroad_types::prelude::*;
use serde::Deserialize;
use serde_json::json;
use std::fs::File;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Tokens of an answer whose request names no limit.
const DEFAULT_TOKENS: u64 = 8;
/// Requests handled at a time.
const MAX_REQUESTS: usize = 512;

/// A running engine.
#[derive(Clone)]
pub struct FakeEngine {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    incarnation: Incarnation,
    token_time: Duration,
    state: Mutex<State>,
    /// Requests that began to run.
    started: AtomicU64,
}

#[derive(Default)]
struct State {
    serving: Option<RootDigest>,
    guard: FenceGuard,
}

#[derive(Deserialize)]
struct LoadBody {
    root: Option<RootDigest>,
    path: PathBuf,
    chunk_bytes: u32,
    fence: Fence,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

impl FakeEngine {
    /// Starts on `address` without weights; each token takes `token_time`.
    ///
    /// # Panics
    /// When the address cannot be listened on.
    pub fn start(address: SocketAddr, token_time: Duration) -> Self {
        let address = if address.port() == 0 {
            crate::address::free_port(address.ip())
        } else {
            address
        };
        let shared = Arc::new(Shared {
            incarnation: Incarnation(rand::random::<u64>() >> 12),
            token_time,
            state: Mutex::default(),
            started: AtomicU64::new(0),
        });
        let handling = Arc::clone(&shared);
        let handler = Arc::new(move |exchange| handling.handle(exchange));
        HttpServer::start(address, MAX_REQUESTS, handler).expect("the engine's address is free");
        Self { address, shared }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Root that it serves.
    pub fn serving(&self) -> Option<RootDigest> {
        lock(&self.shared.state).serving
    }

    /// Requests that began to run.
    pub fn started(&self) -> u64 {
        self.shared.started.load(Ordering::Acquire)
    }
}

impl Shared {
    fn handle(&self, mut exchange: Exchange) {
        let path = exchange.path().to_string();
        let body = match exchange.read_body(16 << 20) {
            Ok(body) => body,
            Err(error) => return exchange.refuse(&error),
        };
        match path.as_str() {
            "/state" => exchange.answer(self.state_answer()),
            "/load" => match self.load(&body) {
                Ok(()) => exchange.answer(self.state_answer()),
                Err(error) => exchange.refuse(&error),
            },
            "/v1/completions" | "/v1/chat/completions" => self.complete(exchange, &body),
            _ => exchange.refuse(&MoleroadError::new(ResultCode::NotFound, path)),
        }
    }

    fn state_answer(&self) -> WholeAnswer {
        let serving = lock(&self.state).serving;
        let started = self.started.load(Ordering::Acquire);
        WholeAnswer::json(
            &json!({ "incarnation": self.incarnation, "serving": serving, "started": started }),
        )
    }

    fn load(&self, body: &[u8]) -> Result<(), MoleroadError> {
        let refused = |reason: String| MoleroadError::new(ResultCode::LoadRefused, reason);
        let order: LoadBody =
            serde_json::from_slice(body).map_err(|error| refused(error.to_string()))?;
        let admitted = lock(&self.state).guard.admit(order.fence);
        admitted.map_err(|highest| {
            MoleroadError::new(
                ResultCode::FenceTooLow,
                format!("{:?} is below {highest:?}", order.fence),
            )
        })?;
        if let Some(root) = order.root {
            let file = File::open(&order.path).map_err(|error| refused(error.to_string()))?;
            let manifest = Manifest::from_reader(BufReader::new(file), order.chunk_bytes);
            let computed = manifest.map_err(|error| refused(error.to_string()))?.root;
            if computed != root {
                return Err(refused(format!("the file has root {computed}")));
            }
        }
        lock(&self.state).serving = order.root;
        Ok(())
    }

    fn complete(&self, exchange: Exchange, body: &[u8]) {
        let request: CompletionBody = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => {
                return exchange.refuse(&MoleroadError::new(
                    ResultCode::BadRequest,
                    error.to_string(),
                ));
            }
        };
        let Some(root) = lock(&self.state).serving else {
            return exchange.refuse(&MoleroadError::new(
                ResultCode::NoReplica,
                "no weights are loaded",
            ));
        };
        self.started.fetch_add(1, Ordering::AcqRel);
        let id = exchange
            .header("X-Request-Id")
            .unwrap_or_default()
            .to_string();
        let tokens = request.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if !request.stream {
            return self.answer_whole(exchange, &request.model, &id, root, tokens);
        }
        let Ok(mut stream) = exchange.stream(200, "text/event-stream", &[]) else {
            return;
        };
        for position in 0..tokens {
            thread::sleep(self.token_time);
            let text = token(root, position);
            let event = json!({ "id": id, "model": request.model, "choices": [{ "index": 0, "text": text }] });
            if stream
                .send(format!("data: {event}\n\n").as_bytes())
                .is_err()
            {
                return;
            }
        }
        if stream.send(b"data: [DONE]\n\n").is_ok() {
            stream.finish();
        }
    }

    fn answer_whole(
        &self,
        exchange: Exchange,
        model: &str,
        id: &str,
        root: RootDigest,
        tokens: u64,
    ) {
        thread::sleep(self.token_time * tokens as u32);
        let text: String = (0..tokens).map(|position| token(root, position)).collect();
        let answer = json!({ "id": id, "model": model, "choices": [{ "index": 0, "text": text }] });
        exchange.answer(WholeAnswer::json(&answer));
    }
}

/// The token at `position` of any answer made with `root`.
pub fn token(root: RootDigest, position: u64) -> String {
    format!("{}:{position} ", root.short())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
