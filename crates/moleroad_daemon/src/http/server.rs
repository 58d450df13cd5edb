//! An HTTP server with a thread for each request and a limit on them.

use crate::http::exchange::Exchange;
use crossbeam::channel::{Sender, bounded};
use moleroad_types::prelude::{MoleroadError, ResultCode};
use socket2::{SockRef, TcpKeepalive};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use tiny_http::Server;

/// Longest time a write may block on a peer that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which a silent connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
/// Refusals that wait to be written.
const REFUSALS_WAITING: usize = 256;
/// Threads that write refusals; a refused sender may be slow.
const REFUSAL_THREADS: usize = 4;
/// How often the accept loop looks whether it shall stop.
const STOP_POLL: Duration = Duration::from_millis(100);

/// Handles one request.
pub type Handler = Arc<dyn Fn(Exchange) + Send + Sync>;

/// A running server.
#[derive(Clone, Debug)]
pub struct HttpServer {
    active: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
}

impl HttpServer {
    /// Listens on `address` and handles up to `max_requests` at a time.
    ///
    /// # Errors
    /// [`ResultCode::AddressInUse`] when the address cannot be listened on.
    pub fn start(
        address: SocketAddr,
        max_requests: usize,
        handler: Handler,
    ) -> Result<Self, MoleroadError> {
        let in_use = |error: std::io::Error| {
            MoleroadError::new(
                ResultCode::AddressInUse,
                format!("http_address {address}: {error}"),
            )
        };
        let listener = listen(address).map_err(in_use)?;
        let server = Self {
            active: Arc::default(),
            stopped: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener, max_requests, &handler));
        Ok(server)
    }

    /// Requests being handled.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Takes no more requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Serves until stopped. The library ends its accept loop on any error,
    /// such as too many open files; a new one then takes over the listener.
    fn accept(&self, listener: &TcpListener, max_requests: usize, handler: &Handler) {
        let refusals = start_refusals();
        while !self.stopped.load(Ordering::Acquire) {
            let server = match listener
                .try_clone()
                .map(|listener| Server::from_listener(listener, None))
            {
                Ok(Ok(server)) => server,
                _ => {
                    thread::sleep(STOP_POLL);
                    continue;
                }
            };
            self.receive(&server, max_requests, handler, &refusals);
        }
    }

    fn receive(
        &self,
        server: &Server,
        max_requests: usize,
        handler: &Handler,
        refusals: &Sender<Exchange>,
    ) {
        while !self.stopped.load(Ordering::Acquire) {
            let request = match server.recv_timeout(STOP_POLL) {
                Ok(Some(request)) => request,
                Ok(None) => continue,
                Err(error) => {
                    log::error!(error:% = error; "accepting failed; listening anew");
                    return;
                }
            };
            let exchange = Exchange::new(request);
            if self.active.fetch_add(1, Ordering::AcqRel) >= max_requests {
                self.active.fetch_sub(1, Ordering::AcqRel);
                let _ = refusals.try_send(exchange);
                continue;
            }
            self.handle(exchange, Arc::clone(handler));
        }
    }

    fn handle(&self, exchange: Exchange, handler: Handler) {
        let place = ActivePlace(Arc::clone(&self.active));
        let spawned = thread::Builder::new()
            .name("request".into())
            .spawn(move || {
                let _place = place;
                handler(exchange);
            });
        if let Err(error) = spawned {
            log::error!(error:% = error; "no thread for a request");
        }
    }
}

/// Gives the place back when the request's thread ends, however it ends.
struct ActivePlace(Arc<AtomicUsize>);

impl Drop for ActivePlace {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    let socket = SockRef::from(&listener);
    // Accepted connections inherit these from the listener.
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))?;
    Ok(listener)
}

/// Threads that answer requests beyond the limit.
fn start_refusals() -> Sender<Exchange> {
    let (sender, receiver) = bounded::<Exchange>(REFUSALS_WAITING);
    for _ in 0..REFUSAL_THREADS {
        let receiver = receiver.clone();
        thread::spawn(move || {
            for exchange in receiver {
                let busy = MoleroadError::new(ResultCode::Busy, "").retry_after(BUSY_RETRY_MS);
                exchange.refuse(&busy);
            }
        });
    }
    sender
}

/// When a caller that found the instance full may come back.
const BUSY_RETRY_MS: u64 = 500;
