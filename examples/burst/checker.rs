//! Checks responses while weights are distributed.

use moleroad_fakes::caller::caller_post;
use moleroad_fakes::deployment::account_key;
use moleroad_fakes::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Number of tokens of each response that is checked during the burst.
const TOKENS: u64 = 6;
/// Sends requests to the model during the burst and checks every response.
pub struct Checker {
    stop: Arc<AtomicBool>,
    bad: Arc<AtomicU64>,
    checked: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Checker {
    /// Starts to send requests to two entries.
    pub fn start(deployment: &Deployment) -> Self {
        let mut checker = Self {
            stop: Arc::default(),
            bad: Arc::default(),
            checked: Arc::default(),
            threads: Vec::new(),
        };
        for (_, entry) in deployment.entries().iter().take(2) {
            let (stop, bad, checked) = (
                checker.stop.clone(),
                checker.bad.clone(),
                checker.checked.clone(),
            );
            let entry = *entry;
            checker.threads.push(thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    check_answer(entry, &bad, &checked);
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
        checker
    }

    /// Stops; returns how many responses were wrong, and how many were checked.
    pub fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Release);
        self.threads
            .into_iter()
            .for_each(|thread| drop(thread.join()));
        (
            self.bad.load(Ordering::Acquire),
            self.checked.load(Ordering::Acquire),
        )
    }
}

/// Checks one response: rejections are ignored, a response must be complete and of one
/// version.
fn check_answer(entry: SocketAddr, bad: &AtomicU64, checked: &AtomicU64) {
    let body =
        format!("{{\"model\":\"notes\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":{TOKENS}}}");
    let answer = caller_post(
        entry,
        "/v1/completions",
        &account_key("pallets"),
        &BTreeMap::new(),
        &body,
    );
    if answer.status != 200 {
        return;
    }
    checked.fetch_add(1, Ordering::AcqRel);
    let texts = answer.stream_texts();
    let roots: Vec<&str> = texts
        .iter()
        .filter_map(|text| text.split(':').next())
        .collect();
    let one_root = roots.windows(2).all(|pair| pair[0] == pair[1]);
    // An interrupted stream is marked as such; it must not look complete.
    if answer.whole && !(one_root && texts.len() as u64 == TOKENS) {
        bad.fetch_add(1, Ordering::AcqRel);
    }
}
