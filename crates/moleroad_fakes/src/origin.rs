//! A stand-in for the origin of weights: one link for all who draw.

use moleroad_daemon::http::{Exchange, HttpServer};
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes sent between two looks at the link.
const PIECE_BYTES: usize = 16 * 1024;
/// Requests handled at a time.
const MAX_REQUESTS: usize = 1_024;

/// What goes wrong at the origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OriginFault {
    /// Nothing.
    #[default]
    None,
    /// One bit of every `n`th answer is flipped.
    CorruptEvery(u64),
    /// Answers stop half way and the connection stays open.
    StallEvery(u64),
}

/// A running origin.
#[derive(Clone)]
pub struct FakeOrigin {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    bytes_per_second: u64,
    files: Mutex<BTreeMap<String, Arc<Vec<u8>>>>,
    /// Folder for what is not in `files`.
    folder: Option<PathBuf>,
    free_at: Mutex<Instant>,
    sent: AtomicU64,
    answers: AtomicU64,
    fault: Mutex<OriginFault>,
}

impl FakeOrigin {
    /// Starts on `address`; port 0 takes a free one.
    ///
    /// # Panics
    /// When the address cannot be listened on.
    pub fn start(address: SocketAddr, bytes_per_second: u64) -> Self {
        Self::start_with(address, bytes_per_second, None)
    }

    /// Starts on `address` and serves the files in `folder`. A file `fault` in
    /// it holds `corrupt N` or `stall N` to set what goes wrong.
    ///
    /// # Panics
    /// When the address cannot be listened on.
    pub fn start_on_folder(address: SocketAddr, bytes_per_second: u64, folder: PathBuf) -> Self {
        Self::start_with(address, bytes_per_second, Some(folder))
    }

    fn start_with(address: SocketAddr, bytes_per_second: u64, folder: Option<PathBuf>) -> Self {
        let address = if address.port() == 0 {
            crate::address::free_port(address.ip())
        } else {
            address
        };
        let shared = Arc::new(Shared {
            bytes_per_second,
            files: Mutex::default(),
            folder,
            free_at: Mutex::new(Instant::now()),
            sent: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            fault: Mutex::default(),
        });
        let handling = Arc::clone(&shared);
        let handler = Arc::new(move |exchange| handling.handle(exchange));
        HttpServer::start(address, MAX_REQUESTS, handler).expect("the origin's address is free");
        Self { address, shared }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the content at `path`.
    pub fn put(&self, path: &str, content: Vec<u8>) {
        lock(&self.shared.files).insert(path.to_string(), Arc::new(content));
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: OriginFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Bytes of weights sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.shared.sent.load(Ordering::Acquire)
    }
}

impl Shared {
    fn handle(&self, exchange: Exchange) {
        let path = exchange.path().trim_start_matches('/').to_string();
        if path == "sent" {
            let sent = self.sent.load(Ordering::Acquire);
            return exchange.answer(moleroad_daemon::http::exchange::WholeAnswer::json(&sent));
        }
        let content = self.content(&path);
        let Some(content) = content else {
            return exchange.refuse(&MoleroadError::new(ResultCode::NotFound, path));
        };
        let range = exchange
            .header("Range")
            .and_then(parse_range)
            .unwrap_or(0..content.len());
        let end = range.end.min(content.len());
        let mut bytes = content[range.start.min(end)..end].to_vec();
        let turn = self.answers.fetch_add(1, Ordering::AcqRel) + 1;
        let fault = self.fault();
        if let OriginFault::CorruptEvery(n) = fault
            && turn.is_multiple_of(n)
            && !bytes.is_empty()
        {
            bytes[0] ^= 1;
        }
        let stalls = matches!(fault, OriginFault::StallEvery(n) if turn.is_multiple_of(n));
        self.send(exchange, &bytes, stalls);
    }

    fn content(&self, path: &str) -> Option<Arc<Vec<u8>>> {
        let held = lock(&self.files).get(path).cloned();
        let read = || {
            std::fs::read(self.folder.as_ref()?.join(path))
                .ok()
                .map(Arc::new)
        };
        held.or_else(read)
    }

    fn fault(&self) -> OriginFault {
        let Some(folder) = &self.folder else {
            return *lock(&self.fault);
        };
        let text = std::fs::read_to_string(folder.join("fault")).unwrap_or_default();
        let count = |rest: &str| rest.trim().parse().unwrap_or(1);
        match text.split_once(' ') {
            Some(("corrupt", rest)) => OriginFault::CorruptEvery(count(rest)),
            Some(("stall", rest)) => OriginFault::StallEvery(count(rest)),
            _ => OriginFault::None,
        }
    }

    fn send(&self, exchange: Exchange, bytes: &[u8], stalls: bool) {
        let Ok(mut stream) = exchange.stream(206, "application/octet-stream", &[]) else {
            return;
        };
        for (position, piece) in bytes.chunks(PIECE_BYTES).enumerate() {
            if stalls && position * PIECE_BYTES >= bytes.len() / 2 {
                // The connection stays open in silence, as on a stalled link.
                thread::sleep(Duration::from_secs(20));
                return;
            }
            self.pace(piece.len());
            if stream.send(piece).is_err() {
                return;
            }
            self.sent.fetch_add(piece.len() as u64, Ordering::AcqRel);
        }
        stream.finish();
    }

    /// Waits for the turn of `bytes` on the one link.
    fn pace(&self, bytes: usize) {
        let span = Duration::from_nanos(bytes as u64 * 1_000_000_000 / self.bytes_per_second);
        let wait = {
            let mut free_at = lock(&self.free_at);
            let now = Instant::now();
            *free_at = (*free_at).max(now) + span;
            free_at.saturating_duration_since(now)
        };
        thread::sleep(wait);
    }
}

/// Reads `bytes=FIRST-LAST`.
fn parse_range(text: &str) -> Option<std::ops::Range<usize>> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    Some(first.parse().ok()?..last.parse::<usize>().ok()? + 1)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
