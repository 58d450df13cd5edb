//! Notices that a target adds to its answers: that it is leaving, how many requests per
//! second it accepts from all entries, or for how long this daemon should back off.
//!
//! All of them apply to every later choice of this daemon: first sends, retries,
//! resumed streams, waiting requests, and an agent's calls. That a target is leaving
//! and its limit belong to its incarnation; they are kept in the directory and sent to
//! other daemons. A backoff concerns only the target and this daemon and is not shared.

use crate::interface::HeaderNames;
use crate::node::Node;
use crate::target_updates;
use crate::view::View;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use moleroad_directory::prelude::{RequestRate, TargetId};
use moleroad_dispatch::prelude::{Responder, parse_retry_after_ms};
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;

/// Rate limit stated in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// No limit.
    #[default]
    NotNamed,
    /// This rate, for all entries together.
    Named(RequestRate),
    /// A limit that cannot be parsed.
    Unreadable,
}

impl LimitNotice {
    /// Reads the limit from the headers; of several limits the strictest counts.
    fn read(names: &HeaderNames, headers: &HeaderMap) -> Self {
        let values = headers.get_all(&names.limit);
        let read = |value: &HeaderValue| value.to_str().ok().and_then(RequestRate::parse);
        match values.iter().filter_map(read).min() {
            Some(rate) => Self::Named(rate),
            None if values.iter().next().is_some() => Self::Unreadable,
            None => Self::NotNamed,
        }
    }
}

/// The head of a received answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead<'a> {
    /// The target that answered.
    pub(crate) from: Responder,
    /// Request or call id for the log.
    pub(crate) request: &'a str,
    /// When the request that this answers was sent; `None` for calls, whose answers
    /// need not contain all notices, and where it answers another request.
    pub(crate) sent_at: Option<Millis>,
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: &'a HeaderMap,
}

/// Notices in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether the target is leaving.
    pub leaves: bool,
    /// Requested backoff, in milliseconds.
    pub backoff_ms: Option<u64>,
    /// Whether the answer has a backoff that cannot be parsed.
    pub has_unreadable_backoff: bool,
    /// Rate limit of the target.
    pub limit: LimitNotice,
}

impl TargetNotice {
    /// Reads the head of an answer. Any value of the leaving header except `0` means that
    /// the target is leaving: sending to a leaving target loses requests, while avoiding
    /// one that stays only loses its capacity. Only an unavailable target (503) can ask
    /// for a backoff; of several times the longest counts.
    pub fn read(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(&names.leaving).iter();
        let mut notice = Self {
            leaves: values.any(|value| value.as_bytes() != b"0"),
            limit: LimitNotice::read(names, headers),
            ..Self::default()
        };
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return notice;
        }
        for value in headers.get_all(RETRY_AFTER) {
            match value.to_str().ok().and_then(parse_retry_after_ms) {
                Some(backoff_ms) => notice.backoff_ms = notice.backoff_ms.max(Some(backoff_ms)),
                None => notice.has_unreadable_backoff = true,
            }
        }
        notice
    }
}

impl View {
    /// Records the backoff that a target asked of this daemon; returns when it ends, if
    /// the incarnation that is known at this address is the one that asked.
    pub fn record_backoff(
        &mut self,
        now: Millis,
        from: Responder,
        answered_unix_ms: u64,
        backoff_ms: u64,
    ) -> Option<Millis> {
        let address = from.address;
        self.backoffs
            .record(now, from, answered_unix_ms, backoff_ms);
        let record = &self.directory.target_at(address)?.record;
        let until = self.backoffs.until(now, &Responder::of(record));
        if let Some(slots) = self.services.get_mut(&record.service) {
            slots.targets.set_backoff(&record.id, until);
        }
        until
    }
}

impl Node {
    /// Applies the notices in the head of an answer, whatever becomes of the answer.
    pub(crate) fn apply_notice(&self, head: AnswerHead<'_>) {
        let notice = TargetNotice::read(self.interface.headers(), head.status, head.headers);
        if notice.has_unreadable_backoff {
            self.report_unreadable_backoff(&head.from, head.request, head.headers);
        }
        if notice.leaves {
            self.record_leaving(&head.from, head.request);
        }
        self.apply_limit_notice(&head, notice.limit);
        if let Some(backoff_ms) = notice.backoff_ms.filter(|backoff_ms| *backoff_ms > 0) {
            self.record_requested_backoff(head.from, head.request, backoff_ms);
        }
    }

    /// Applies the rate limit in an answer. Its absence removes the limit only if the
    /// answer is a success: an answer that rejects or fails a request may lack any
    /// header.
    fn apply_limit_notice(&self, head: &AnswerHead<'_>, notice: LimitNotice) {
        match notice {
            LimitNotice::Named(rate) => self.record_limit(head, Some(rate)),
            LimitNotice::NotNamed if head.status.is_success() => self.record_limit(head, None),
            LimitNotice::NotNamed => {}
            LimitNotice::Unreadable => self.report_unreadable_limit(head),
        }
    }

    fn record_limit(&self, head: &AnswerHead<'_>, rate: Option<RequestRate>) {
        let Responder {
            target, born_ms, ..
        } = &head.from;
        let changed = {
            let now = self.clock.now();
            let mut view = self.view();
            let directory = &mut view.directory;
            let sent_at = head.sent_at;
            let changed = directory.update_target_limit(now, target, *born_ms, sent_at, rate);
            if changed {
                view.announce(target);
            }
            changed
        };
        if !changed {
            return;
        }
        self.metrics.count("target_named_limit");
        log::info!(
            event = "target_named_limit",
            request = head.request,
            target:% = target,
            is_limited = rate.is_some(),
            per_s = rate.map_or(0.0, RequestRate::as_per_s);
            ""
        );
    }

    fn report_unreadable_limit(&self, head: &AnswerHead<'_>) {
        self.metrics.count("target_limit_unreadable");
        let names = self.interface.headers();
        let named: Vec<_> = head.headers.get_all(&names.limit).iter().collect();
        log::warn!(
            event = "target_limit_unreadable",
            request = head.request,
            target:% = head.from.target,
            named:? = named;
            ""
        );
    }

    fn report_unreadable_backoff(&self, from: &Responder, request: &str, headers: &HeaderMap) {
        self.metrics.count("target_rest_unreadable");
        let asked: Vec<_> = headers.get_all(RETRY_AFTER).iter().collect();
        log::warn!(
            event = "target_rest_unreadable",
            request = request,
            target:% = from.target,
            asked:? = asked;
            ""
        );
    }

    fn record_leaving(&self, from: &Responder, request: &str) {
        let changed = {
            let mut view = self.view();
            let directory = &mut view.directory;
            let changed = directory.mark_target_draining(&from.target, from.born_ms);
            if changed {
                view.announce(&from.target);
            }
            changed
        };
        if !changed {
            return;
        }
        self.metrics.count("target_leaves");
        log::info!(
            event = "target_leaves",
            request = request,
            target:% = from.target;
            ""
        );
        target_updates::refresh_targets(self);
    }

    fn record_requested_backoff(&self, from: Responder, request: &str, backoff_ms: u64) {
        let now = self.clock.now();
        let target = from.target.clone();
        let answered_unix_ms = self.clock.unix_time().0;
        let mut view = self.view();
        let until = view.record_backoff(now, from, answered_unix_ms, backoff_ms);
        drop(view);
        self.metrics.count("target_rests");
        log::info!(
            event = "target_rests",
            request = request,
            target:% = target,
            asked_ms = backoff_ms,
            left_ms = until.map_or(0, |until| until.since(now));
            ""
        );
    }

    /// Returns the target at `address`, as known here. The origin of weights is not a
    /// registered target and is identified by its address.
    pub(crate) fn responder_at(&self, address: SocketAddr) -> Responder {
        let view = self.view();
        let observed = view.directory.target_at(address);
        observed.map_or_else(
            || Responder {
                address,
                target: TargetId::new(address.to_string()),
                born_ms: 0,
            },
            |observed| Responder::of(&observed.record),
        )
    }

    /// Returns how much longer this daemon has to back off from the target at
    /// `address`, in milliseconds; 0 when it does not.
    pub(crate) fn backoff_left_ms(&self, address: SocketAddr) -> u64 {
        let now = self.clock.now();
        let responder = self.responder_at(address);
        let until = self.view().backoffs.until(now, &responder);
        until.map_or(0, |until| until.since(now))
    }
}
