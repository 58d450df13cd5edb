//! Structured log lines on standard output, one JSON object each.
//!
//! A bounded queue passes the lines to one writer thread. If the queue is full, a line
//! is dropped and counted, so that logging never blocks. [`flush`] writes what is queued;
//! a process calls it before it exits, and a panic does so as well.

use crate::clock::Clock;
use crossbeam::channel::{Receiver, Sender, bounded, select};
use log::kv::{Error, Key, Value, VisitSource};
use std::io::{ErrorKind, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Capacity of the queue to the writer thread, in lines.
const MAX_QUEUED_LINES: usize = 4_096;
/// Interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest write, in bytes: a pipe takes up to so many (`PIPE_BUF`) as a whole.
const MAX_WRITE_BYTES: usize = 4_096;
/// Pause before another try to write to a full pipe.
const FULL_PIPE_PAUSE: Duration = Duration::from_millis(5);
/// Time after which [`flush`] gives up if standard output accepts nothing.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static CLOCK: OnceLock<Clock> = OnceLock::new();
static FLUSHES: OnceLock<Sender<FlushRequest>> = OnceLock::new();

/// Asks the writer to write all queued lines; it then drops the request, which closes
/// the channel.
type FlushRequest = Sender<()>;

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Initializes logging; each line carries the name `instance`.
pub fn start(instance: &str) {
    CLOCK.get_or_init(Clock::default);
    let (lines, queue) = bounded::<Vec<u8>>(MAX_QUEUED_LINES);
    let (flushes, flush_requests) = bounded::<FlushRequest>(1);
    let writer = std::thread::Builder::new()
        .name("log".into())
        .stack_size(128 << 10);
    if writer
        .spawn(move || write_lines(&queue, &flush_requests))
        .is_err()
    {
        return;
    }
    FLUSHES.get_or_init(|| flushes);
    let instance = instance.to_string();
    let started = env_logger::Builder::new()
        .filter_level(log::LevelFilter::Info)
        .filter_module("tarpc", log::LevelFilter::Off)
        .format(move |buffer, record| writeln!(buffer, "{}", format_line(&instance, record)))
        .target(env_logger::Target::Pipe(Box::new(LineQueue { lines })))
        .try_init();
    if started.is_err() {
        log::debug!("logging is already initialized");
    }
    log_panics();
}

/// Writes all lines logged so far to standard output. Returns once they are written, or
/// after a short time limit.
pub fn flush() {
    let Some(flushes) = FLUSHES.get() else {
        return;
    };
    let (request, written) = bounded::<()>(0);
    if flushes.send_timeout(request, FLUSH_TIMEOUT).is_ok() {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Logs each panic before the default report of it.
fn log_panics() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        log::error!(event = "panic"; "{panic}");
        flush();
        report(panic);
    }));
}

struct LineQueue {
    lines: Sender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(bytes.to_vec()).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, flushes: &Receiver<FlushRequest>) {
    loop {
        let mut text = Vec::new();
        let flush_request = select! {
            recv(queue) -> first => {
                let Ok(first) = first else { return };
                text.extend_from_slice(&first);
                flushes.recv_timeout(WRITE_INTERVAL).ok()
            }
            recv(flushes) -> request => request.ok(),
        };
        for line in queue.try_iter() {
            text.extend_from_slice(&line);
        }
        for piece in pieces(&text) {
            if write_piece(piece).is_err() {
                let lines = piece.iter().filter(|byte| **byte == b'\n').count();
                DROPPED.fetch_add(lines as u64, Ordering::Relaxed);
            }
        }
        drop(flush_request);
    }
}

/// Writes `piece` to standard output. Whoever started the process may have made it
/// non-blocking; a full pipe is then tried again for a short time.
fn write_piece(mut piece: &[u8]) -> std::io::Result<()> {
    let mut output = std::io::stdout().lock();
    let mut full_for = Duration::ZERO;
    while !piece.is_empty() {
        match output.write(piece) {
            Ok(written) => piece = &piece[written..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock && full_for < FLUSH_TIMEOUT => {
                std::thread::sleep(FULL_PIPE_PAUSE);
                full_for += FULL_PIPE_PAUSE;
            }
            Err(error) => return Err(error),
        }
    }
    output.flush()
}

/// Splits lines into pieces of whole lines that a pipe takes in one write, or of one
/// longer line.
pub fn pieces(mut text: &[u8]) -> Vec<&[u8]> {
    let mut pieces = Vec::new();
    while !text.is_empty() {
        let (piece, rest) = text.split_at(piece_len(text));
        pieces.push(piece);
        text = rest;
    }
    pieces
}

fn piece_len(text: &[u8]) -> usize {
    let is_line_end = |byte: &u8| *byte == b'\n';
    let head = &text[..text.len().min(MAX_WRITE_BYTES)];
    let fitting = head.iter().rposition(is_line_end);
    let end = fitting.or_else(|| text.iter().position(is_line_end));
    end.map_or(text.len(), |end| end + 1)
}

fn format_line(instance: &str, record: &log::Record) -> serde_json::Value {
    let mut fields = serde_json::Map::new();
    let up_ms = CLOCK.get().map_or(0, Clock::uptime_ms);
    fields.insert("up_ms".into(), up_ms.into());
    fields.insert("instance".into(), instance.into());
    fields.insert("level".into(), record.level().as_str().into());
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    let message = record.args().to_string();
    if !message.is_empty() {
        fields.insert("message".into(), message.into());
    }
    serde_json::Value::Object(fields)
}

struct Fields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().into(), json);
        Ok(())
    }
}
