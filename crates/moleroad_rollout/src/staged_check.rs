//! Proof that the pieces staged in an engine's store were intact, and for how long it
//! permits an order.

use moleroad_types::prelude::Millis;

/// Age of a check up to which an order may be sent on it, in milliseconds.
///
/// A piece may be corrupt for at most 3 s when the engine loads it. An order takes up to
/// 0.8 s to arrive; the rest is a margin.
pub const MAX_CHECK_AGE_MS: u64 = 2_000;

/// Proof that every staged piece was read and matched its digest. Only
/// [`CheckReads::finish`] creates it.
#[derive(Debug, PartialEq, Eq)]
pub struct StagedCheck {
    earliest_read: Millis,
}

impl StagedCheck {
    /// Returns the time since the first read of the check began, in milliseconds. A piece
    /// may have turned bad right after it was read.
    pub fn age_ms(&self, now: Millis) -> u64 {
        now.since(self.earliest_read)
    }

    /// Returns whether an order may be sent on this check.
    pub fn permits_order(&self, now: Millis) -> bool {
        self.age_ms(now) <= MAX_CHECK_AGE_MS
    }
}

/// What a read of a staged piece showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceRead {
    /// The piece matches its digest.
    Intact,
    /// The piece is missing or does not match its digest.
    Corrupt,
    /// The engine did not answer, so nothing is known of the piece.
    Unanswered,
}

/// Results of the reads of one check.
#[derive(Clone, Debug)]
pub struct CheckReads {
    earliest_read: Millis,
    latest: Vec<PieceRead>,
}

impl CheckReads {
    /// Begins a check of `pieces` pieces, none of which has been read yet.
    pub fn begin(now: Millis, pieces: usize) -> Self {
        Self {
            earliest_read: now,
            latest: vec![PieceRead::Unanswered; pieces],
        }
    }

    /// Records a read of a piece that began after the check.
    pub fn record(&mut self, piece: u32, read: PieceRead) {
        if let Some(latest) = self.latest.get_mut(piece as usize) {
            *latest = read;
        }
    }

    /// Returns the pieces whose latest read had this result.
    pub fn with(&self, read: PieceRead) -> Vec<u32> {
        let pieces = self.latest.iter().zip(0_u32..);
        let matching = pieces.filter(|(latest, _)| **latest == read);
        matching.map(|(_, piece)| piece).collect()
    }

    /// Returns the pieces that were not read intact.
    pub fn unproven(&self) -> Vec<u32> {
        let pieces = self.latest.iter().zip(0_u32..);
        let unproven = pieces.filter(|(latest, _)| **latest != PieceRead::Intact);
        unproven.map(|(_, piece)| piece).collect()
    }

    /// Returns the proof, or `None` unless all pieces were read intact.
    pub fn finish(&self) -> Option<StagedCheck> {
        let is_proven = self.latest.iter().all(|read| *read == PieceRead::Intact);
        is_proven.then_some(StagedCheck {
            earliest_read: self.earliest_read,
        })
    }
}
