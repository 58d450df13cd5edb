//! What a panic does to the process.
//!
//! A daemon whose deciding thread has ended would go on to listen and never
//! report, and whoever watches it would take it for a live one. So a panic ends
//! the process, except one in the handling of a single request or call.

use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Threads that carry calls between processes; the runtime names them.
const CALL_THREAD: &str = "tokio-runtime-worker";
/// Exit status of a process that a panic ended, as of the main thread's panics.
const EXIT_STATUS: i32 = 101;

thread_local! {
    static HANDLES_REQUEST: Cell<bool> = const { Cell::new(false) };
}

/// Has panics end the process from now on, after they were printed.
pub fn end_process_on_panic() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print(panic);
        let is_call = std::thread::current().name() == Some(CALL_THREAD);
        if !is_call && !HANDLES_REQUEST.get() {
            std::process::exit(EXIT_STATUS);
        }
    }));
}

/// Handles one request; a panic ends it and nothing else.
pub fn handle_request(handle: impl FnOnce()) {
    HANDLES_REQUEST.set(true);
    // The panic was printed; the caller finds its connection closed.
    let _ = catch_unwind(AssertUnwindSafe(handle));
    HANDLES_REQUEST.set(false);
}
