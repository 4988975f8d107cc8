//! The phases of the server for clients, from its start to the end of a shutdown.
use std::cell::Cell;
use tokio::sync::Notify;

/// A phase of the server. The phases follow each other in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServerPhase {
    /// Requests are served, and connections stay open between them.
    Serving,
    /// Requests are served, and each response closes its connection.
    Draining,
    /// Every request gets its response now: no further request is dispatched, and one that has not completely
    /// arrived is rejected at once. A request that was dispatched in this phase could run without a response.
    Ending,
}

/// The current phase, and the notification of those that wait for the last one.
pub(super) struct PhaseState {
    /// The current phase.
    phase: Cell<ServerPhase>,
    /// Notifies the tasks that wait for [`ServerPhase::Ending`].
    ending: Notify,
}

impl PhaseState {
    /// Creates the state of a server that serves.
    pub(super) fn new() -> Self {
        PhaseState { phase: Cell::new(ServerPhase::Serving), ending: Notify::new() }
    }

    /// Returns the current phase.
    pub(super) fn get(&self) -> ServerPhase {
        self.phase.get()
    }

    /// Advances to `phase`, unless a later one has begun.
    pub(super) fn advance(&self, phase: ServerPhase) {
        self.phase.set(self.phase.get().max(phase));
        if phase == ServerPhase::Ending {
            self.ending.notify_waiters();
        }
    }

    /// Waits until [`ServerPhase::Ending`] begins. Returns at once if it has begun.
    ///
    /// This method is cancel safe: it keeps no state between calls.
    pub(super) async fn ending(&self) {
        let notified = self.ending.notified();
        if self.phase.get() != ServerPhase::Ending {
            notified.await;
        }
    }
}
