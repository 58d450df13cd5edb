//! What a panic does to the process, shown on processes of their own.

use moleroad_daemon::panics::{end_process_on_panic, handle_request};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

/// Names, in a started process, what panics.
const PANICS: &str = "MOLEROAD_TEST_PANICS";
/// How long a process goes on after the panic.
const GOES_ON: Duration = Duration::from_millis(500);

/// Whether a process goes on after `what` panicked.
fn goes_on_after_panic(what: &str) -> bool {
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "started_process", "--ignored"])
        .env(PANICS, what)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status();
    status.unwrap().success()
}

fn panic_as_wanted() {
    panic!("as the test wants");
}

#[test]
#[ignore = "runs in the processes that the other tests start"]
fn started_process() {
    // Run by hand, with all tests that are left out, it has nothing to do.
    let Ok(what) = std::env::var(PANICS) else {
        return;
    };
    end_process_on_panic();
    let is_request = what == "request";
    let thread = thread::Builder::new().name(what);
    let thread = thread.spawn(move || match is_request {
        true => handle_request(panic_as_wanted),
        false => panic_as_wanted(),
    });
    let _ = thread.unwrap().join();
    thread::sleep(GOES_ON);
}

#[test]
fn a_panic_of_a_deciding_thread_ends_the_process() {
    for name in ["agent", "control", "load", ""] {
        assert!(!goes_on_after_panic(name), "after a panic of {name:?}");
    }
}

#[test]
fn a_panic_in_one_request_or_call_leaves_the_process_alive() {
    for name in ["request", "tokio-runtime-worker"] {
        assert!(goes_on_after_panic(name), "after a panic of {name:?}");
    }
}
