//! The links of the simulated swarm, which send one piece after the other.

use super::{Event, MESSAGE_DELAY_MS, Source, Swarm};

/// Number of pieces that may queue for an agent's link before it refuses.
const MAX_QUEUED_SENDS: u64 = 2;

impl Swarm {
    /// Requests a piece from `from`, which refuses it or sends it over its link.
    pub(super) fn request(&mut self, now: u64, to: usize, from: Source, piece: u32) {
        let requested = now + MESSAGE_DELAY_MS;
        let refused_at = requested + MESSAGE_DELAY_MS;
        let failed = Event::Failed { to, from, piece };
        match from {
            Source::Origin => {
                let is_off = self.setup.origin_off.contains(&requested);
                self.origin_used += 1;
                if is_off || self.origin_used > self.setup.origin_connections {
                    return self.at(refused_at, failed);
                }
                let sent = self.origin_free_ms.max(requested) + self.setup.origin_piece_ms;
                self.origin_free_ms = sent;
                if sent >= self.setup.origin_off.start && requested < self.setup.origin_off.start {
                    let off = self.setup.origin_off.start;
                    return self.at(off, failed);
                }
                self.origin_fetches += 1;
                self.deliver(sent, to, from, piece);
            }
            Source::Agent(source) if self.is_dead(source, now) => self.at(refused_at, failed),
            Source::Agent(source) => {
                let piece_ms = self.setup.link_piece_ms;
                let start = self.agents[source].up_free_ms.max(requested);
                if start >= requested + piece_ms * MAX_QUEUED_SENDS {
                    return self.at(refused_at, failed);
                }
                self.agents[source].up_free_ms = start + piece_ms;
                if self.agents[source].region != self.agents[to].region {
                    self.crossings[self.agents[to].region] += 1;
                }
                self.deliver(start + piece_ms, to, from, piece);
            }
        }
    }

    fn deliver(&mut self, sent: u64, to: usize, from: Source, piece: u32) {
        let free = self.agents[to].down_free_ms + self.setup.link_piece_ms;
        let arrives = sent.max(free);
        self.agents[to].down_free_ms = arrives;
        self.at(
            arrives + MESSAGE_DELAY_MS,
            Event::Arrived { to, from, piece },
        );
    }
}
