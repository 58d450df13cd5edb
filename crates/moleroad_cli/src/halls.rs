//! Calls about data halls, over HTTP to the control address of any daemon.

use crate::error_body::ErrorBody;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Rounds over all daemons before a call is given up.
const ROUNDS: usize = 8;
/// Wait between two rounds.
const ROUND_WAIT: Duration = Duration::from_millis(300);
/// Longest silence of a daemon: it answers within a second, or not at all.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a call about halls did not succeed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum HallCallError {
        /// A daemon refused it.
        Refused(code: String, message: String) {
            display("{} {}", code, message)
        }
        /// No daemon answered clearly; an order may have taken effect all the
        /// same, and can be given again.
        Unanswered(reason: String) {
            display("{}", reason)
        }
    }
}

/// A data hall, as a daemon tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHall {
    /// Its name.
    pub hall: String,
    /// Whether its targets get no requests.
    pub evacuated: bool,
    /// Changes so far.
    pub revision: u64,
    /// Requests of the daemon that answered that run there.
    pub in_flight: u32,
}

/// Calls any of several daemons about their halls.
#[derive(Clone, Debug)]
pub struct HallClient {
    daemons: Vec<SocketAddr>,
}

impl HallClient {
    /// A client of the daemons with these control addresses.
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        Self { daemons }
    }

    /// The halls as the first daemon that answers knows them.
    ///
    /// # Errors
    /// [`HallCallError`] when none answers.
    pub fn list(&self) -> Result<Vec<ListedHall>, HallCallError> {
        self.call(attohttpc::Method::GET, "halls")
    }

    /// Keeps all new requests away from the targets of `hall`.
    ///
    /// # Errors
    /// [`HallCallError`] when it is refused or no daemon acknowledges it.
    pub fn evacuate(&self, hall: &str) -> Result<ListedHall, HallCallError> {
        self.call(attohttpc::Method::POST, &format!("halls/{hall}/evacuate"))
    }

    /// Lets requests go to the targets of `hall` again.
    ///
    /// # Errors
    /// [`HallCallError`] when it is refused or no daemon acknowledges it.
    pub fn restore(&self, hall: &str) -> Result<ListedHall, HallCallError> {
        self.call(attohttpc::Method::POST, &format!("halls/{hall}/restore"))
    }

    /// Asks one daemon after the other until one answers clearly.
    fn call<T: DeserializeOwned>(
        &self,
        method: attohttpc::Method,
        path: &str,
    ) -> Result<T, HallCallError> {
        let mut last = HallCallError::Unanswered("no entry is given".into());
        for round in 0..ROUNDS {
            if round > 0 {
                std::thread::sleep(ROUND_WAIT);
            }
            for daemon in &self.daemons {
                match try_daemon(*daemon, method.clone(), path) {
                    Err(error @ HallCallError::Unanswered(_)) => last = error,
                    decided => return decided,
                }
            }
        }
        Err(last)
    }
}

fn try_daemon<T: DeserializeOwned>(
    daemon: SocketAddr,
    method: attohttpc::Method,
    path: &str,
) -> Result<T, HallCallError> {
    let unanswered = |reason: String| HallCallError::Unanswered(format!("{daemon}: {reason}"));
    let response = attohttpc::RequestBuilder::new(method, format!("http://{daemon}/{path}"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(READ_TIMEOUT)
        .send();
    let response = response.map_err(|error| unanswered(error.to_string()))?;
    let status = response.status();
    let body = response.bytes();
    let body = body.map_err(|error| unanswered(error.to_string()))?;
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|error| unanswered(error.to_string()));
    }
    let Ok(ErrorBody { error }) = serde_json::from_slice(&body) else {
        return Err(unanswered(format!("status {status}")));
    };
    // Another daemon, or a later call, may do better.
    if status.is_server_error() {
        return Err(unanswered(format!("{} {}", error.code, error.message)));
    }
    Err(HallCallError::Refused(error.code, error.message))
}
