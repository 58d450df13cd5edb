//! Structured log lines on standard output, one JSON object each.
//!
//! A bounded queue passes the lines to one writer thread. If the queue is full, a line
//! is dropped and counted, so that logging never blocks.

use crate::clock::Clock;
use crossbeam::channel::{Receiver, Sender, bounded};
use log::kv::{Error, Key, Value, VisitSource};
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Capacity of the queue to the writer thread, in lines.
const MAX_QUEUED_LINES: usize = 4_096;
/// Interval between writes, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 100;

static DROPPED: AtomicU64 = AtomicU64::new(0);
static CLOCK: OnceLock<Clock> = OnceLock::new();

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Initializes logging; each line carries the name `instance`.
pub fn start(instance: &str) {
    CLOCK.get_or_init(Clock::default);
    let (lines, queue) = bounded::<Vec<u8>>(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new()
        .name("log".into())
        .stack_size(128 << 10);
    if writer.spawn(move || write_lines(&queue)).is_err() {
        return;
    }
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

fn write_lines(queue: &Receiver<Vec<u8>>) {
    while let Ok(first) = queue.recv() {
        std::thread::sleep(Duration::from_millis(WRITE_INTERVAL_MS));
        let mut text = first;
        for line in queue.try_iter() {
            text.extend_from_slice(&line);
        }
        let _ = std::io::stdout().write_all(&text);
    }
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
