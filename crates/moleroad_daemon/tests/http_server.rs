//! The HTTP server of the daemon while it stops.

use moleroad_daemon::http::exchange::FullResponse;
use moleroad_daemon::http::{Exchange, HttpServer};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::time::Duration;

/// Time that the handler takes for a request.
const WORK: Duration = Duration::from_millis(300);

/// Time after the beginning of a stop at which a late request is sent: idle threads of the
/// server have noticed the stop by then.
const LATE: Duration = Duration::from_secs(1);

/// Time that a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request on a new connection and returns the response.
fn call(address: SocketAddr) -> String {
    let mut connection = TcpStream::connect(address).expect("the server listens");
    // A request that is received after the last thread has ended gets no response.
    let timeout = connection.set_read_timeout(Some(RESPONSE_TIMEOUT));
    timeout.expect("a timeout");
    let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    connection.write_all(request).expect("the server reads");
    let mut response = String::new();
    let _ = connection.read_to_string(&mut response);
    response
}

/// Starts a server that counts the requests that it handles; `work` runs for each of them.
fn start(
    handled: &Arc<AtomicUsize>,
    work: impl Fn() + Send + Sync + 'static,
) -> (HttpServer, SocketAddr) {
    let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = free.local_addr().expect("its address");
    drop(free);
    let handled = Arc::clone(handled);
    let handler = Arc::new(move |exchange: Exchange| {
        handled.fetch_add(1, Ordering::SeqCst);
        work();
        exchange.respond(FullResponse::json(&"done"));
    });
    let server = HttpServer::start(address, 8, handler).expect("the server starts");
    (server, address)
}

/// Handles a request that takes a short time.
fn short_work() {
    std::thread::sleep(WORK);
}

/// Waits until the server handles a request.
fn wait_for_request(handled: &AtomicUsize) {
    while handled.load(Ordering::SeqCst) == 0 {
        std::thread::yield_now();
    }
}

// Guards against taking a request that the exit of the process cuts.
#[test]
fn a_stopped_server_handles_no_further_request() {
    let handled = Arc::new(AtomicUsize::new(0));
    let (server, address) = start(&handled, short_work);
    assert!(call(address).contains("done"));
    server.stop();
    let response = call(address);
    assert_eq!(handled.load(Ordering::SeqCst), 1, "{response}");
    assert!(!response.contains("200 OK"), "{response}");
}

// Guards against returning from a stop before the responses are written.
#[test]
fn a_stop_waits_for_the_responses_in_progress() {
    let handled = Arc::new(AtomicUsize::new(0));
    let (server, address) = start(&handled, short_work);
    let caller = std::thread::spawn(move || call(address));
    wait_for_request(&handled);
    server.stop();
    assert_eq!(server.active(), 0);
    assert!(caller.join().expect("a response").contains("done"));
}

// Guards against leaving a late request without a response until the exit.
#[test]
fn a_stopping_server_rejects_a_late_request_while_others_are_in_progress() {
    let handled = Arc::new(AtomicUsize::new(0));
    let work_ends = Arc::new(Barrier::new(2));
    let work_end = Arc::clone(&work_ends);
    let (server, address) = start(&handled, move || {
        work_end.wait();
    });
    let caller = std::thread::spawn(move || call(address));
    wait_for_request(&handled);
    let stopping = std::thread::spawn(move || server.stop());
    std::thread::sleep(LATE);
    let late = call(address);
    work_ends.wait();
    stopping.join().expect("the server stops");
    assert!(late.starts_with("HTTP/1.1 503"), "{late}");
    assert!(late.contains("MR-2008"), "{late}");
    assert!(caller.join().expect("a response").contains("done"));
    assert_eq!(handled.load(Ordering::SeqCst), 1);
}
