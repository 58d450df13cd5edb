//! The control member: replicated state, placement and transfer planning.
//!
//! [`member`] is the one thread that decides. It owns the log, the state and,
//! while it leads, the [`leadership`]: what agents and entries report, which is
//! not replicated and is collected anew by each leader.

mod data_folder;
mod founding;
mod leadership;
mod member;
mod membership;
mod orders;
mod outbox;
mod pending;
mod replicas;
mod routes;

use crate::context::Context;
use crate::role::record_start;
use crossbeam::channel::Receiver;
use moleroad_rpc::prelude::InboundCall;
use moleroad_settings::prelude::ControlSettings;
use moleroad_types::prelude::MoleroadError;
use std::sync::Arc;
use std::thread;

/// A control member's thread.
#[derive(Debug)]
pub struct ControlRole;

impl ControlRole {
    /// Opens the data folder and starts deciding.
    ///
    /// # Errors
    /// When the data folder cannot be used.
    pub fn start(
        context: &Arc<Context>,
        settings: &ControlSettings,
        calls: Receiver<InboundCall>,
    ) -> Result<(), MoleroadError> {
        let member = member::Member::open(context, settings)?;
        record_start(context, "control");
        thread::Builder::new()
            .name("control".into())
            .spawn(move || member.run(&calls))
            .map_err(|error| data_folder::unusable(&error))?;
        Ok(())
    }
}
