//! The steps by which an agent makes its engine load staged weights.
//!
//! What permits an order is established again whenever time has passed or the engine was
//! away: an order is sent only on a [`StagedCheck`] that is recent, that was made while the
//! engine kept answering, and that no earlier order has consumed.

use crate::staged_check::StagedCheck;
use moleroad_types::prelude::Millis;

/// Time after which an order without effect is retried, in milliseconds.
const ORDER_RETRY_MS: u64 = 1_500;
/// Number of pieces that the first check reads at the same time.
const FIRST_PARALLEL_READS: usize = 1;

/// What the agent's last poll of its engine showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineObservation {
    /// The engine did not answer.
    Silent,
    /// The engine is about to end: the weights would not be used.
    Leaving,
    /// The engine is executing an order.
    Busy,
    /// The engine answers and executes no order.
    Ready,
    /// The engine serves the version or a newer one.
    Serving,
}

/// The next step of a switch.
#[derive(Debug, PartialEq, Eq)]
pub enum SwitchStep {
    /// Poll the engine again after a pause.
    Wait,
    /// Read all staged pieces, this many at the same time, and record the result with
    /// [`Switch::record_check`].
    Check {
        /// Number of pieces to read at the same time.
        parallel_reads: usize,
    },
    /// Take the engine out of service and let its requests end.
    Withdraw,
    /// Order the engine to load the staged pieces, now.
    Order(StagedCheck),
    /// Put the engine back into service: the switch starts over.
    Restore,
    /// The engine serves the version.
    Done,
}

/// Progress of a switch.
#[derive(Debug)]
pub struct Switch {
    pieces: usize,
    check: Option<StagedCheck>,
    is_withdrawn: bool,
    ordered_at: Option<Millis>,
    parallel_reads: usize,
    /// Number of reads at a time of the last check.
    checked_with: usize,
    /// Whether the engine left a read of the last check unanswered.
    was_silent: bool,
}

impl Switch {
    /// Begins a switch to a version of `pieces` staged pieces.
    pub fn new(pieces: usize) -> Self {
        Self {
            pieces: pieces.max(1),
            check: None,
            is_withdrawn: false,
            ordered_at: None,
            parallel_reads: FIRST_PARALLEL_READS,
            checked_with: 0,
            was_silent: false,
        }
    }

    /// Returns whether a newer version may take precedence now: the engine was neither
    /// taken out of service nor ordered.
    pub fn may_be_superseded(&self) -> bool {
        !self.is_withdrawn && self.ordered_at.is_none()
    }

    /// Returns the next step. `may_begin` says whether the engine may be taken out of
    /// service now.
    pub fn next(&mut self, now: Millis, engine: EngineObservation, may_begin: bool) -> SwitchStep {
        // An engine that answers polls but no reads must not stay out of service.
        let engine = match std::mem::take(&mut self.was_silent) {
            true => EngineObservation::Silent,
            false => engine,
        };
        if let Some(ordered_at) = self.ordered_at {
            return self.after_order(now, ordered_at, engine);
        }
        match engine {
            EngineObservation::Serving => SwitchStep::Done,
            EngineObservation::Silent | EngineObservation::Leaving => self.start_over(),
            EngineObservation::Busy => SwitchStep::Wait,
            EngineObservation::Ready if self.is_withdrawn => self.order(now),
            EngineObservation::Ready if !may_begin => {
                self.check = None;
                SwitchStep::Wait
            }
            EngineObservation::Ready if self.needs_check(now) => self.read_pieces(),
            EngineObservation::Ready => {
                self.is_withdrawn = true;
                SwitchStep::Withdraw
            }
        }
    }

    /// Records the result of a check that ended at `now`; `None` if the engine did not
    /// answer all reads.
    pub fn record_check(&mut self, now: Millis, check: Option<StagedCheck>) {
        self.was_silent = check.is_none();
        self.checked_with = self.parallel_reads;
        // More reads at a time, so that a store whose single reads are fast enough is
        // checked in time.
        if check
            .as_ref()
            .is_some_and(|check| !check.permits_order(now))
        {
            self.parallel_reads = (self.parallel_reads * 2).min(self.pieces);
        }
        self.check = check;
    }

    fn after_order(
        &mut self,
        now: Millis,
        ordered_at: Millis,
        engine: EngineObservation,
    ) -> SwitchStep {
        match engine {
            EngineObservation::Serving => SwitchStep::Done,
            EngineObservation::Busy => SwitchStep::Wait,
            EngineObservation::Silent | EngineObservation::Leaving | EngineObservation::Ready => {
                if now.since(ordered_at) < ORDER_RETRY_MS {
                    return SwitchStep::Wait;
                }
                self.start_over()
            }
        }
    }

    fn order(&mut self, now: Millis) -> SwitchStep {
        match self.check.take() {
            Some(check) if check.permits_order(now) => {
                self.ordered_at = Some(now);
                SwitchStep::Order(check)
            }
            Some(_) | None => self.read_pieces(),
        }
    }

    /// An engine stays in service until its store was checked in time, or cannot be checked
    /// faster.
    fn needs_check(&self, now: Millis) -> bool {
        let Some(check) = &self.check else {
            return true;
        };
        !check.permits_order(now) && self.checked_with < self.pieces
    }

    fn read_pieces(&self) -> SwitchStep {
        SwitchStep::Check {
            parallel_reads: self.parallel_reads,
        }
    }

    fn start_over(&mut self) -> SwitchStep {
        self.check = None;
        self.ordered_at = None;
        if std::mem::take(&mut self.is_withdrawn) {
            SwitchStep::Restore
        } else {
            SwitchStep::Wait
        }
    }
}
