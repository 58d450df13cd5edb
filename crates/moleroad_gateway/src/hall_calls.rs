//! The product's own HTTP calls for data halls: list them, evacuate one, restore one.

use crate::evacuations::HallState;
use crate::hall_orders::{self, HallError};
use crate::management_api::{ManagementResponse, plain};
use crate::node::Node;
use crate::view::View;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, StatusCode};
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Path of the list, and prefix of the paths of one hall.
const HALLS: &str = "/halls";
/// Suffix of the path that evacuates a hall.
const EVACUATE: &str = "evacuate";
/// Suffix of the path that restores a hall.
const RESTORE: &str = "restore";

/// A call for data halls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallCall {
    /// Lists the halls and their states.
    List,
    /// Evacuates this hall.
    Evacuate(String),
    /// Restores this hall.
    Restore(String),
}

impl HallCall {
    /// Parses a call; `None` if method and path form none.
    pub fn read(method: &Method, path: &str) -> Option<Self> {
        let rest = path.strip_prefix(HALLS)?;
        if rest.is_empty() {
            return (method == Method::GET).then_some(HallCall::List);
        }
        let (hall, verb) = rest.strip_prefix('/')?.rsplit_once('/')?;
        match verb {
            _ if method != Method::POST || hall.is_empty() => None,
            EVACUATE => Some(HallCall::Evacuate(hall.to_string())),
            RESTORE => Some(HallCall::Restore(hall.to_string())),
            _ => None,
        }
    }
}

/// A data hall as listed for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct ListedHall {
    /// Its name.
    hall: String,
    /// Whether its targets receive no requests.
    evacuated: bool,
    /// Number of changes.
    revision: u64,
    /// Requests that the answering daemon has in flight there.
    in_flight: u32,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: &'a str,
}

/// Answers a call.
pub async fn answer(node: &Arc<Node>, call: HallCall) -> ManagementResponse {
    let (hall, ordered) = match call {
        HallCall::List => return json(StatusCode::OK, &list(node)),
        HallCall::Evacuate(hall) => {
            let ordered = hall_orders::order(node, &hall, true).await;
            (hall, ordered)
        }
        HallCall::Restore(hall) => {
            let ordered = hall_orders::order(node, &hall, false).await;
            (hall, ordered)
        }
    };
    match ordered {
        Ok(state) => json(StatusCode::OK, &listed(&node.view(), &hall, state)),
        Err(error) => failed(&error),
    }
}

fn failed(error: &HallError) -> ManagementResponse {
    let text = error.to_string();
    let (code, message) = text.split_once(' ').unwrap_or(("", &text));
    let error_body = ErrorBody {
        error: ErrorFields { code, message },
    };
    json(error.status(), &error_body)
}

fn json(status: StatusCode, value: &impl Serialize) -> ManagementResponse {
    let mut answer = plain(status, serde_json::to_vec(value).unwrap_or_default());
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// Lists the halls in the settings, those of targets, and those ever evacuated.
fn list(node: &Node) -> Vec<ListedHall> {
    let view = node.view();
    let named = node.settings.regions.keys().map(String::as_str);
    let changed = view.state.evacuations.iter().map(|(hall, _)| hall);
    let targets = view.directory.targets();
    let of_targets = targets.map(|observed| observed.record.hall.as_str());
    let halls: BTreeSet<&str> = named.chain(changed).chain(of_targets).collect();
    let halls = halls.into_iter();
    halls
        .map(|hall| listed(&view, hall, view.state.evacuations.state_of(hall)))
        .collect()
}

fn listed(view: &View, hall: &str, state: HallState) -> ListedHall {
    ListedHall {
        hall: hall.to_string(),
        evacuated: state.evacuated,
        revision: state.revision.0,
        in_flight: in_flight(view, hall),
    }
}

/// Returns the number of requests that this daemon has in flight at the targets of
/// `hall`.
fn in_flight(view: &View, hall: &str) -> u32 {
    let targets = view.directory.targets();
    let of_hall = targets.filter(|observed| observed.record.hall == hall);
    let own = of_hall.filter_map(|observed| {
        let slots = view.services.get(&observed.record.service)?;
        Some(slots.targets.load(&observed.record.id).own_in_flight())
    });
    own.sum()
}
