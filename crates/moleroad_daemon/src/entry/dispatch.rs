//! One request at one target, as the router counts it.

use crate::entry::view::EntryState;
use moleroad_routing::prelude::Finish;
use moleroad_types::prelude::*;
use std::sync::Arc;

/// A request at a target; it ends as failed unless told otherwise.
pub(crate) struct Dispatch {
    pub(crate) state: Arc<EntryState>,
    pub(crate) route: TargetRoute,
    /// Expected work, in tokens.
    pub(crate) work: u64,
    pub(crate) started: Millis,
    pub(crate) finish: Finish,
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        let now = self.state.context.clock.now();
        let (instance, incarnation) = (&self.route.instance, self.route.incarnation);
        self.state.view().router.finished(
            now,
            self.started,
            instance,
            incarnation,
            self.work,
            self.finish,
        );
    }
}
