//! Acceptance of content that carries no checksum of its own.

/// Number of different reads that are remembered.
const MAX_READS: usize = 8;

/// Reads of the same content from a source whose answers may arrive corrupted. One is
/// accepted once another read agrees with it: two that were corrupted alike are not to be
/// expected.
///
/// ```
/// use moleroad_rollout::prelude::*;
///
/// let mut reads = AgreedReads::default();
/// assert_eq!(reads.add("sound"), None);
/// assert_eq!(reads.add("s*und"), None);
/// assert_eq!(reads.add("sound"), Some("sound"));
/// ```
#[derive(Clone, Debug)]
pub struct AgreedReads<T> {
    reads: Vec<T>,
}

impl<T> Default for AgreedReads<T> {
    fn default() -> Self {
        Self { reads: Vec::new() }
    }
}

impl<T: PartialEq> AgreedReads<T> {
    /// Adds a read. Returns it if an earlier one agrees.
    pub fn add(&mut self, read: T) -> Option<T> {
        if self.reads.contains(&read) {
            self.reads.clear();
            return Some(read);
        }
        if self.reads.len() == MAX_READS {
            self.reads.remove(0);
        }
        self.reads.push(read);
        None
    }
}
