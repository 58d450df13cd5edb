//! The terminations of targets under one suspect, and the holds that follow from them.

use crate::fingerprint::{AccountTag, Fingerprint};
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of targets that terminate under a suspect before it is held. A request may
/// run beside the cause once or twice by chance; the platform allows three
/// terminations.
pub const TERMINATIONS_TO_HOLD: usize = 3;
/// How long a termination counts, in milliseconds. An engine that a request terminates
/// is out of service for about 5 s, so that a request that is tried again every hour
/// costs 4 in 1,000 of the service time.
pub const TERMINATION_TTL_MS: u64 = 3_600_000;
/// Maximum number of terminations stored per suspect: enough to hold it, and one more.
pub const MAX_TERMINATIONS: usize = TERMINATIONS_TO_HOLD + 1;

/// Number of accounts whose requests must have terminated targets before a part of a
/// prompt is held for all accounts.
const ACCOUNTS_TO_HOLD_FOR_ALL: usize = 2;

/// One incarnation of a target: its identity and start time, since a target may restart
/// under the same identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// The target.
    pub target: TargetId,
    /// Start time that it reported, Unix time in milliseconds; 0 if it reported none.
    pub born_ms: u64,
}

/// A hold that follows from the known terminations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DerivedHold {
    /// What is held: one of [`Suspect::hold_keys`](crate::suspect::Suspect::hold_keys).
    pub key: Fingerprint,
    /// When the last termination needed for it happened.
    pub began: Millis,
    /// When it expires.
    pub until: Millis,
}

/// One termination.
#[derive(Clone, Debug)]
pub(crate) struct Termination {
    pub(crate) at: Millis,
    pub(crate) is_excused: bool,
    /// Position of its last change.
    pub(crate) changed: u64,
}

impl Termination {
    fn counts(&self, now: Millis) -> bool {
        !self.is_excused && now.since(self.at) < TERMINATION_TTL_MS
    }
}

/// Identifies a termination under a suspect: the target, and the account of the request
/// for a part of a prompt.
pub(crate) type TerminationKey = (TargetIncarnation, Option<AccountTag>);

/// The terminations under one suspect.
#[derive(Clone, Debug, Default)]
pub(crate) struct Terminations {
    by_key: BTreeMap<TerminationKey, Termination>,
}

impl Terminations {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TerminationKey, &Termination)> {
        self.by_key.iter()
    }

    /// Iterates over the targets that are known to have terminated under the suspect.
    pub(crate) fn lives(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.by_key.keys().map(|(life, _)| life)
    }

    pub(crate) fn are_of_prompt_part(&self) -> bool {
        let mut accounts = self.by_key.keys().map(|(_, account)| account);
        accounts.any(Option::is_some)
    }

    /// Iterates over the terminations that count towards a hold.
    pub(crate) fn counted(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (&TerminationKey, &Termination)> {
        let all = self.by_key.iter();
        all.filter(move |(_, termination)| termination.counts(now))
    }

    /// Returns when each target terminated in requests of `account`, or of any account, in
    /// order.
    pub(crate) fn times(&self, now: Millis, account: Option<Option<AccountTag>>) -> Vec<Millis> {
        let mut by_life: BTreeMap<&TargetIncarnation, Millis> = BTreeMap::new();
        for ((life, of), termination) in self.counted(now) {
            if account.is_none_or(|account| account == *of) {
                let at = by_life.entry(life).or_insert(termination.at);
                *at = termination.at.min(*at);
            }
        }
        let mut times: Vec<Millis> = by_life.into_values().collect();
        times.sort();
        times
    }

    /// Returns the holds that follow, each for one account or for all.
    pub(crate) fn holds(&self, now: Millis, fingerprint: &Fingerprint) -> Vec<DerivedHold> {
        if self.by_key.len() < TERMINATIONS_TO_HOLD {
            return Vec::new();
        }
        let accounts: BTreeSet<Option<AccountTag>> = self
            .counted(now)
            .map(|((_, account), _)| *account)
            .collect();
        let of_account = accounts.iter().filter_map(|account| {
            let key = account.map_or(*fingerprint, |account| fingerprint.within(account));
            hold_after(key, self.times(now, Some(*account)))
        });
        let of_all = (accounts.len() >= ACCOUNTS_TO_HOLD_FOR_ALL)
            .then(|| hold_after(*fingerprint, self.times(now, None)))
            .flatten();
        of_account.chain(of_all).collect()
    }

    /// Inserts a termination, or excuses the known one; returns true if that changed
    /// anything.
    pub(crate) fn insert(&mut self, key: TerminationKey, termination: Termination) -> bool {
        match self.by_key.get_mut(&key) {
            Some(known) if known.is_excused || !termination.is_excused => false,
            Some(known) => {
                known.is_excused = true;
                known.changed = termination.changed;
                true
            }
            None => {
                self.by_key.insert(key, termination);
                true
            }
        }
    }

    /// Excuses all terminations, each at the next `position`; returns true if that changed
    /// anything.
    pub(crate) fn excuse(&mut self, position: &mut u64) -> bool {
        let before = *position;
        for termination in self.by_key.values_mut() {
            if !termination.is_excused {
                *position += 1;
                termination.is_excused = true;
                termination.changed = *position;
            }
        }
        *position > before
    }

    /// Drops terminations that no longer count.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.by_key
            .retain(|_, termination| now.since(termination.at) < TERMINATION_TTL_MS);
    }

    /// Evicts the least relevant termination beyond [`MAX_TERMINATIONS`]: an excused one,
    /// else the oldest.
    pub(crate) fn evict_excess(&mut self) {
        if self.by_key.len() <= MAX_TERMINATIONS {
            return;
        }
        let rank = |(_, termination): &(&TerminationKey, &Termination)| {
            (!termination.is_excused, termination.at)
        };
        let least = self.by_key.iter().min_by_key(rank);
        if let Some(key) = least.map(|(key, _)| key.clone()) {
            self.by_key.remove(&key);
        }
    }
}

/// Returns the hold that follows from terminations at these times, in order.
fn hold_after(key: Fingerprint, times: Vec<Millis>) -> Option<DerivedHold> {
    // The hold lasts until so many terminations have expired that too few are left.
    let last_needed = times.len().checked_sub(TERMINATIONS_TO_HOLD)?;
    Some(DerivedHold {
        key,
        began: times[TERMINATIONS_TO_HOLD - 1],
        until: times[last_needed] + TERMINATION_TTL_MS,
    })
}
