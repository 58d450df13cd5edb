//! What an answer says of its target beside the answer itself: that the target
//! leaves, or for how long it wants nothing more from this daemon.

use crate::acquire::Place;
use crate::front::request::Accepted;
use crate::interface::HeaderNames;
use crate::node::Node;
use hyper::StatusCode;
use hyper::header::{HeaderMap, RETRY_AFTER};
use moleroad_dispatch::prelude::{Answering, read_rest_ms};

/// What the head of an answer says of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// It leaves.
    pub leaves: bool,
    /// For how long it wants nothing more, in milliseconds.
    pub rest_ms: Option<u64>,
    /// Whether it asked for rest in a form that cannot be read.
    pub has_unreadable_rest: bool,
}

impl TargetNotice {
    /// Reads the head of an answer. Any value but `0` says that the target leaves:
    /// sending to one that does is worse than doing without it. Only a target that
    /// is not available (503) asks for rest; of several times the longest counts.
    pub fn read(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> Self {
        let said = headers.get_all(&names.leaving).iter();
        let leaves = said.into_iter().any(|value| value.as_bytes() != b"0");
        let mut notice = Self {
            leaves,
            ..Self::default()
        };
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return notice;
        }
        for value in headers.get_all(RETRY_AFTER) {
            match value.to_str().ok().and_then(read_rest_ms) {
                Some(rest_ms) => notice.rest_ms = notice.rest_ms.max(Some(rest_ms)),
                None => notice.has_unreadable_rest = true,
            }
        }
        notice
    }
}

impl Node {
    /// Takes what the head of an answer says of its target.
    pub(super) fn take_notice(
        &self,
        request: &Accepted,
        place: &Place,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        let notice = TargetNotice::read(self.interface.headers(), status, headers);
        if notice.has_unreadable_rest {
            self.metrics.count("target_rest_unreadable");
            log::warn!(
                event = "target_rest_unreadable",
                request = request.id.to_str().unwrap_or("-"),
                target:% = place.candidate.id,
                asked:? = headers.get_all(RETRY_AFTER).iter().collect::<Vec<_>>();
                ""
            );
        }
        if notice.leaves {
            self.metrics.count("target_leaves");
            log::info!(
                event = "target_leaves",
                request = request.id.to_str().unwrap_or("-"),
                target:% = place.candidate.id;
                ""
            );
        }
        if let Some(rest_ms) = notice.rest_ms.filter(|rest_ms| *rest_ms > 0) {
            self.note_rest(request, place, rest_ms);
        }
    }

    fn note_rest(&self, request: &Accepted, place: &Place, rest_ms: u64) {
        let now = self.clock.now();
        let answering = Answering {
            target: &place.candidate.id,
            born_ms: place.life.born_ms,
            answered_unix_ms: self.clock.time_of_day().0,
        };
        let until = self.view().rests.ask(now, &answering, rest_ms);
        self.metrics.count("target_rests");
        log::info!(
            event = "target_rests",
            request = request.id.to_str().unwrap_or("-"),
            target:% = place.candidate.id,
            asked_ms = rest_ms,
            left_ms = until.since(now);
            ""
        );
    }

    /// Says so when a send begins while its target rests.
    pub(super) fn note_send_in_rest(&self, request: &Accepted, place: &Place) {
        let now = self.clock.now();
        let (id, born_ms) = (&place.candidate.id, place.life.born_ms);
        let Some(until) = self.view().rests.until(now, id, born_ms) else {
            return;
        };
        self.metrics.count("sent_in_rest");
        log::info!(
            event = "sent_in_rest",
            request = request.id.to_str().unwrap_or("-"),
            target:% = id,
            left_ms = until.since(now),
            place_age_ms = now.since(place.taken_at);
            ""
        );
    }
}
