//! Cutting a stream of bytes into whole events.
//!
//! The format is that of server-sent events (WHATWG HTML, section 9.2): lines
//! with a field name, an event ends with an empty line.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one ends the stream as broken.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    scanned: usize,
    last_id: Option<Bytes>,
}

impl EventSplitter {
    /// Begins after the event `last_id`, if there was one.
    pub fn after(last_id: Option<Bytes>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Takes bytes and returns all events that are whole now. Events that are
    /// not newer than the last one are left out.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.event_end() {
            let event = self.rest.split_to(end);
            self.scanned = 0;
            if self.is_news(&event) {
                whole.extend_from_slice(&event);
            }
        }
        whole.freeze()
    }

    /// Identity of the last event given out.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Whether part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Whether an event is longer than may be.
    pub fn is_too_long(&self) -> bool {
        self.rest.len() > MAX_EVENT_BYTES
    }

    /// Drops part of an event, as when its target is lost.
    pub fn discard_partial_event(&mut self) {
        self.rest.clear();
        self.scanned = 0;
    }

    fn event_end(&mut self) -> Option<usize> {
        let bytes = &self.rest[..];
        // Up to three bytes of an end may lie before what is new.
        let start = self.scanned.saturating_sub(3);
        for at in start..bytes.len() {
            let tail = &bytes[at..];
            if tail.starts_with(b"\n\n") || tail.starts_with(b"\r\r") {
                return Some(at + 2);
            }
            if tail.starts_with(b"\r\n\r\n") {
                return Some(at + 4);
            }
        }
        self.scanned = bytes.len();
        None
    }

    fn is_news(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            return true;
        };
        let number = |bytes: &[u8]| std::str::from_utf8(bytes).ok()?.parse::<u64>().ok();
        if let Some(last) = &self.last_id
            && let (Some(last), Some(new)) = (number(last), number(id))
            && new <= last
        {
            return false;
        }
        self.last_id = Some(Bytes::copy_from_slice(id));
        true
    }
}

fn event_id(event: &[u8]) -> Option<&[u8]> {
    let lines = event.split(|byte| *byte == b'\n' || *byte == b'\r');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next_back().map(|id| id.trim_ascii())
}
