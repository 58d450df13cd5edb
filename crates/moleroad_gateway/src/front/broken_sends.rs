//! Records sends whose connection broke while the target had the request.

use crate::acquire::ReservedSlot;
use crate::front::attempt::Attempts;
use crate::front::exchange::SendError;

/// How much of the answer had arrived when the connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Neither head nor body.
    NoHead,
    /// The head of a stream, but no event.
    NoEvent,
    /// Some events of a stream.
    SomeEvents,
    /// Part of the body of an answer that is no stream.
    PartOfBody,
}

impl Attempts {
    /// Records that the body of an answer that is no stream could not be read.
    pub(super) fn record_body_error(&self, slot: &ReservedSlot, error: SendError) {
        match error {
            SendError::Broken => self.record_break(slot, Progress::PartOfBody),
            SendError::TooLarge => log::info!(
                event = "answer_too_large",
                request = self.request.id.to_str().unwrap_or("-"),
                target:% = slot.candidate.id,
                held_bytes = self.node.held_bytes.used() as u64,
                elapsed_ms = self.node.clock.now().since(self.request.arrived);
                ""
            ),
            _ => {}
        }
    }

    /// Records that the target or the link broke the connection of a send.
    pub(super) fn record_break(&self, slot: &ReservedSlot, progress: Progress) {
        self.node.metrics.count("request_broke");
        log::info!(
            event = "request_broke",
            request = self.request.id.to_str().unwrap_or("-"),
            fingerprint:% = self.request.suspects.content(),
            parts = self.request.prompt_parts.join(",").as_str(),
            target:% = slot.candidate.id,
            progress:? = progress,
            sends = self.sends(),
            elapsed_ms = self.node.clock.now().since(self.request.arrived);
            ""
        );
        let address = slot.candidate.address;
        let suspects = slot.suspects().unwrap_or(&self.request.suspects).clone();
        self.node
            .handle_request_break(slot.incarnation.clone(), address, suspects);
    }
}
