//! HTTP client for data hall calls to the control address of any daemon.

use crate::error_body::ErrorBody;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of rounds over all daemons before a call fails.
const ROUNDS: usize = 8;
/// Backoff between two rounds.
const ROUND_BACKOFF: Duration = Duration::from_millis(300);
/// Read timeout of a call. A daemon that answers does so within a second.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Error of a data hall call.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum HallCallError {
        /// A daemon rejected the call.
        Refused(code: String, message: String) {
            display("{} {}", code, message)
        }
        /// No daemon gave a final answer. The call may have taken effect nevertheless
        /// and can be retried.
        Unanswered(reason: String) {
            display("{}", reason)
        }
    }
}

/// State of a data hall as reported by a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHall {
    /// Name of the data hall.
    pub hall: String,
    /// Whether the data hall is evacuated: its targets get no new requests.
    pub evacuated: bool,
    /// Number of changes to the data hall's state so far.
    pub revision: u64,
    /// Requests that the reporting daemon has in flight there.
    pub in_flight: u32,
}

/// Client for data hall calls that fails over between several daemons.
#[derive(Clone, Debug)]
pub struct HallClient {
    daemons: Vec<SocketAddr>,
}

impl HallClient {
    /// Creates a client of the daemons with these control addresses.
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        Self { daemons }
    }

    /// Returns the data halls known to the first daemon that answers.
    ///
    /// # Errors
    /// [`HallCallError`] if the call is rejected or no daemon answers.
    pub fn list(&self) -> Result<Vec<ListedHall>, HallCallError> {
        self.call(attohttpc::Method::GET, "halls")
    }

    /// Evacuates `hall`: its targets get no new requests.
    ///
    /// # Errors
    /// [`HallCallError`] if the call is rejected or no daemon acknowledges it.
    pub fn evacuate(&self, hall: &str) -> Result<ListedHall, HallCallError> {
        self.call(attohttpc::Method::POST, &format!("halls/{hall}/evacuate"))
    }

    /// Restores `hall`: its targets get requests again.
    ///
    /// # Errors
    /// [`HallCallError`] if the call is rejected or no daemon acknowledges it.
    pub fn restore(&self, hall: &str) -> Result<ListedHall, HallCallError> {
        self.call(attohttpc::Method::POST, &format!("halls/{hall}/restore"))
    }

    /// Calls the daemons in turn until one of them gives a final answer.
    fn call<T: DeserializeOwned>(
        &self,
        method: attohttpc::Method,
        path: &str,
    ) -> Result<T, HallCallError> {
        let mut last = HallCallError::Unanswered("no daemon address is given".into());
        for round in 0..ROUNDS {
            if round > 0 {
                std::thread::sleep(ROUND_BACKOFF);
            }
            for daemon in &self.daemons {
                match try_daemon(*daemon, method.clone(), path) {
                    Err(error @ HallCallError::Unanswered(_)) => last = error,
                    result => return result,
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
    // The call may succeed at another daemon or later.
    if status.is_server_error() {
        return Err(unanswered(format!("{} {}", error.code, error.message)));
    }
    Err(HallCallError::Refused(error.code, error.message))
}
