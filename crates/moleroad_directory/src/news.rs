//! What one daemon tells another of what changed in its directory.
//!
//! Whoever asked before names the number up to which it knows all ([`Cursor`]) and
//! gets what changed since: [`Directory::news`]. [`Directory::apply_delta`] is the
//! caller's side.

use crate::changes::{Aged, LoadNews};
use crate::daemon::{DaemonRecord, DaemonRole};
use crate::directory::{Directory, Observed};
use crate::slots::{Slot, SlotAges};
use crate::target::TargetRecord;
use moleroad_types::prelude::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// How far one daemon knows the changes of another one's directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Incarnation of the daemon whose directory it is.
    pub incarnation: u64,
    /// Number of the last change that is known.
    pub position: u64,
}

/// What one daemon wants to hear from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Nothing of others.
    #[default]
    Nothing,
    /// Of daemons in the callee's data hall, and of those that call it.
    CalleesHall,
    /// Of all daemons.
    All,
}

/// What the asker does with what it hears.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Interest {
    /// Sends requests, or passes on news.
    #[default]
    Requests,
    /// Brings weights: it needs no load, and of targets its own engine only.
    Weights,
}

/// A question for news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaRequest {
    /// Of whom.
    pub scope: Scope,
    /// What is known already.
    pub after: Cursor,
    /// Whether signs of life are wanted.
    pub lives: bool,
    /// Whether pieces of weights matter.
    pub pieces: bool,
    /// What else matters.
    pub interest: Interest,
    /// Whether it is enough to hear of the relays, where there is more to tell than
    /// fits one answer.
    pub relays_suffice: bool,
}

/// A daemon that changed, and its number in the callee's answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonNews {
    /// Its number from now on.
    pub slot: Slot,
    /// What it said, and how long ago.
    pub aged: Aged<DaemonRecord>,
}

/// How busy a daemon became whose record was told before.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotLoad {
    /// Its number.
    pub slot: Slot,
    /// Number of the last change of its record.
    pub sequence: u64,
    /// How busy it is.
    pub load: LoadNews,
    /// How long ago it spoke, in milliseconds.
    pub age_ms: u64,
}

/// What changed in a directory since a [`Cursor`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// How far this goes.
    pub cursor: Cursor,
    /// Whether there is more than this, to be asked for at once.
    pub has_more: bool,
    /// Daemons that changed in more than their load.
    pub daemons: Vec<DaemonNews>,
    /// Daemons whose load changed.
    pub loads: Vec<SlotLoad>,
    /// How long ago each daemon spoke that was told of, where that was asked.
    pub ages: Option<SlotAges>,
    /// Targets that changed.
    pub targets: Vec<Aged<TargetRecord>>,
}

/// Most records of daemons and targets in one answer: some 40 KB, so that many
/// askers at once are each answered within their time on a narrow link.
pub const MAX_RECORDS: usize = 192;

/// The changes that one answer covers.
#[derive(Clone, Copy)]
struct Span {
    /// Changes up to here are known.
    after: u64,
    /// The last change that is told.
    until: u64,
}

impl Span {
    fn has(self, position: u64) -> bool {
        self.after < position && position <= self.until
    }
}

impl Directory {
    /// What changed since the caller's cursor. `incarnation` is that of this
    /// process, `own_hall` its data hall; the caller is not told of itself.
    ///
    /// One answer holds [`MAX_RECORDS`] at most, so that its size does not grow with
    /// the number of daemons; what is left is told when it is asked for.
    pub fn news(
        &self,
        now: Millis,
        incarnation: u64,
        own_hall: &str,
        caller: &InstanceId,
        question: DeltaRequest,
    ) -> News {
        if question.scope == Scope::Nothing {
            return News {
                cursor: Cursor {
                    incarnation,
                    position: self.position,
                },
                ..News::default()
            };
        }
        if question.relays_suffice && self.daemons.len() + self.targets.len() > MAX_RECORDS {
            return self.news_of_relays(now, incarnation, caller);
        }
        let is_wanted = |heard: &&Observed<DaemonRecord>| {
            let is_in_scope = question.scope == Scope::All
                || heard.record.hall == own_hall
                || heard.is_first_hand(now);
            is_in_scope && heard.record.instance != *caller
        };
        let after = match question.after {
            known if known.incarnation == incarnation => known.position,
            _ => 0,
        };
        let daemons = || self.daemons.values().filter(is_wanted);
        let targets = || {
            self.targets
                .values()
                .filter(|heard| self.matters(heard, caller, question))
        };
        let positions = daemons()
            .filter_map(|heard| heard.changes.first_record_after(after, question.pieces))
            .chain(targets().map(|heard| heard.changes.record));
        let until = last_of_page(
            positions.filter(|position| *position > after),
            self.position,
        );
        let span = Span { after, until };
        let mut news = News {
            cursor: Cursor {
                incarnation,
                position: until,
            },
            has_more: until < self.position,
            ..News::default()
        };
        for heard in daemons() {
            news.add(now, heard, span, question);
        }
        if question.lives && !news.has_more {
            news.ages = Some(SlotAges::of(now, daemons()));
        }
        let changed = targets().filter(|target| span.has(target.changes.record));
        news.targets = changed.map(|target| target.aged(now)).collect();
        news
    }

    /// Whether an asker is told of a target.
    fn matters(
        &self,
        target: &Observed<TargetRecord>,
        caller: &InstanceId,
        question: DeltaRequest,
    ) -> bool {
        let caller = self.daemons.get(caller);
        let is_engine =
            |caller: &Observed<DaemonRecord>| caller.record.engine == Some(target.record.address);
        question.wants_requests() || caller.is_none_or(is_engine)
    }

    /// The relays of all data halls, for a daemon that begins: the one of its own
    /// hall tells it the rest, so that few answers hold the whole directory.
    fn news_of_relays(&self, now: Millis, incarnation: u64, caller: &InstanceId) -> News {
        let halls = self.entry_halls().into_iter();
        let relays = halls.flat_map(|hall| self.relays(now, hall));
        let others = relays.filter(|relay| relay.instance != *caller);
        let heard = others.filter_map(|relay| self.daemons.get(&relay.instance));
        News {
            cursor: Cursor {
                incarnation,
                position: 0,
            },
            daemons: heard.map(|heard| DaemonNews::of(now, heard)).collect(),
            ..News::default()
        }
    }
}

impl DeltaRequest {
    fn wants_requests(&self) -> bool {
        self.interest == Interest::Requests
    }
}

/// The last of `positions` that fits one answer, or `newest` if all do.
fn last_of_page(positions: impl Iterator<Item = u64>, newest: u64) -> u64 {
    let mut positions: Vec<u64> = positions.collect();
    if positions.len() <= MAX_RECORDS {
        return newest;
    }
    let (_, last, _) = positions.select_nth_unstable(MAX_RECORDS - 1);
    *last
}

impl DaemonNews {
    fn of(now: Millis, heard: &Observed<DaemonRecord>) -> Self {
        Self {
            slot: heard.changes.slot,
            aged: heard.aged(now),
        }
    }
}

impl News {
    /// Whether the caller now knows all that the callee does.
    pub fn is_whole(&self) -> bool {
        !self.has_more && self.cursor.position > 0
    }

    fn add(
        &mut self,
        now: Millis,
        heard: &Observed<DaemonRecord>,
        span: Span,
        question: DeltaRequest,
    ) {
        let (record, changes) = (&heard.record, heard.changes);
        if span.has(changes.record) || (question.pieces && span.has(changes.pieces)) {
            let mut news = DaemonNews::of(now, heard);
            if !question.pieces && record.role == DaemonRole::Agent {
                news.aged.record.pieces.clear();
            }
            self.daemons.push(news);
        } else if changes.record <= span.until
            && span.has(changes.load)
            && question.wants_requests()
        {
            self.loads.push(SlotLoad {
                slot: changes.slot,
                sequence: record.sequence,
                load: LoadNews::of(record),
                age_ms: now.since(heard.at),
            });
        }
    }
}
