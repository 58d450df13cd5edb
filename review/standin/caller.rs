//! A client of a streaming route.

use crate::documents::{HOST, KEY};
use crate::http;
use crate::record;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What a client saw of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub status: u16,
    /// Number of events that came, in order and without a gap.
    pub events: u64,
    /// Whether events were missing, repeated or out of order.
    pub is_out_of_order: bool,
    /// Whether the answer ended as complete, with the last chunk.
    pub ended_as_complete: bool,
    pub text: String,
}

impl Seen {
    pub fn is_whole(&self, events: u64) -> bool {
        self.status == 200 && self.ended_as_complete && !self.is_out_of_order && self.events == events
    }
}

/// Sends one attempt and reads its answer as PROTOCOL says: until its end, the deadline, or
/// a gap of 2.4 s (eight times the pause of the route).
pub fn ask(entry: SocketAddr, id: &str, deadline_ms: u64) -> Seen {
    let mut seen = Seen::default();
    let until = Instant::now() + Duration::from_millis(deadline_ms);
    let headers = [
        ("Host", HOST.to_string()),
        ("Attempt-Id", id.to_string()),
        ("Deadline-Ms", deadline_ms.to_string()),
        ("Key", KEY.to_string()),
        ("Model", crate::documents::MODEL.to_string()),
        ("Token-Usage", "973,106".to_string()),
        ("Prefix-Hash", format!("5c1e07a2:40,{id}:933")),
    ];
    let gap = Duration::from_millis(2_400);
    record::line(&format!("client sends {id} to {entry}, Deadline-Ms {deadline_ms}"));
    match http::begin(entry, "POST /draft/note", &headers, b"{\"prompt\":\"a consignment note\"}", gap) {
        Err(error) => seen.text = format!("no answer: {error}"),
        Ok((status, headers, mut reader)) => {
            seen.status = status;
            if status != 200 {
                seen.text = format!("Retry-After {:?}", http::header(&headers, "retry-after"));
            } else {
                let mut text = String::new();
                loop {
                    if Instant::now() > until {
                        seen.text = "the client's deadline is over".into();
                        break;
                    }
                    match http::read_chunk(&mut reader) {
                        Ok(chunk) if chunk.is_empty() => {
                            seen.ended_as_complete = true;
                            seen.is_out_of_order |= !text.is_empty();
                            break;
                        }
                        Ok(chunk) => {
                            text += &String::from_utf8_lossy(&chunk);
                            while let Some((event, rest)) = text.split_once("\n\n") {
                                seen.is_out_of_order |= !event.starts_with(&format!("id: {}\n", seen.events));
                                seen.events += 1;
                                text = rest.to_string();
                            }
                        }
                        Err(error) => {
                            seen.text = format!("the answer breaks off: {error}");
                            break;
                        }
                    }
                }
            }
        }
    }
    record::line(&format!(
        "client got for {id}: status {}, {} events, in order: {}, ended as complete: {} {}",
        seen.status, seen.events, !seen.is_out_of_order, seen.ended_as_complete, seen.text
    ));
    seen
}
