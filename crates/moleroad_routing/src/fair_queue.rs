//! Shares the places at one target between accounts.

use moleroad_types::prelude::AccountId;
use std::collections::{BTreeMap, VecDeque};

/// Names a request that waits or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub u64);

/// A queue for each account before a fixed number of places.
///
/// A free place goes to the account that has the fewest, and among equals to
/// the one that was served longest ago, so that an account that floods waits
/// behind itself and not before others.
#[derive(Clone, Debug)]
pub struct FairQueue {
    places: usize,
    max_waiting_per_account: usize,
    running: usize,
    next_ticket: u64,
    turn: u64,
    accounts: BTreeMap<AccountId, AccountQueue>,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    waiting: VecDeque<QueueTicket>,
    running: usize,
    served_at: u64,
}

/// What became of a request that asked for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queued {
    /// It may run.
    Runs(QueueTicket),
    /// It waits until [`FairQueue::finish`] or [`FairQueue::leave`] names it.
    Waits(QueueTicket),
    /// Its account has too many waiting.
    Full,
}

impl FairQueue {
    /// A queue before `places` places.
    pub fn new(places: usize, max_waiting_per_account: usize) -> Self {
        Self {
            places,
            max_waiting_per_account,
            running: 0,
            next_ticket: 0,
            turn: 0,
            accounts: BTreeMap::new(),
        }
    }

    /// Asks for a place for a request of `account`.
    pub fn enter(&mut self, account: &AccountId) -> Queued {
        self.next_ticket += 1;
        let ticket = QueueTicket(self.next_ticket);
        if self.running < self.places {
            self.run(account);
            return Queued::Runs(ticket);
        }
        let queue = self.accounts.entry(account.clone()).or_default();
        if queue.waiting.len() >= self.max_waiting_per_account {
            return Queued::Full;
        }
        queue.waiting.push_back(ticket);
        Queued::Waits(ticket)
    }

    /// A request of `account` ended; returns the one that may run now.
    pub fn finish(&mut self, account: &AccountId) -> Option<QueueTicket> {
        self.running -= 1;
        if let Some(queue) = self.accounts.get_mut(account) {
            queue.running -= 1;
        }
        let next = self.next_account()?;
        let ticket = self.accounts.get_mut(&next)?.waiting.pop_front();
        self.run(&next);
        self.forget_idle(account);
        ticket
    }

    /// A request of `account` gave up waiting. False if it runs already.
    pub fn leave(&mut self, account: &AccountId, ticket: QueueTicket) -> bool {
        let Some(queue) = self.accounts.get_mut(account) else {
            return false;
        };
        let before = queue.waiting.len();
        queue.waiting.retain(|waiting| *waiting != ticket);
        let left = queue.waiting.len() < before;
        self.forget_idle(account);
        left
    }

    /// Places that must come free before a new request of `account` runs: one
    /// for each of its own that wait, times the accounts that take turns.
    pub fn turns_before(&self, account: &AccountId) -> usize {
        if self.running < self.places {
            return 0;
        }
        let own = self
            .accounts
            .get(account)
            .map_or(0, |queue| queue.waiting.len());
        let others = self
            .accounts
            .iter()
            .filter(|(other, queue)| *other != account && !queue.waiting.is_empty());
        ((own + 1) * (others.count() + 1)).min(self.waiting() + 1)
    }

    /// Number of places.
    pub fn places(&self) -> usize {
        self.places
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.accounts
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running
    }

    fn next_account(&self) -> Option<AccountId> {
        let waiting = self
            .accounts
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty());
        let next = waiting.min_by_key(|(_, queue)| (queue.running, queue.served_at));
        next.map(|(account, _)| account.clone())
    }

    fn run(&mut self, account: &AccountId) {
        self.running += 1;
        self.turn += 1;
        let queue = self.accounts.entry(account.clone()).or_default();
        queue.running += 1;
        queue.served_at = self.turn;
    }

    fn forget_idle(&mut self, account: &AccountId) {
        let idle = |queue: &AccountQueue| queue.running == 0 && queue.waiting.is_empty();
        if self.accounts.get(account).is_some_and(idle) {
            self.accounts.remove(account);
        }
    }
}
