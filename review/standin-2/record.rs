//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Time since the beginning of the case.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn note(&self, line: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at:9.3} s  {line}");
        let _ = file.flush();
    }
}
