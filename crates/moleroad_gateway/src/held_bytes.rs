//! Bounds the bytes of requests and answers that this process holds: bodies that arrive, and
//! answers that callers have not taken yet.

use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Part of the process's memory that held bodies may use together, as a divisor.
const MEMORY_DIVISOR: usize = 4;
/// Bytes of each body that may be held in any case, so that small ones are never lost to
/// large ones.
const FREE_BYTES: usize = 64 << 10;

/// Number of parts of a stream that are buffered for a slow caller.
pub const PART_BUFFER: usize = 16;

/// The bytes held by all bodies together. What each may hold in any case does not count.
#[derive(Clone, Debug)]
pub struct HeldBytes {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl HeldBytes {
    /// Creates the count for a process that may use `memory_mb` MB.
    pub fn for_memory(memory_mb: u64) -> Self {
        Self {
            used: Arc::default(),
            limit: (memory_mb as usize * 1_000_000) / MEMORY_DIVISOR,
        }
    }

    /// Returns the number of bytes held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Begins to hold a body, of which nothing has arrived.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            held: self.clone(),
            reserved: 0,
        }
    }

    /// Counts a part of a stream as held until it is dropped. Parts that are small enough
    /// for a whole buffer of them to be free do not count.
    ///
    /// # Errors
    /// Returns the part if all bodies together would hold too many bytes.
    pub fn hold(&self, part: Bytes) -> Result<Bytes, Bytes> {
        if part.len() * PART_BUFFER <= FREE_BYTES {
            return Ok(part);
        }
        if !self.try_add(part.len()) {
            return Err(part);
        }
        let reservation = Reservation {
            held: self.clone(),
            reserved: part.len(),
        };
        Ok(Bytes::from_owner(HeldPart {
            part,
            _reservation: reservation,
        }))
    }

    fn try_add(&self, bytes: usize) -> bool {
        let add = |used: usize| Some(used + bytes).filter(|sum| *sum <= self.limit);
        let added = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.is_ok()
    }
}

/// The bytes that one body may hold; returned when dropped.
#[derive(Debug)]
pub struct Reservation {
    held: HeldBytes,
    reserved: usize,
}

impl Reservation {
    /// Changes the number of bytes that the body holds. Returns false, and changes
    /// nothing, if all bodies together would hold too many.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(FREE_BYTES);
        if wanted > self.reserved && !self.held.try_add(wanted - self.reserved) {
            return false;
        }
        let returned = self.reserved.saturating_sub(wanted);
        self.held.used.fetch_sub(returned, Ordering::Relaxed);
        self.reserved = wanted;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.held.used.fetch_sub(self.reserved, Ordering::Relaxed);
    }
}

/// A body that is being received.
#[derive(Debug)]
pub struct HeldBody {
    bytes: BytesMut,
    reservation: Reservation,
}

impl HeldBody {
    /// Creates an empty body.
    pub fn new(held: &HeldBytes) -> Self {
        Self {
            bytes: BytesMut::new(),
            reservation: held.reservation(),
        }
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes. Returns false, and adds nothing, if all bodies together would hold too
    /// many.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            // The memory that the buffer grows to counts.
            let capacity = needed.max(self.bytes.capacity() * 2);
            if !self.reservation.resize(capacity) {
                return false;
            }
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Returns the body. Its bytes count as held until the last part of it is dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.reservation.reserved == 0 {
            return self.bytes.freeze();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A part of a stream that its caller has not taken yet.
struct HeldPart {
    part: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.part
    }
}
