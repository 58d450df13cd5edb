//! A stand-in for the origin of weights.

use crate::documents::{self, MODEL};
use crate::http;
use crate::record;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Bandwidth of the origin's link, in bytes a millisecond.
const BYTES_PER_MS: u64 = 15_000 / 8;

/// How many of the next answers to `GET /v1/manifest/ID` arrive spoilt.
pub type Spoils = Arc<AtomicUsize>;

/// Starts the origin.
pub fn start(address: SocketAddr, spoils: Spoils) {
    let listener = TcpListener::bind(address).expect("the origin's address");
    let link_free_at = Mutex::new(Instant::now());
    http::serve(listener, move |request, stream| {
        let version = request.query("Version").unwrap_or(1);
        if request.path() == format!("/v1/manifest/{MODEL}") {
            let mut body = documents::manifest(version).into_bytes();
            let spoilt = spoils.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
            if spoilt.is_ok() {
                // One bit on the way: a digit of a digest becomes another digit.
                let (at, _) = body
                    .iter()
                    .enumerate()
                    .rev()
                    .find(|(_, byte)| matches!(byte, b'0'..=b'7'))
                    .expect("a digit");
                body[at] ^= 1;
            }
            record::line(&format!(
                "origin sends the manifest of version {version}{}",
                if spoilt.is_ok() { ", which arrives spoilt in one bit" } else { "" }
            ));
            return http::respond(stream, "200 OK", &[("Content-Type", "application/json".into())], &body);
        }
        let number = request.query("Quantity").unwrap_or(0);
        let bytes = documents::piece(version, number);
        let wait = {
            let mut free_at = link_free_at.lock().unwrap();
            let begin = (*free_at).max(Instant::now());
            *free_at = begin + Duration::from_millis(bytes.len() as u64 / BYTES_PER_MS);
            *free_at - Instant::now()
        };
        std::thread::sleep(wait);
        record::line(&format!("origin sends piece {number} of version {version}"));
        http::respond(stream, "200 OK", &[("Content-Type", "application/octet-stream".into())], &bytes)
    });
}
