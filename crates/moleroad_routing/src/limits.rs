//! Limits of the accounts, shared between entries.

use moleroad_types::prelude::*;
use std::collections::BTreeMap;

/// One entry's share of an account's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitShare {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests a second, in thousandths.
    pub milli_requests_per_second: u64,
}

impl LimitShare {
    /// The share of one of `entries` entries, rounded up and at least one.
    pub fn of(max_in_flight: u32, requests_per_second: u32, entries: usize) -> Self {
        let entries = entries.max(1) as u32;
        Self {
            in_flight: max_in_flight.div_ceil(entries),
            milli_requests_per_second: u64::from(requests_per_second) * 1_000 / u64::from(entries),
        }
    }
}

#[derive(Clone, Debug)]
struct AccountUse {
    in_flight: u32,
    /// Requests that may start now, in millionths.
    allowance: u64,
    refilled_at: Millis,
}

/// What the accounts use at one entry.
#[derive(Clone, Debug, Default)]
pub struct AccountLimits {
    accounts: BTreeMap<AccountId, AccountUse>,
}

/// One request, in the millionths that allowances count in.
const ONE_REQUEST: u64 = 1_000_000;
/// Allowance that may be saved up, as time at the account's rate.
const BURST_MS: u64 = 1_000;

impl AccountLimits {
    /// Starts a request, or says after how many milliseconds to come back.
    ///
    /// # Errors
    /// The time to come back, when the account is at a limit.
    pub fn start(&mut self, now: Millis, account: &AccountId, share: LimitShare) -> Result<(), u64> {
        let rate = share.milli_requests_per_second.max(1);
        let full = (rate * BURST_MS).max(ONE_REQUEST);
        let state = self.accounts.entry(account.clone()).or_insert(AccountUse {
            in_flight: 0,
            allowance: full,
            refilled_at: now,
        });
        let gained = now.since(state.refilled_at).saturating_mul(rate);
        state.allowance = state.allowance.saturating_add(gained).min(full);
        state.refilled_at = now;
        if state.in_flight >= share.in_flight {
            return Err(retry_after_ms(state.in_flight, rate));
        }
        if state.allowance < ONE_REQUEST {
            return Err((ONE_REQUEST - state.allowance).div_ceil(rate));
        }
        state.allowance -= ONE_REQUEST;
        state.in_flight += 1;
        Ok(())
    }

    /// Ends a request that was started.
    pub fn end(&mut self, account: &AccountId) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Requests of `account` in flight here.
    pub fn in_flight(&self, account: &AccountId) -> u32 {
        self.accounts.get(account).map_or(0, |state| state.in_flight)
    }
}

/// Time in which an account at its concurrency limit frees a place, at its
/// own rate; between 50 ms and 5 s.
fn retry_after_ms(in_flight: u32, milli_requests_per_second: u64) -> u64 {
    (u64::from(in_flight) * ONE_REQUEST / milli_requests_per_second / 4).clamp(50, 5_000)
}
