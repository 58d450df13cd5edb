//! What an entry knows from control.

use crate::context::Context;
use crate::http::exchange::WholeAnswer;
use moleroad_events::prelude::EventKind;
use moleroad_routing::prelude::*;
use moleroad_rpc::prelude::*;
use moleroad_settings::prelude::EntrySettings;
use moleroad_state::prelude::ObjectUpdate;
use moleroad_types::object::{AccountSpec, ServiceSpec};
use moleroad_types::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// When a caller of a stale entry may come back to it.
const STALE_RETRY_MS: u64 = 1_000;

/// The entry's view and its own load, shared by all request threads.
pub(crate) struct EntryState {
    pub(crate) context: Arc<Context>,
    pub(crate) settings: EntrySettings,
    view: Mutex<View>,
}

/// What the lock guards.
pub(crate) struct View {
    pub(crate) revision: Revision,
    pub(crate) routes: Option<TableVersion>,
    pub(crate) router: Router,
    pub(crate) limits: AccountLimits,
    budgets: BTreeMap<AccountId, RetryBudget>,
    accounts: BTreeMap<AccountId, AccountSpec>,
    keys: BTreeMap<KeyHash, AccountId>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    entries: Vec<EntryAddress>,
    /// When the call was made whose answer last proved the view current.
    fresh_at: Option<Millis>,
    pub(crate) in_flight: u32,
}

#[derive(Serialize)]
struct EntriesAnswer {
    entries: Vec<EntryItem>,
    keep_ms: u64,
}

#[derive(Serialize)]
struct EntryItem {
    instance: InstanceId,
    address: String,
    data_hall: DataHall,
    weight: u32,
}

impl EntryState {
    pub(crate) fn new(context: Arc<Context>, settings: EntrySettings) -> Self {
        let data_hall = context.settings.data_hall.clone();
        let view = View {
            revision: Revision(0),
            routes: None,
            router: Router::new(RouterSettings::default(), data_hall, rand::random()),
            limits: AccountLimits::default(),
            budgets: BTreeMap::new(),
            accounts: BTreeMap::new(),
            keys: BTreeMap::new(),
            services: BTreeMap::new(),
            entries: Vec::new(),
            fresh_at: None,
            in_flight: 0,
        };
        Self {
            context,
            settings,
            view: Mutex::new(view),
        }
    }

    /// The view, for a short look or change.
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Refuses when control has not proved for too long that the view is
    /// current: selectors or keys may have been withdrawn meanwhile.
    pub(crate) fn check_fresh(&self) -> Result<(), MoleroadError> {
        let now = self.context.clock.now();
        let fresh_at = self.view().fresh_at;
        if fresh_at.is_some_and(|at| now.since(at) <= self.settings.freshness_limit_ms) {
            return Ok(());
        }
        Err(MoleroadError::new(ResultCode::StaleConfiguration, "").retry_after(STALE_RETRY_MS))
    }

    /// Takes an answer to the report that was sent at `asked_at`.
    pub(crate) fn update(&self, asked_at: Millis, answer: EntryView) {
        let now = self.context.clock.now();
        self.context.events.observe(answer.stamp);
        let mut view = self.view();
        view.fresh_at = view.fresh_at.max(Some(asked_at));
        let in_force = view.take_objects(answer.objects);
        if let Some(routes) = answer.routes {
            view.take_routes(now, routes);
        }
        if let Some(entries) = answer.entries {
            view.entries = entries;
        }
        let revision = view.revision;
        drop(view);
        if in_force {
            self.context.metrics.revision.set(revision.0 as i64);
            self.context.events.record(EventKind::InForce { revision });
        }
    }

    /// The answer to `GET /v1/entries`.
    pub(crate) fn entries_answer(&self) -> WholeAnswer {
        let listed = self.view().entries.clone();
        let loads: Vec<(InstanceId, u32)> = listed
            .iter()
            .map(|e| (e.instance.clone(), e.in_flight))
            .collect();
        let items = listed
            .into_iter()
            .zip(spread(&loads))
            .map(|(entry, share)| EntryItem {
                instance: entry.instance,
                address: entry.address.to_string(),
                data_hall: entry.data_hall,
                weight: share.weight,
            });
        let entries: Vec<EntryItem> = items.collect();
        WholeAnswer::json(&EntriesAnswer {
            entries,
            keep_ms: self.settings.entries_keep_ms,
        })
    }
}

impl View {
    /// Takes changed objects; true if they brought a later revision. An
    /// earlier revision never replaces a later one.
    fn take_objects(&mut self, update: ObjectUpdate) -> bool {
        if update.revision <= self.revision {
            return false;
        }
        self.revision = update.revision;
        for object in update.objects {
            self.take_object(object);
        }
        true
    }

    fn take_object(&mut self, object: Object) {
        let account = AccountId::new(object.name.as_str());
        match object.spec {
            Spec::Account(spec) => {
                self.forget_keys(&account);
                self.keys
                    .extend(spec.key_hashes.iter().map(|hash| (*hash, account.clone())));
                self.accounts.insert(account, spec);
            }
            Spec::Service(spec) => {
                self.services.insert(spec.service.clone(), spec);
            }
            Spec::Deleted(moleroad_types::object::ObjectKind::Account) => {
                self.forget_keys(&account);
                self.accounts.remove(&account);
            }
            Spec::Deleted(moleroad_types::object::ObjectKind::Service) => {
                self.services
                    .remove(&ServiceName::new(object.name.as_str()));
            }
            _ => {}
        }
    }

    fn forget_keys(&mut self, account: &AccountId) {
        self.keys.retain(|_, owner| owner != account);
    }

    fn take_routes(&mut self, now: Millis, update: RouteUpdate) {
        // A deposed leader's table does not replace its successor's.
        if self.routes.is_some_and(|known| update.version < known) {
            return;
        }
        if update.complete {
            let listed: Vec<&InstanceId> = update
                .changed
                .iter()
                .map(|change| &change.instance)
                .collect();
            for instance in self.router.instances() {
                if !listed.contains(&&instance) {
                    self.router.set_route(now, instance, None);
                }
            }
        }
        for change in update.changed {
            self.router.set_route(now, change.instance, change.route);
        }
        self.routes = Some(update.version);
    }

    /// The account that `key` belongs to.
    pub(crate) fn account_of(&self, key: &str) -> Option<&AccountId> {
        self.keys.get(&KeyHash::of(key.as_bytes()))
    }

    /// Whether `account` may call `service`.
    pub(crate) fn may_call(&self, account: &AccountId, service: &ServiceName) -> bool {
        self.services
            .get(service)
            .is_some_and(|spec| spec.accounts.contains(account))
    }

    /// This entry's share of the limits of `account`.
    pub(crate) fn share_of(&self, account: &AccountId) -> Option<LimitShare> {
        let spec = self.accounts.get(account)?;
        Some(LimitShare::of(
            spec.max_in_flight,
            spec.requests_per_second,
            self.entries.len(),
        ))
    }

    /// The retry budget of `account`.
    pub(crate) fn budget(&mut self, account: &AccountId, percent: u32) -> &mut RetryBudget {
        self.budgets
            .entry(account.clone())
            .or_insert_with(|| RetryBudget::new(percent))
    }
}
