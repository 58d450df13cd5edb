//! Bringing the wanted version: fetched into memory by one task, staged and
//! taken by another, so that the next version is fetched while an earlier one
//! is being taken.

use crate::agent::digests::{digests, fellows};
use crate::agent::fetch::{Ended, Fetch, Fetched};
use crate::agent::{change, pieces, store};
use crate::experiments::Mechanism;
use crate::node::Node;
use crate::peer::CatalogModel;
use moleroad_directory::target::complete_version;
use moleroad_rollout::prelude::{Backoff, fallback};
use moleroad_types::prelude::Millis;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time between looks at what is wanted.
pub const LOOK_EVERY: Duration = Duration::from_millis(40);
/// The version of a model before any is named.
const FIRST_VERSION: u64 = 1;

/// One version that is wanted here.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// The model.
    pub model: CatalogModel,
    /// Its version.
    pub version: u64,
    /// Since when the engine lacks a version that was named, as far as known.
    pub named_at: Option<Millis>,
}

/// Brings what is wanted until the process ends.
pub async fn bring(node: Arc<Node>) {
    let (hand_over, handed) = mpsc::channel(1);
    tokio::spawn(take(node.clone(), handed));
    let mut missed: Option<(u64, Millis)> = None;
    let mut stuck: Option<u64> = None;
    let mut origin_pause = Backoff::default();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let Some(newest) = wanted(&node) else {
            continue;
        };
        let held = held_version(&node, &newest.model);
        match held {
            Held::Unknown if !was_read_or_begins(&node) => continue,
            Held::Version(version) if version >= newest.version => {
                pieces::offer_all(&node, &newest.model, version);
                continue;
            }
            Held::Version(_) | Held::Nothing | Held::Unknown => {}
        }
        if pieces::taking(&node) == Some(newest.version) {
            continue;
        }
        let older = stuck.take().filter(|version| *version == newest.version);
        let older = older.and_then(|_| fallback_of(&node, &newest));
        let is_fallback = older.is_some();
        let wanted = older.unwrap_or(newest);
        let now = node.clock.now();
        let same = missed.filter(|(version, _)| *version == wanted.version);
        let (_, since) = *missed.insert(same.unwrap_or((wanted.version, now)));
        let waited_ms = now.since(since);
        if waited_ms == 0 {
            log::info!(event = "digests_wanted", version = wanted.version; "");
        }
        let Some(digests) = digests(&node, &wanted, waited_ms, &mut origin_pause).await else {
            if !is_fallback && waited_ms >= DIGESTS_STUCK_MS {
                stuck = Some(wanted.version);
            }
            continue;
        };
        missed = None;
        let has_lost_all = matches!(held, Held::Nothing);
        if has_lost_all || (node.is_young(now) && !matches!(held, Held::Unknown)) {
            store::find(&node, &wanted, &digests).await;
        }
        match Fetch::new(&node, &wanted, is_fallback, digests).run().await {
            Ended::Fetched(fetched) => {
                pieces::begin_taking(&node, fetched.wanted.version);
                if hand_over.send(fetched).await.is_err() {
                    return;
                }
            }
            Ended::Overtaken => {}
            Ended::Stuck => stuck = Some(wanted.version),
        }
    }
}

/// Silence of an engine from the start of its agent after which it counts as
/// one that begins, in milliseconds: one that runs answers within a few.
const BEGINS_AFTER_MS: u64 = 150;

/// Whether an engine that does not answer ended, or has not begun yet and will
/// hold no weights: pieces are fetched meanwhile. Only engines of the first
/// start of a system hold weights when they begin.
fn was_read_or_begins(node: &Node) -> bool {
    if node.view().engine_was_polled {
        return true;
    }
    let is_silent = node.clock.now().since(node.began_at) >= BEGINS_AFTER_MS;
    is_silent && !node.settings.found_group
}

/// Time without the digests of the newest version after which an older one is
/// brought, if it can be had, in milliseconds.
const DIGESTS_STUCK_MS: u64 = 1_000;

/// An older version than the newest that agents have whole, if it is newer
/// than what the engine holds or is about to take.
pub fn fallback_of(node: &Node, newest: &Wanted) -> Option<Wanted> {
    if !node.settings.experiments.has(Mechanism::Fallback) {
        return None;
    }
    let held = match held_version(node, &newest.model) {
        Held::Version(version) => version,
        Held::Nothing | Held::Unknown => 0,
    };
    let held = held.max(pieces::taking(node).unwrap_or(0));
    let view = node.view();
    let model = &newest.model;
    let others = fellows(&view, node.clock.now());
    let has = |version: u64, piece: u32| {
        let mut records = others.iter().copied().chain([&view.own]);
        records.any(|record| {
            let map = record.pieces_of(&model.model, version);
            map.is_some_and(|map| map.has(piece))
        })
    };
    let named = view.named.get(&model.model)?;
    let version = fallback(named.versions(), held, newest.version, model.pieces, has)?;
    Some(Wanted {
        version,
        ..newest.clone()
    })
}

/// Lets the engine take what was fetched, one version after the other.
async fn take(node: Arc<Node>, mut handed: mpsc::Receiver<Fetched>) {
    while let Some(first) = handed.recv().await {
        let mut next = Some(first);
        while let Some(fetched) = next.take() {
            let version = fetched.wanted.version;
            match change::change(&node, &fetched, &mut handed).await {
                change::Changed::Done => log_served(&node, &fetched),
                change::Changed::Overtaken(newer) => next = Some(*newer),
                change::Changed::Incomplete => {}
            }
            pieces::forget_memory(&node, version);
            pieces::end_taking(&node, version);
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

/// The version that the engine should hold.
pub fn wanted(node: &Node) -> Option<Wanted> {
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
    Some(Wanted {
        model: model.clone(),
        version: named
            .and_then(|named| named.newest())
            .unwrap_or(FIRST_VERSION),
        named_at: named.and_then(|named| named.superseded_at(held.unwrap_or(0))),
    })
}

/// What the engine holds of a model.
pub enum Held {
    /// The engine was not read yet, or does not answer.
    Unknown,
    /// No version whole.
    Nothing,
    /// A version whole.
    Version(u64),
}

/// What the engine holds of `model`.
pub fn held_version(node: &Node, model: &CatalogModel) -> Held {
    let view = node.view();
    match &view.own.report {
        None => Held::Unknown,
        Some(report) => match complete_version(&report.holdings, &model.model, model.layers) {
            Some(version) => Held::Version(version),
            None => Held::Nothing,
        },
    }
}
