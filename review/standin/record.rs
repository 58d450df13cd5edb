//! The file that holds what was sent, answered and run.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

static FILE: Mutex<Option<File>> = Mutex::new(None);

/// Returns the time of day in milliseconds.
pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

/// Appends later lines to `path`. Several processes may share the file.
pub fn open(path: &Path) {
    let file = OpenOptions::new().create(true).append(true).open(path);
    *FILE.lock().unwrap() = file.ok();
}

/// Writes a line with the time of day in seconds.
pub fn line(text: &str) {
    let ms = now_ms();
    let whole = format!("{}.{:03} {text}\n", ms / 1_000 % 100_000, ms % 1_000);
    if let Some(file) = FILE.lock().unwrap().as_mut() {
        let _ = file.write_all(whole.as_bytes());
    }
}
