//! Which requests may reach the target, and which are there.

use moleroad_types::prelude::*;
use std::sync::{Arc, Mutex, MutexGuard};

/// When a refused entry's caller may come back.
const RETRY_AFTER_MS: u64 = 200;

/// The last word on whether a request runs.
///
/// A request is bound to one root from admission to its last byte: the engine
/// is given other weights only after [`Admission::withdraw`] and when
/// [`Admission::in_flight`] has reached zero.
pub(crate) struct Admission {
    max_requests: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// What may be served now; `None` admits nothing.
    open: Option<Open>,
    leaving: bool,
    in_flight: usize,
    work: u64,
}

#[derive(Clone, PartialEq, Eq)]
struct Open {
    root: Option<RootDigest>,
    incarnation: Incarnation,
}

/// What an entry wants a request to run on.
pub(crate) struct Wanted {
    pub(crate) root: Option<RootDigest>,
    pub(crate) incarnation: Incarnation,
    /// Expected work, in tokens.
    pub(crate) work: u64,
}

/// A request's place at the target; given back when dropped.
pub(crate) struct Place {
    admission: Arc<Admission>,
    work: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        state.in_flight -= 1;
        state.work = state.work.saturating_sub(self.work);
    }
}

impl Admission {
    pub(crate) fn new(max_requests: usize) -> Self {
        Self {
            max_requests,
            state: Mutex::default(),
        }
    }

    /// Opens the target for requests of `root` (`None`: a plain service).
    pub(crate) fn open(&self, root: Option<RootDigest>, incarnation: Incarnation) {
        self.lock().open = Some(Open { root, incarnation });
    }

    /// Admits nothing any more until opened again.
    pub(crate) fn withdraw(&self) {
        self.lock().open = None;
    }

    /// Admits nothing any more for ever.
    pub(crate) fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Requests at the target.
    pub(crate) fn in_flight(&self) -> usize {
        self.lock().in_flight
    }

    /// Work at the target, in tokens.
    pub(crate) fn work(&self) -> u64 {
        self.lock().work
    }

    /// Admits a request, or refuses it before any byte reaches the target.
    pub(crate) fn admit(self: &Arc<Self>, wanted: &Wanted) -> Result<Place, MoleroadError> {
        let mut state = self.lock();
        if state.leaving {
            return Err(MoleroadError::new(
                ResultCode::Leaving,
                "the target is leaving",
            ));
        }
        let serves = state
            .open
            .as_ref()
            .is_some_and(|open| open.root == wanted.root && open.incarnation == wanted.incarnation);
        if !serves {
            return Err(MoleroadError::new(ResultCode::ReplicaChanged, ""));
        }
        if state.in_flight >= self.max_requests {
            return Err(MoleroadError::new(ResultCode::Busy, "").retry_after(RETRY_AFTER_MS));
        }
        state.in_flight += 1;
        state.work += wanted.work;
        Ok(Place {
            admission: Arc::clone(self),
            work: wanted.work,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
