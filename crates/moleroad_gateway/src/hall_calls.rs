//! Operators' calls about data halls: evacuate one, take it back, list them.

use crate::evacuations::{HallOrder, HallOutcome};
use crate::interface::SystemCall;
use crate::node::Node;
use crate::operator;
use crate::system_calls::{SystemAnswer, document, failure};
use crate::view::View;
use hyper::{Method, StatusCode};
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Path of the list, and begin of the paths of one hall.
const HALLS: &str = "/halls";
/// Ends the path that evacuates a hall.
const EVACUATE: &str = "evacuate";
/// Ends the path that takes a hall back.
const RESTORE: &str = "restore";

/// A data hall as operators are shown it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct ListedHall {
    /// Its name.
    hall: String,
    /// Whether its targets get no requests.
    evacuated: bool,
    /// Changes so far.
    revision: u64,
    /// Requests of the daemon that answers that run there.
    in_flight: u32,
}

/// Reads one of the product's own calls about halls.
pub fn read(method: &Method, path: &str) -> Option<SystemCall> {
    let rest = path.strip_prefix(HALLS)?;
    if rest.is_empty() {
        return (method == Method::GET).then_some(SystemCall::ListHalls);
    }
    let (hall, verb) = rest.strip_prefix('/')?.rsplit_once('/')?;
    match verb {
        _ if method != Method::POST || hall.is_empty() => None,
        EVACUATE => Some(SystemCall::EvacuateHall(hall.to_string())),
        RESTORE => Some(SystemCall::RestoreHall(hall.to_string())),
        _ => None,
    }
}

/// Carries an operator's order for `hall` to the control group.
pub async fn order(node: &Arc<Node>, hall: String, evacuated: bool) -> SystemAnswer {
    let regions = &node.settings.regions;
    if !regions.is_empty() && !regions.contains_key(&hall) {
        let reason = format!("MR-6308 no data hall {hall} is in the settings");
        return failure(node, StatusCode::NOT_FOUND, &reason);
    }
    if node.standstill().reads_backlog(node.clock.now()) {
        let reason = "MR-6310 the call may have come before this daemon stood still";
        return failure(node, StatusCode::SERVICE_UNAVAILABLE, reason);
    }
    let based_on = node.view().state.evacuations.of(&hall).revision;
    let order = HallOrder {
        hall: hall.clone(),
        evacuated,
        based_on,
    };
    let called_at = node.clock.now();
    let verdict = operator::order_hall(node, order).await;
    log::info!(
        event = "hall_ordered",
        hall = hall.as_str(),
        evacuated = evacuated,
        based_on = based_on.0,
        outcome:? = verdict.map(|verdict| verdict.outcome),
        revision = verdict.map_or(0, |verdict| verdict.state.revision.0),
        took_ms = node.clock.now().since(called_at);
        ""
    );
    match verdict.map(|verdict| verdict.outcome) {
        Some(HallOutcome::Changed | HallOutcome::AlreadySo) => {
            document(node, StatusCode::OK, b"{}".to_vec())
        }
        Some(HallOutcome::Overtaken) => {
            let reason = "MR-6309 the data hall was changed meanwhile";
            failure(node, StatusCode::SERVICE_UNAVAILABLE, reason)
        }
        None => {
            let reason = "MR-6306 the control group cannot be reached in time";
            failure(node, StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

/// Lists the halls that this daemon knows.
pub fn list(node: &Node) -> SystemAnswer {
    let halls = listed(&node.view(), node.settings.regions.keys());
    let body = serde_json::to_vec(&halls).unwrap_or_default();
    document(node, StatusCode::OK, body)
}

fn listed<'a>(view: &'a View, named: impl Iterator<Item = &'a String>) -> Vec<ListedHall> {
    let changed = view.state.evacuations.iter().map(|(hall, _)| hall);
    let targets = view.directory.targets();
    let of_targets = targets.map(|heard| heard.record.hall.as_str());
    let halls: BTreeSet<&str> = named
        .map(String::as_str)
        .chain(changed)
        .chain(of_targets)
        .collect();
    let listed = halls.into_iter().map(|hall| {
        let state = view.state.evacuations.of(hall);
        ListedHall {
            hall: hall.to_string(),
            evacuated: state.evacuated,
            revision: state.revision.0,
            in_flight: in_flight(view, hall),
        }
    });
    listed.collect()
}

/// Requests of this daemon at the targets of `hall`.
fn in_flight(view: &View, hall: &str) -> u32 {
    let targets = view.directory.targets();
    let of_hall = targets.filter(|heard| heard.record.hall == hall);
    let own = of_hall.filter_map(|heard| {
        let places = view.services.get(&heard.record.service)?;
        Some(places.targets.load(&heard.record.id).own())
    });
    own.sum()
}
