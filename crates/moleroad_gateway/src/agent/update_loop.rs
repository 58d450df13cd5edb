//! Keeps the engine on the wanted version. One task fetches versions into
//! memory and another stages them and makes the engine load them, so that the
//! next version is fetched while an earlier one is being loaded.

use crate::agent::digests::{OriginDigests, digests, live_agents};
use crate::agent::fetch::{Fetch, FetchOutcome, Fetched};
use crate::agent::{pieces, store, switch};
use crate::deciding::spawn_deciding;
use crate::experiments::Mechanism;
use crate::node::Node;
use crate::peer::CatalogModel;
use moleroad_directory::target::complete_version;
use moleroad_rollout::prelude::fallback;
use moleroad_types::prelude::Millis;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time between two checks of the wanted version.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// The version of a model before any is named.
const FIRST_VERSION: u64 = 1;

/// A version that this agent should load.
#[derive(Clone, Debug, PartialEq)]
pub struct WantedVersion {
    /// The model.
    pub model: CatalogModel,
    /// Version of the model's weights.
    pub version: u64,
    /// When the first version was named that the engine lacks, if known.
    pub named_at: Option<Millis>,
}

/// Loads wanted versions until the process ends.
pub async fn run(node: Arc<Node>) {
    let (fetched_sender, fetched_receiver) = mpsc::channel(1);
    spawn_deciding("load", load_fetched(node.clone(), fetched_receiver));
    let mut without_digests: Option<(u64, Millis)> = None;
    let mut stalled: Option<u64> = None;
    let mut from_origin = OriginDigests::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(newest) = wanted_version(&node) else {
            continue;
        };
        let held = held_version(&node, &newest.model);
        match held {
            HeldVersion::Unknown if !may_fetch_without_report(&node) => continue,
            HeldVersion::Version(version) if version >= newest.version => {
                pieces::mark_all_available(&node, &newest.model, version);
                continue;
            }
            HeldVersion::Version(_) | HeldVersion::Nothing | HeldVersion::Unknown => {}
        }
        if pieces::loading_version(&node) == Some(newest.version) {
            continue;
        }
        let older = stalled.take().filter(|version| *version == newest.version);
        let older = older.and_then(|_| fallback_of(&node, &newest));
        let is_fallback = older.is_some();
        let wanted = older.unwrap_or(newest);
        let now = node.clock.now();
        let same = without_digests.filter(|(version, _)| *version == wanted.version);
        let (_, since) = *without_digests.insert(same.unwrap_or((wanted.version, now)));
        let waited_ms = now.since(since);
        if waited_ms == 0 {
            log::info!(event = "digests_wanted", version = wanted.version; "");
        }
        let Some(digests) = digests(&node, &wanted, waited_ms, &mut from_origin).await else {
            if !is_fallback && waited_ms >= DIGESTS_FALLBACK_AFTER_MS {
                stalled = Some(wanted.version);
            }
            continue;
        };
        without_digests = None;
        let has_lost_all = matches!(held, HeldVersion::Nothing);
        if has_lost_all || (node.recently_started(now) && !matches!(held, HeldVersion::Unknown)) {
            store::find_staged(&node, &wanted, &digests).await;
        }
        match Fetch::new(&node, &wanted, is_fallback, digests).run().await {
            FetchOutcome::Fetched(fetched) => {
                pieces::begin_loading(&node, fetched.wanted.version);
                if fetched_sender.send(fetched).await.is_err() {
                    return;
                }
            }
            FetchOutcome::Superseded => {}
            FetchOutcome::Stalled => stalled = Some(wanted.version),
        }
    }
}

/// Time from the start of an agent after which an engine that has not answered
/// counts as starting, in milliseconds. A running engine answers within a few.
const ENGINE_START_SILENCE_MS: u64 = 150;

/// Returns whether the agent fetches pieces although the engine does not
/// answer, because the engine ended, or has not started yet and will hold no
/// weights. Only engines of the system's first start hold weights when they
/// start.
fn may_fetch_without_report(node: &Node) -> bool {
    if node.view().engine_was_polled {
        return true;
    }
    let is_silent = node.clock.now().since(node.started_at) >= ENGINE_START_SILENCE_MS;
    is_silent && !node.settings.found_group
}

/// Time without the digests of the newest version after which an older one is
/// fetched if it is available, in milliseconds.
const DIGESTS_FALLBACK_AFTER_MS: u64 = 1_000;

/// Returns a version older than `newest` that the agents have completely
/// between them, if it is newer than the version that the engine holds or is
/// about to load.
pub fn fallback_of(node: &Node, newest: &WantedVersion) -> Option<WantedVersion> {
    if !node.settings.experiments.is_enabled(Mechanism::Fallback) {
        return None;
    }
    let held = match held_version(node, &newest.model) {
        HeldVersion::Version(version) => version,
        HeldVersion::Nothing | HeldVersion::Unknown => 0,
    };
    let held = held.max(pieces::loading_version(node).unwrap_or(0));
    let view = node.view();
    let model = &newest.model;
    let others = live_agents(&view, node.clock.now());
    let has = |version: u64, piece: u32| {
        let mut records = others.iter().copied().chain([&view.own]);
        records.any(|record| {
            let map = record.pieces_of(&model.model, version);
            map.is_some_and(|map| map.has(piece))
        })
    };
    let named = view.named.get(&model.model)?;
    let version = fallback(named.versions(), held, newest.version, model.pieces, has)?;
    Some(WantedVersion {
        version,
        ..newest.clone()
    })
}

/// Makes the engine load fetched versions, one after the other.
async fn load_fetched(node: Arc<Node>, mut fetched_receiver: mpsc::Receiver<Fetched>) {
    while let Some(first) = fetched_receiver.recv().await {
        let mut next = Some(first);
        while let Some(fetched) = next.take() {
            let version = fetched.wanted.version;
            match switch::switch_version(&node, &fetched, &mut fetched_receiver).await {
                switch::SwitchOutcome::Serving => log_served(&node, &fetched),
                switch::SwitchOutcome::Superseded(newer) => next = Some(*newer),
                switch::SwitchOutcome::Incomplete => {}
            }
            pieces::free_memory(&node, version);
            pieces::end_loading(&node, version);
        }
    }
}

fn log_served(node: &Node, fetched: &Fetched) {
    let wanted = &fetched.wanted;
    log::info!(
        event = "weights_served",
        model = wanted.model.model.as_str(),
        version = wanted.version,
        since_named_ms = wanted.named_at.map_or(0, |at| node.clock.now().since(at));
        ""
    );
}

/// Returns the version that the engine should hold.
pub fn wanted_version(node: &Node) -> Option<WantedVersion> {
    let view = node.view();
    let service = node.settings.service.as_ref()?;
    let mut models = view.catalog.models.iter();
    let model = models.find(|model| model.service == *service)?;
    if model.pieces == 0 {
        return None;
    }
    let named = view.named.get(&model.model);
    let report = view.own.report.as_ref();
    let held =
        report.and_then(|report| complete_version(&report.holdings, &model.model, model.layers));
    Some(WantedVersion {
        model: model.clone(),
        version: named
            .and_then(|named| named.newest())
            .unwrap_or(FIRST_VERSION),
        named_at: named.and_then(|named| named.superseded_at(held.unwrap_or(0))),
    })
}

/// The version of a model that the engine holds.
pub enum HeldVersion {
    /// The engine was not polled yet, or does not answer.
    Unknown,
    /// No complete version.
    Nothing,
    /// A complete version.
    Version(u64),
}

/// Returns the version of `model` that the engine holds.
pub fn held_version(node: &Node, model: &CatalogModel) -> HeldVersion {
    let view = node.view();
    match &view.own.report {
        None => HeldVersion::Unknown,
        Some(report) => match complete_version(&report.holdings, &model.model, model.layers) {
            Some(version) => HeldVersion::Version(version),
            None => HeldVersion::Nothing,
        },
    }
}
