//! The HTTP server of the daemon while it stops.

use moleroad_daemon::http::exchange::FullResponse;
use moleroad_daemon::http::{Exchange, HttpServer};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time that the handler takes for a request.
const WORK: Duration = Duration::from_millis(300);

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

/// Starts a server that counts the requests that it handles.
fn start(handled: &Arc<AtomicUsize>) -> (HttpServer, SocketAddr) {
    let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = free.local_addr().expect("its address");
    drop(free);
    let handled = Arc::clone(handled);
    let handler = Arc::new(move |exchange: Exchange| {
        handled.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(WORK);
        exchange.respond(FullResponse::json(&"done"));
    });
    let server = HttpServer::start(address, 8, handler).expect("the server starts");
    (server, address)
}

// Guards against taking a request that the exit of the process cuts.
#[test]
fn a_stopped_server_handles_no_further_request() {
    let handled = Arc::new(AtomicUsize::new(0));
    let (server, address) = start(&handled);
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
    let (server, address) = start(&handled);
    let caller = std::thread::spawn(move || call(address));
    while handled.load(Ordering::SeqCst) == 0 {
        std::thread::yield_now();
    }
    server.stop();
    assert_eq!(server.active(), 0);
    assert!(caller.join().expect("a response").contains("done"));
}
