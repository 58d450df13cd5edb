//! Requests under which targets ended, as one daemon knows them.
//!
//! Each end of a target under a request is one fact, known by the request's
//! fingerprint and the life that ended. Facts are passed on between daemons and
//! only add up, so that every daemon comes to the same verdict whichever way and
//! in whichever order they come: a request is held once [`TERMINATIONS_TO_HOLD`] targets
//! ended under it and none of them is excused. A request that runs to a good end
//! anywhere is excused: it does not end *each* target, it ran beside one that
//! does, or its target ended for a reason of its own.

use crate::fingerprint::RequestFingerprint;
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Targets that end under a request before it is held. A request may be beside
/// one that ends its target once or twice by chance; the platform allows three
/// ends.
pub const TERMINATIONS_TO_HOLD: usize = 3;
/// How long the end of a target counts, in milliseconds. An engine that a request
/// ends serves nobody for some 5 s, so that one kept up by the hour costs it
/// 4 in 1,000 of its time.
pub const TERMINATION_TTL_MS: u64 = 3_600_000;
/// Time after a hold has begun in which copies of the request wait in place of
/// being refused, in milliseconds: a good end of it at another entry comes to all
/// within four greetings of 100 ms. Without it an entry refused an ordinary
/// request for 20 ms in 2 of 56 runs under faults.
pub const HOLD_DECISION_MS: u64 = 400;
/// Most requests that are kept. A target that ends leaves those that ran and waited there;
/// what is beyond is given up from the least suspect on.
pub const MOST_SUSPECTS: usize = 1_024;
/// Most ends that are kept of one request: enough to hold it, and one more.
pub const MOST_ENDS: usize = TERMINATIONS_TO_HOLD + 1;
/// Most facts that one message brings; the rest comes with the next one.
pub const MOST_NEWS: usize = 256;

/// Other targets that end about when a target ends under a request: as many make
/// it doubtful that the request is what ended it.
const TARGETS_OF_A_WAVE: usize = 2;
/// How far apart targets end that end together, in milliseconds: a rack or a bad
/// version of an engine takes them down within a second.
const WAVE_MS: u64 = 1_000;

/// One life of a target: its identity and when it began, since a target may
/// begin again under the same identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// The target.
    pub target: TargetId,
    /// Unix time of its start as it says, in milliseconds; 0 when it does not.
    pub born_ms: u64,
}

/// That a life of a target ended under a request, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The life that ended.
    pub life: TargetIncarnation,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
    /// Whether the request ran to a good end elsewhere.
    pub is_excused: bool,
}

/// What a fact changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Nothing.
    Nothing,
    /// It is news.
    News,
    /// It is news, and the request is held from now on.
    Held,
}

#[derive(Clone, Debug)]
struct End {
    at: Millis,
    is_excused: bool,
    /// Number of the last change.
    changed: u64,
}

impl End {
    fn counts(&self, now: Millis) -> bool {
        !self.is_excused && now.since(self.at) < TERMINATION_TTL_MS
    }
}

type Ends = BTreeMap<TargetIncarnation, End>;

/// Requests under which targets ended.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    ends: HashMap<RequestFingerprint, Ends>,
    position: u64,
}

impl Suspects {
    /// Number of the last change; each gets the next one.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Number of requests under which targets ended.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether no target ended under any request.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Takes a fact that was found here or told by another daemon.
    pub fn take(&mut self, now: Millis, news: TerminationReport) -> RecordOutcome {
        if news.age_ms >= TERMINATION_TTL_MS {
            return RecordOutcome::Nothing;
        }
        let request = news.request;
        let was_held = self.hold_left_ms(now, &request).is_some();
        let at = Millis(now.0.saturating_sub(news.age_ms));
        if !self.put(at, news) {
            return RecordOutcome::Nothing;
        }
        self.keep_bounds(now, &request);
        let is_held = self.hold_left_ms(now, &request).is_some();
        if is_held && !was_held {
            RecordOutcome::Held
        } else {
            RecordOutcome::News
        }
    }

    /// Excuses a request that ran to a good end; true if targets had ended under
    /// it.
    pub fn excuse(&mut self, request: &RequestFingerprint) -> bool {
        let Some(ends) = self.ends.get_mut(request) else {
            return false;
        };
        let accused = ends.values_mut().filter(|end| !end.is_excused);
        let mut changed = false;
        for end in accused {
            self.position += 1;
            end.is_excused = true;
            end.changed = self.position;
            changed = true;
        }
        changed
    }

    /// How much longer a request is held, in milliseconds; `None` when it may be
    /// sent.
    pub fn hold_left_ms(&self, now: Millis, request: &RequestFingerprint) -> Option<u64> {
        let ends = self.ends.get(request)?;
        let mut counted: Vec<Millis> = counted(ends, now).map(|end| end.at).collect();
        counted.sort();
        // Held until so many of them count no more that too few are left.
        let last = counted.len().checked_sub(TERMINATIONS_TO_HOLD)?;
        Some((counted[last] + TERMINATION_TTL_MS).since(now))
    }

    /// How much longer it is open whether a request stays held, in milliseconds;
    /// 0 when it is decided or not held.
    pub fn decision_left_ms(&self, now: Millis, request: &RequestFingerprint) -> u64 {
        let Some(ends) = self.ends.get(request) else {
            return 0;
        };
        let mut counted: Vec<Millis> = counted(ends, now).map(|end| end.at).collect();
        counted.sort();
        let began = counted.get(TERMINATIONS_TO_HOLD - 1);
        began.map_or(0, |began| (*began + HOLD_DECISION_MS).since(now))
    }

    /// Requests that are held now.
    pub fn held(&self, now: Millis) -> impl Iterator<Item = RequestFingerprint> {
        let is_held =
            move |request: &&RequestFingerprint| self.hold_left_ms(now, request).is_some();
        self.ends.keys().filter(is_held).copied()
    }

    /// Targets that ended under a request and are counted.
    pub fn terminations_under(
        &self,
        now: Millis,
        request: &RequestFingerprint,
    ) -> impl Iterator<Item = &TargetIncarnation> {
        let ends = self.ends.get(request).into_iter().flatten();
        ends.filter(move |(_, end)| end.counts(now))
            .map(|(life, _)| life)
    }

    /// Whether something else than a held request may be what ended its targets:
    /// another held request was at one of them, or one ended together with
    /// others that did not have it.
    pub fn has_other_explanation(&self, now: Millis, request: &RequestFingerprint) -> bool {
        let Some(ends) = self.ends.get(request) else {
            return false;
        };
        let mut counted = ends.iter().filter(|(_, end)| end.counts(now));
        self.is_beside_a_held_one(now, request)
            || counted.any(|(_, end)| self.others_at(end.at, ends) >= TARGETS_OF_A_WAVE)
    }

    fn is_beside_a_held_one(&self, now: Millis, request: &RequestFingerprint) -> bool {
        let lives: BTreeSet<&TargetIncarnation> = self.terminations_under(now, request).collect();
        self.held(now).filter(|held| held != request).any(|held| {
            self.terminations_under(now, &held)
                .any(|life| lives.contains(life))
        })
    }

    /// Targets that ended about then, and none of them among `ends`.
    fn others_at(&self, at: Millis, ends: &Ends) -> usize {
        let is_near = |end: &End| end.at.0.abs_diff(at.0) < WAVE_MS;
        let all = self.ends.values().flatten();
        let near = all.filter(|(life, end)| is_near(end) && !ends.contains_key(life));
        let others: BTreeSet<&TargetIncarnation> = near.map(|(life, _)| life).collect();
        others.len()
    }

    /// What changed after `position`, oldest change first, and the position up
    /// to which that is all.
    pub fn since(&self, now: Millis, position: u64) -> (Vec<TerminationReport>, u64) {
        if position >= self.position {
            return (Vec::new(), self.position);
        }
        let all = self
            .ends
            .iter()
            .flat_map(|(request, ends)| ends.iter().map(move |(life, end)| (request, life, end)));
        let mut changed: Vec<_> = all.filter(|(_, _, end)| end.changed > position).collect();
        changed.sort_by_key(|(_, _, end)| end.changed);
        let is_all = changed.len() <= MOST_NEWS;
        changed.truncate(MOST_NEWS);
        let reached = match changed.last() {
            Some((_, _, end)) if !is_all => end.changed,
            _ => self.position,
        };
        let news = changed
            .into_iter()
            .map(|(request, life, end)| TerminationReport {
                request: *request,
                life: life.clone(),
                age_ms: now.since(end.at),
                is_excused: end.is_excused,
            });
        (news.collect(), reached)
    }

    /// Forgets ends that count no more.
    pub fn expire(&mut self, now: Millis) {
        self.ends.retain(|_, ends| {
            ends.retain(|_, end| now.since(end.at) < TERMINATION_TTL_MS);
            !ends.is_empty()
        });
    }

    /// Puts a fact to the others; true if it is news.
    fn put(&mut self, at: Millis, news: TerminationReport) -> bool {
        let next = self.position + 1;
        let ends = self.ends.entry(news.request).or_default();
        match ends.get_mut(&news.life) {
            Some(known) if known.is_excused || !news.is_excused => return false,
            Some(known) => {
                known.is_excused = true;
                known.changed = next;
            }
            None => {
                let end = End {
                    at,
                    is_excused: news.is_excused,
                    changed: next,
                };
                ends.insert(news.life, end);
            }
        }
        self.position = next;
        true
    }

    fn keep_bounds(&mut self, now: Millis, newest: &RequestFingerprint) {
        if let Some(ends) = self.ends.get_mut(newest)
            && ends.len() > MOST_ENDS
            && let Some(least) = least_end(ends)
        {
            ends.remove(&least);
        }
        if self.ends.len() > MOST_SUSPECTS
            && let Some(least) = self.least_suspect(now)
        {
            self.ends.remove(&least);
        }
    }

    /// The request with the fewest ends that count, the longest ago.
    fn least_suspect(&self, now: Millis) -> Option<RequestFingerprint> {
        let rank = |(request, ends): &(&RequestFingerprint, &Ends)| {
            let newest = ends.values().map(|end| end.at).max();
            (counted(ends, now).count(), newest, **request)
        };
        let least = self.ends.iter().min_by_key(rank);
        least.map(|(request, _)| *request)
    }
}

fn counted(ends: &Ends, now: Millis) -> impl Iterator<Item = &End> {
    ends.values().filter(move |end| end.counts(now))
}

/// The end that says least: an excused one, else the oldest.
fn least_end(ends: &Ends) -> Option<TargetIncarnation> {
    let rank = |(_, end): &(&TargetIncarnation, &End)| (!end.is_excused, end.at);
    let least = ends.iter().min_by_key(rank);
    least.map(|(life, _)| life.clone())
}
