//! Timers: those that the decision library sets, and the guards of calls' deadlines.
use super::Dispatcher;
use irishinge_admission::{Event, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// What happens when a timer expires.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    /// The decision library's timer with this token expires.
    Timer(u64),
    /// A call must get its response now to meet its deadline.
    DeadlineGuard(RequestId),
}

/// Timers in the order in which they expire.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<(Instant, Due)>>,
    /// The time until which the timer task sleeps.
    armed: Option<Instant>,
}

/// Whether the timer task must be woken to sleep for a shorter time.
#[derive(PartialEq, Eq)]
pub(super) enum Rearm {
    Needed,
    NotNeeded,
}

impl TimerQueue {
    /// Adds a timer.
    pub(super) fn push(&mut self, at: Instant, due: Due) -> Rearm {
        self.entries.push(Reverse((at, due)));
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            Rearm::Needed
        } else {
            Rearm::NotNeeded
        }
    }

    /// Removes and returns a timer that has expired by `now`.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<Due> {
        let Reverse((at, _)) = self.entries.peek()?;
        if *at > now {
            return None;
        }
        self.entries.pop().map(|Reverse((_, due))| due)
    }

    /// Records that the timer task will sleep until the next entry, and returns its time.
    pub(super) fn arm(&mut self) -> Option<Instant> {
        self.armed = self.entries.peek().map(|Reverse((at, _))| *at);
        self.armed
    }
}

impl Dispatcher {
    /// Runs timers as they expire. Never returns; startup's `LocalSet` owns the task.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            match self.fire_due() {
                // Nothing is lost on cancellation: timers stay in the queue, and `Notify` stores a wake-up
                // that arrives between two waits.
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.rearm.notified() => {}
                },
                None => self.rearm.notified().await,
            }
        }
    }

    /// Handles all expired timers and returns when the next one expires.
    fn fire_due(self: &Rc<Self>) -> Option<Instant> {
        loop {
            // The state is borrowed for the lookup only: handling a timer borrows it again, and may add
            // timers.
            let due = {
                let timers = &mut self.state.borrow_mut().timers;
                match timers.pop_due(Instant::now()) {
                    Some(due) => due,
                    None => return timers.arm(),
                }
            };
            match due {
                Due::Timer(token) => self.on_event(Event::Timer { token }),
                Due::DeadlineGuard(request) => self.end_without_result(request),
            }
        }
    }
}
