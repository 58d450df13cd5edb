//! The platform's list of live and leaving instances.

use crate::context::Context;
use crate::http::client;
use crossbeam::channel::Sender;
use moleroad_types::prelude::InstanceId;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time between two looks at the list.
const POLL: Duration = Duration::from_millis(500);
/// Longest time that the list may take to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The list as the platform gives it. It lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub(super) struct MembershipList {
    /// Instances that are to go soon.
    #[serde(default)]
    pub(super) leaving: BTreeSet<InstanceId>,
}

/// Sends each list that differs from the one before.
pub(super) fn watch(context: Arc<Context>, address: SocketAddr, lists: Sender<MembershipList>) {
    thread::spawn(move || {
        let mut last = MembershipList::default();
        while !context.is_leaving() {
            match read(address) {
                Ok(list) if list != last => {
                    last = list.clone();
                    if lists.send(list).is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(error) => log::warn!(error:% = error; "the membership list cannot be read"),
            }
            thread::sleep(POLL);
        }
    });
}

fn read(address: SocketAddr) -> std::io::Result<MembershipList> {
    let request = client::request("GET", &format!("http://{address}/members"), READ_TIMEOUT)?;
    let response = request.send().map_err(std::io::Error::from)?;
    let body = client::read_whole(response)?;
    serde_json::from_slice(&body).map_err(std::io::Error::other)
}
