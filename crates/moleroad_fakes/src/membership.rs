//! A stand-in for the platform's list of instances.

use moleroad_daemon::http::HttpServer;
use moleroad_daemon::http::exchange::WholeAnswer;
use moleroad_types::prelude::InstanceId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A running list.
#[derive(Clone)]
pub struct FakeMembership {
    address: SocketAddr,
    leaving: Arc<Mutex<BTreeSet<InstanceId>>>,
}

impl FakeMembership {
    /// Starts on `address`; port 0 takes a free one.
    ///
    /// # Panics
    /// When the address cannot be listened on.
    pub fn start(address: SocketAddr) -> Self {
        let address = if address.port() == 0 {
            crate::address::free_port(address.ip())
        } else {
            address
        };
        let leaving = Arc::new(Mutex::new(BTreeSet::<InstanceId>::new()));
        let listed = Arc::clone(&leaving);
        let handler = Arc::new(move |exchange: moleroad_daemon::http::Exchange| {
            let leaving = listed
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .clone();
            exchange.answer(WholeAnswer::json(
                &serde_json::json!({ "leaving": leaving }),
            ));
        });
        HttpServer::start(address, 16, handler).expect("the list's address is free");
        Self { address, leaving }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lists `instance` as leaving.
    pub fn mark_leaving(&self, instance: &InstanceId) {
        self.leaving
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .insert(instance.clone());
    }
}
