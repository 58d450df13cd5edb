//! What an answer says of its target beside the answer itself: that the target
//! leaves, how many requests a second it takes from all entries, or for how long it
//! wants nothing more from this daemon.
//!
//! All bind every later choice of this daemon: first sends, repeats, resumed
//! streams, requests that wait, and an agent's calls. That a target leaves and its
//! limit are facts of its life, kept in the directory and told to other daemons; the
//! wish for rest is between the two and told to nobody.

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

/// What the head of an answer says of the requests that its target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing.
    #[default]
    NotNamed,
    /// So many, from all entries together.
    Named(RequestRate),
    /// A limit in a form that cannot be read.
    Unreadable,
}

impl LimitNotice {
    /// Reads the head of an answer; of several limits the strictest counts.
    fn read(names: &HeaderNames, headers: &HeaderMap) -> Self {
        let values = headers.get_all(&names.limit);
        let read = |value: &HeaderValue| value.to_str().ok().and_then(RequestRate::read);
        match values.iter().filter_map(read).min() {
            Some(rate) => Self::Named(rate),
            None if values.iter().next().is_some() => Self::Unreadable,
            None => Self::NotNamed,
        }
    }
}

/// The head of an answer, as it came here.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead<'a> {
    /// What made it.
    pub(crate) from: Responder,
    /// The request or call in the log.
    pub(crate) request: &'a str,
    /// When the request that it answers was sent; `None` for calls, whose answers
    /// need not tell all, and where it answers another request.
    pub(crate) sent_at: Option<Millis>,
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: &'a HeaderMap,
}

/// What the head of an answer says of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// It leaves.
    pub leaves: bool,
    /// For how long it wants nothing more, in milliseconds.
    pub rest_ms: Option<u64>,
    /// Whether it asked for rest in a form that cannot be read.
    pub has_unreadable_rest: bool,
    /// The requests that it takes.
    pub limit: LimitNotice,
}

impl TargetNotice {
    /// Reads the head of an answer. Any value but `0` says that the target leaves:
    /// to go on sending to one that does costs requests, to do without one that
    /// does not costs a place. Only a target that is not available (503) asks for
    /// rest; of several times the longest counts.
    pub fn read(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> Self {
        let mut said = headers.get_all(&names.leaving).iter();
        let mut notice = Self {
            leaves: said.any(|value| value.as_bytes() != b"0"),
            limit: LimitNotice::read(names, headers),
            ..Self::default()
        };
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return notice;
        }
        for value in headers.get_all(RETRY_AFTER) {
            match value.to_str().ok().and_then(parse_retry_after_ms) {
                Some(rest_ms) => notice.rest_ms = notice.rest_ms.max(Some(rest_ms)),
                None => notice.has_unreadable_rest = true,
            }
        }
        notice
    }
}

impl View {
    /// Takes how long a target wants nothing from this daemon; returns until when it
    /// rests, if the life that is known there is the one that asked.
    pub fn rest_target(
        &mut self,
        now: Millis,
        from: Responder,
        answered_unix_ms: u64,
        rest_ms: u64,
    ) -> Option<Millis> {
        let address = from.address;
        self.rests.ask(now, from, answered_unix_ms, rest_ms);
        let record = &self.directory.target_at(address)?.record;
        let until = self.rests.until(now, &Responder::of(record));
        if let Some(places) = self.services.get_mut(&record.service) {
            places.targets.set_backoff(&record.id, until);
        }
        until
    }
}

impl Node {
    /// Takes what the head of an answer says of the target that made it, whatever
    /// becomes of the answer.
    pub(crate) fn apply_notice(&self, head: AnswerHead<'_>) {
        let notice = TargetNotice::read(self.interface.headers(), head.status, head.headers);
        if notice.has_unreadable_rest {
            self.note_unreadable_rest(&head.from, head.request, head.headers);
        }
        if notice.leaves {
            self.note_leaving(&head.from, head.request);
        }
        self.take_limit_notice(&head, notice.limit);
        if let Some(rest_ms) = notice.rest_ms.filter(|rest_ms| *rest_ms > 0) {
            self.note_rest(head.from, head.request, rest_ms);
        }
    }

    /// Takes what a target says of the requests that it takes. That it names no limit
    /// any more is only taken from an answer with success: one that it turned away or
    /// failed may lack any header.
    fn take_limit_notice(&self, head: &AnswerHead<'_>, notice: LimitNotice) {
        match notice {
            LimitNotice::Named(rate) => self.note_limit(head, Some(rate)),
            LimitNotice::NotNamed if head.status.is_success() => self.note_limit(head, None),
            LimitNotice::NotNamed => {}
            LimitNotice::Unreadable => self.note_unreadable_limit(head),
        }
    }

    fn note_limit(&self, head: &AnswerHead<'_>, rate: Option<RequestRate>) {
        let Responder {
            target, born_ms, ..
        } = &head.from;
        let is_news = {
            let now = self.clock.now();
            let mut view = self.view();
            let directory = &mut view.directory;
            let sent_at = head.sent_at;
            let is_news = directory.target_named_limit(now, target, *born_ms, sent_at, rate);
            if is_news {
                view.tell_of(target);
            }
            is_news
        };
        if !is_news {
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

    fn note_unreadable_limit(&self, head: &AnswerHead<'_>) {
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

    fn note_unreadable_rest(&self, from: &Responder, request: &str, headers: &HeaderMap) {
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

    fn note_leaving(&self, from: &Responder, request: &str) {
        let is_news = {
            let now = self.clock.now();
            let mut view = self.view();
            let directory = &mut view.directory;
            let is_news = directory.target_leaves(now, &from.target, from.born_ms);
            if is_news {
                view.tell_of(&from.target);
            }
            is_news
        };
        if !is_news {
            return;
        }
        self.metrics.count("target_leaves");
        log::info!(
            event = "target_leaves",
            request = request,
            target:% = from.target;
            ""
        );
        target_updates::applied(self);
    }

    fn note_rest(&self, from: Responder, request: &str, rest_ms: u64) {
        let now = self.clock.now();
        let target = from.target.clone();
        let answered_unix_ms = self.clock.unix_time().0;
        let mut view = self.view();
        let until = view.rest_target(now, from, answered_unix_ms, rest_ms);
        drop(view);
        self.metrics.count("target_rests");
        log::info!(
            event = "target_rests",
            request = request,
            target:% = target,
            asked_ms = rest_ms,
            left_ms = until.map_or(0, |until| until.since(now));
            ""
        );
    }

    /// What answers at `address`, as it is known here. The origin of weights is on no
    /// list; it goes by its address.
    pub(crate) fn answerer_at(&self, address: SocketAddr) -> Responder {
        let view = self.view();
        let heard = view.directory.target_at(address);
        heard.map_or_else(
            || Responder {
                address,
                target: TargetId::new(address.to_string()),
                born_ms: 0,
            },
            |heard| Responder::of(&heard.record),
        )
    }

    /// How much longer what answers at `address` rests from this daemon, in
    /// milliseconds; 0 when it does not.
    pub(crate) fn backoff_left_ms(&self, address: SocketAddr) -> u64 {
        let now = self.clock.now();
        let answerer = self.answerer_at(address);
        let until = self.view().rests.until(now, &answerer);
        until.map_or(0, |until| until.since(now))
    }
}
