//! Panic handling of the process.
//!
//! A daemon whose event loop thread has ended would still accept connections but never
//! report, and monitoring would consider it alive. A panic therefore ends the process,
//! except one in the handling of a single request or call.

use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Name that the runtime assigns to the threads that execute calls between processes.
const RUNTIME_THREAD_NAME: &str = "tokio-runtime-worker";
/// Exit status of a process that a panic ended, the same as for a panic in the main
/// thread.
const PANIC_EXIT_STATUS: i32 = 101;

thread_local! {
    static HANDLES_REQUEST: Cell<bool> = const { Cell::new(false) };
}

/// Makes every further panic end the process after it is printed, except in requests and
/// calls.
pub fn end_process_on_panic() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print(panic);
        let is_call = std::thread::current().name() == Some(RUNTIME_THREAD_NAME);
        if !is_call && !HANDLES_REQUEST.get() {
            std::process::exit(PANIC_EXIT_STATUS);
        }
    }));
}

/// Handles one request; a panic ends only this request.
pub fn handle_request(handle: impl FnOnce()) {
    HANDLES_REQUEST.set(true);
    // The panic hook has printed the panic; the caller's connection is closed.
    let _ = catch_unwind(AssertUnwindSafe(handle));
    HANDLES_REQUEST.set(false);
}
