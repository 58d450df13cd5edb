//! The stop of an entry whose callers go on sending, on real processes.

mod support;

use moleroad_fakes::prelude::*;
use moleroad_fakes::process::Signal;
use moleroad_types::prelude::RootDigest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::*;

/// Number of callers, whose streams overlap.
const CALLERS: usize = 4;
/// Time that an engine takes per token.
const TOKEN_TIME: Duration = Duration::from_millis(20);
/// Length of a stream in tokens: it takes 1 s.
const TOKENS: u64 = 50;
/// Pause of a caller after an answer that is no stream.
const PAUSE: Duration = Duration::from_millis(50);
/// An entry that is no control member, whose stop costs nobody else anything.
const STOPPED: &str = "entry-3";

/// Requests streams until `ended`; returns the answers.
fn go_on_calling(entry: SocketAddr, ended: &AtomicBool) -> Vec<CallerAnswer> {
    let mut answers = Vec::new();
    while !ended.load(Ordering::Acquire) {
        let answer = request_stream(entry, TOKENS);
        if answer.status != 200 {
            thread::sleep(PAUSE);
        }
        answers.push(answer);
    }
    answers
}

/// Starts callers that overlap evenly.
fn start_callers(
    entry: SocketAddr,
    ended: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<Vec<CallerAnswer>>> {
    let offset = TOKEN_TIME * TOKENS as u32 / CALLERS as u32;
    let start = |_| {
        thread::sleep(offset);
        let ended = Arc::clone(ended);
        thread::spawn(move || go_on_calling(entry, &ended))
    };
    (0..CALLERS).map(start).collect()
}

/// Checks that a stream is whole, and that any other answer says that nothing ran.
fn check_answer(answer: &CallerAnswer, root: RootDigest) {
    match answer.status {
        200 => assert!(answer.is_complete_stream(root, TOKENS), "{answer:?}"),
        // The entry is gone.
        0 => {}
        _ => assert_eq!(answer.code.as_deref(), Some("MR-2008"), "{answer:?}"),
    }
}

// Guards against requests that are taken until the service manager kills the process.
#[test]
fn an_entry_that_leaves_ends_although_its_callers_go_on() {
    let (mut deployment, root) = start(DeploymentShape {
        entries: 4,
        token_time: TOKEN_TIME,
        ..shape()
    });
    let (_, entry) = deployment.entries()[3];
    let ended = Arc::new(AtomicBool::new(false));
    let callers = start_callers(entry, &ended);
    deployment.process(STOPPED).signal(Signal::Terminate);
    let exit = wait_until("the entry to end", || {
        deployment.process(STOPPED).exit_status()
    });
    ended.store(true, Ordering::Release);
    let answers: Vec<_> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("a caller ends"))
        .collect();
    assert!(exit.success(), "{exit:?}");
    assert!(answers.iter().any(|answer| answer.status == 200));
    for answer in &answers {
        check_answer(answer, root);
    }
}
