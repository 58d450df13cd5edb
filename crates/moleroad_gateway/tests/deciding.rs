//! Which panics end the process, in child processes.

use moleroad_gateway::deciding::{run_deciding, spawn_deciding};
use std::process::{Command, Stdio};
use std::time::Duration;

/// Environment variable that selects where a child process panics.
const PANIC_VARIABLE: &str = "MOLEROAD_TEST_PANICS";
/// Time for which a child process goes on after the panic.
const TIME_AFTER_PANIC: Duration = Duration::from_millis(500);

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
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        match location.as_str() {
            "deciding thread" => {
                std::thread::spawn(|| run_deciding("control", panic_deliberately));
            }
            "deciding task" => spawn_deciding("gossip", async { panic_deliberately() }),
            _ => drop(tokio::spawn(async { panic_deliberately() })),
        }
        tokio::time::sleep(TIME_AFTER_PANIC).await;
    });
}

/// Returns the exit status of a child process that panics at `location`.
fn status_after_panic(location: &str) -> Option<i32> {
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "started_process", "--ignored"])
        .env(PANIC_VARIABLE, location)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status();
    status.unwrap().code()
}

/// Guards against a process whose control member has ended and whose ports go on
/// answering.
#[test]
fn a_panic_of_what_decides_ends_the_process() {
    for location in ["deciding thread", "deciding task"] {
        assert_eq!(status_after_panic(location), Some(101), "{location}");
    }
}

#[test]
fn a_panic_in_one_request_leaves_the_process_alive() {
    assert_eq!(status_after_panic("request"), Some(0));
}
