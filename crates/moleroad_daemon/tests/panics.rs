//! Tests which panics end the process, in child processes.

use moleroad_daemon::panics::{end_process_on_panic, handle_request};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

/// Environment variable that selects where a child process panics: in the handling of a
/// request, or in a thread of this name.
const PANIC_VARIABLE: &str = "MOLEROAD_TEST_PANICS";
/// Time for which a child process continues after the panic.
const TIME_AFTER_PANIC: Duration = Duration::from_millis(500);

/// Returns whether a child process survives a panic at `location`.
fn survives_panic(location: &str) -> bool {
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "started_process", "--ignored"])
        .env(PANIC_VARIABLE, location)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status();
    status.unwrap().success()
}

fn panic_deliberately() {
    panic!("deliberate panic of the test");
}

#[test]
#[ignore = "runs in the processes that the other tests start"]
fn started_process() {
    // Without the variable, as when all ignored tests are run, this test does nothing.
    let Ok(location) = std::env::var(PANIC_VARIABLE) else {
        return;
    };
    end_process_on_panic();
    let is_request = location == "request";
    let thread = thread::Builder::new().name(location);
    let thread = thread.spawn(move || match is_request {
        true => handle_request(panic_deliberately),
        false => panic_deliberately(),
    });
    let _ = thread.unwrap().join();
    thread::sleep(TIME_AFTER_PANIC);
}

#[test]
fn a_panic_of_a_deciding_thread_ends_the_process() {
    for name in ["agent", "control", "load", ""] {
        assert!(!survives_panic(name), "after a panic of {name:?}");
    }
}

#[test]
fn a_panic_in_one_request_or_call_leaves_the_process_alive() {
    for name in ["request", "tokio-runtime-worker"] {
        assert!(survives_panic(name), "after a panic of {name:?}");
    }
}
