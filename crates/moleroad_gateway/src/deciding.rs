//! Tasks and threads that the process cannot do without.
//!
//! A panic ends the task or thread in which it occurs. If that one decides, the ports of
//! its process go on answering and others take the process for alive; so the process
//! ends, and whoever started it starts it again. A task that handles one request or call
//! may end alone.

use crate::logging;
use futures::FutureExt;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Exit status after a panic, the same as for a panic in the main thread.
const PANIC_EXIT_STATUS: i32 = 101;

/// Spawns a task; a panic in it ends the process.
pub fn spawn_deciding(name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(async move {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            end_process(name);
        }
    });
}

/// Runs the work of a thread; a panic in it ends the process.
pub fn run_deciding(name: &'static str, work: impl FnOnce()) {
    if catch_unwind(AssertUnwindSafe(work)).is_err() {
        end_process(name);
    }
}

/// Ends the process. The panic itself is logged where it occurs.
fn end_process(name: &'static str) -> ! {
    log::error!(event = "ended_by_panic", task = name; "");
    logging::flush();
    std::process::exit(PANIC_EXIT_STATUS)
}
