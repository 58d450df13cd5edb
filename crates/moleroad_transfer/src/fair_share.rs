//! Shares one link between accounts.

use moleroad_types::prelude::AccountId;
use std::collections::BTreeMap;

/// Start-time fair queueing over accounts: the account that has had the least
/// goes next, and one that was idle does not save up.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    taken: BTreeMap<AccountId, u64>,
    virtual_time: u64,
}

impl FairShare {
    /// The account of `waiting` that goes next.
    pub fn next<'a>(&self, waiting: impl IntoIterator<Item = &'a AccountId>) -> Option<&'a AccountId> {
        waiting.into_iter().min_by_key(|account| (self.start_of(account), (*account).clone()))
    }

    /// Counts `bytes` against `account`.
    pub fn charge(&mut self, account: &AccountId, bytes: u64) {
        let start = self.start_of(account);
        self.virtual_time = self.virtual_time.max(start);
        self.taken.insert(account.clone(), start + bytes);
    }

    fn start_of(&self, account: &AccountId) -> u64 {
        self.taken.get(account).copied().unwrap_or(0).max(self.virtual_time)
    }
}
