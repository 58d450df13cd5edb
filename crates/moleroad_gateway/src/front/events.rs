//! Splits a stream of bytes into complete server-sent events.
//!
//! The format is defined in WHATWG HTML, section 9.2: an event consists of lines
//! that begin with a field name, and ends with an empty line.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a larger one is treated as a broken stream.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    scanned: usize,
    last_id: Option<Bytes>,
}

impl EventSplitter {
    /// Creates a splitter that resumes after the event `last_id`, if there is one.
    pub fn after(last_id: Option<Bytes>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes and returns all events that they complete. Events with a numeric
    /// id that is not greater than the last one are dropped.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.event_end() {
            let event = self.partial.split_to(end);
            self.scanned = 0;
            if self.is_new(&event) {
                whole.extend_from_slice(&event);
            }
        }
        whole.freeze()
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the size of the incomplete event that is buffered, in bytes.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the buffered event exceeds [`MAX_EVENT_BYTES`].
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event, for example when its target is lost.
    pub fn discard_partial_event(&mut self) {
        self.partial.clear();
        self.scanned = 0;
    }

    fn event_end(&mut self) -> Option<usize> {
        let bytes = &self.partial[..];
        // Up to three bytes of the terminator may have been scanned before.
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

    fn is_new(&mut self, event: &[u8]) -> bool {
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
