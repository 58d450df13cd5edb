//! The agent: the one process that gives its target requests and orders.
//!
//! [`worker`] is the deciding thread; it owns the orders, the swarms and the
//! engine's switch from one set of weights to the next. The HTTP threads share
//! with it the [`admission`] of requests and the [`staging`] of chunks.

mod admission;
mod engine;
mod fetch;
mod links;
mod requests;
mod staging;
mod switch;
mod uploads;
mod worker;

use crate::agent::admission::Admission;
use crate::agent::engine::{EngineClient, PlainServiceProbe, Target};
use crate::agent::links::Links;
use crate::agent::requests::RequestHandler;
use crate::agent::staging::Staging;
use crate::agent::uploads::Uploads;
use crate::agent::worker::Worker;
use crate::context::Context;
use crate::http::HttpServer;
use crate::role::record_start;
use crossbeam::channel::unbounded;
use moleroad_settings::prelude::{AgentSettings, TargetSettings};
use moleroad_types::prelude::MoleroadError;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Threads beyond the requests' own that chunks and probes may take.
const EXTRA_HTTP_PLACES: usize = 64;
/// How often the main thread looks whether it was asked to stop.
const STOP_POLL: Duration = Duration::from_millis(100);
/// How often a leaving agent looks whether its work is done.
const LEAVE_POLL: Duration = Duration::from_millis(20);
/// Time in which entries learn that the target is leaving, at the most.
const WITHDRAWAL: Duration = Duration::from_millis(1_500);

/// What the threads of one agent share.
pub(crate) struct AgentShared {
    pub(crate) context: Arc<Context>,
    pub(crate) settings: AgentSettings,
    pub(crate) admission: Arc<Admission>,
    pub(crate) staging: Staging,
    pub(crate) links: Links,
}

/// A running agent.
pub struct AgentRole {
    shared: Arc<AgentShared>,
    server: HttpServer,
}

impl AgentRole {
    /// Opens the staging folder and starts to serve and to report.
    ///
    /// # Errors
    /// When the staging folder or the HTTP address cannot be used.
    pub fn start(context: &Arc<Context>, settings: &AgentSettings) -> Result<Self, MoleroadError> {
        let shared = Arc::new(AgentShared {
            context: Arc::clone(context),
            settings: settings.clone(),
            admission: Arc::new(Admission::new(
                settings.target_places,
                settings.max_waiting_per_account,
            )),
            staging: Staging::open(&settings.staging_folder)?,
            links: Links::new(context.clock, settings.link_bytes_per_second),
        });
        let (sender, events) = unbounded();
        let uploads = Uploads::new(Arc::clone(&shared), sender.clone());
        let handler = RequestHandler::new(Arc::clone(&shared), uploads);
        let places = settings.max_requests + EXTRA_HTTP_PLACES;
        let address = context.settings.http_address;
        let server = HttpServer::start(
            address,
            places,
            Arc::new(move |exchange| handler.handle(exchange)),
        )?;
        let target: Arc<dyn Target> = match &settings.target {
            TargetSettings::Engine { address } => Arc::new(EngineClient::new(*address)),
            TargetSettings::PlainService { address, .. } => {
                Arc::new(PlainServiceProbe::new(*address))
            }
        };
        let worker = Worker::new(Arc::clone(&shared), target, sender, events);
        thread::Builder::new()
            .name("agent".into())
            .spawn(move || worker.run())
            .map_err(|error| {
                MoleroadError::new(moleroad_types::prelude::ResultCode::Busy, error.to_string())
            })?;
        record_start(context, "agent");
        Ok(Self { shared, server })
    }

    /// Serves until asked to stop and the last request has ended.
    pub fn run(self) {
        while !self.shared.context.is_leaving() {
            thread::sleep(STOP_POLL);
        }
        self.shared.admission.leave();
        // Entries that still route here are answered "not run" meanwhile.
        thread::sleep(WITHDRAWAL);
        while self.shared.admission.in_flight() > 0 {
            thread::sleep(LEAVE_POLL);
        }
        self.server.stop();
    }
}
