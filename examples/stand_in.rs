//! Runs one of the stand-ins as a process of its own.

use bpaf::Bpaf;
use moleroad_fakes::prelude::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// Which stand-in to run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum StandIn {
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Where it listens
        address: SocketAddr,
        /// Time for a token
        token_ms: u64,
    },
    /// A plain service
    #[bpaf(command)]
    Service {
        /// Where it listens
        address: SocketAddr,
        /// Time for an answer
        work_ms: u64,
    },
    /// The origin of weights
    #[bpaf(command)]
    Origin {
        /// Where it listens
        address: SocketAddr,
        /// Rate of its link, in bytes a second
        rate: u64,
        /// Folder with the weights
        folder: PathBuf,
    },
    /// The platform's list of instances
    #[bpaf(command)]
    Membership {
        /// Where it listens
        address: SocketAddr,
        /// File with the leaving instances, as a JSON list
        list: PathBuf,
    },
}

fn main() {
    match stand_in().run() {
        StandIn::Engine { address, token_ms } => {
            FakeEngine::start(address, Duration::from_millis(token_ms));
        }
        StandIn::Service { address, work_ms } => {
            FakeService::start(address, Duration::from_millis(work_ms));
        }
        StandIn::Origin {
            address,
            rate,
            folder,
        } => {
            FakeOrigin::start_on_folder(address, rate, folder);
        }
        StandIn::Membership { address, list } => {
            let membership = FakeMembership::start(address);
            loop {
                let listed = std::fs::read(&list).ok();
                let listed =
                    listed.and_then(|bytes| serde_json::from_slice::<Vec<String>>(&bytes).ok());
                for instance in listed.unwrap_or_default() {
                    membership.mark_leaving(&instance.as_str().into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
    loop {
        thread::park();
    }
}
