//! Timers: those that the admission library sets, and one for each request's fallback response.
use super::Dispatcher;
use irishinge_admission::{Event, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// What happens when a timer expires.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The admission library gets an event with this token, which it set the timer with.
    Library(u64),
    /// The dispatcher sends this request's fallback response, if the request has no response yet.
    FallbackResponse(RequestId),
}

/// A queue of timers, ordered by the time at which they expire.
#[derive(Default)]
pub(super) struct TimerQueue {
    /// Each timer's expiry and kind; the one that expires first is on top.
    entries: BinaryHeap<Reverse<(Instant, TimerKind)>>,
    /// When the timer task's sleep ends; `None` if the task waits for a timer to be added.
    armed: Option<Instant>,
}

/// Whether the timer task must be woken, because a new timer expires before the task's sleep ends.
#[derive(PartialEq, Eq)]
pub(super) enum Rearm {
    Needed,
    NotNeeded,
}

impl TimerQueue {
    /// Adds a timer that expires at `at`.
    pub(super) fn push(&mut self, at: Instant, kind: TimerKind) -> Rearm {
        self.entries.push(Reverse((at, kind)));
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            Rearm::Needed
        } else {
            Rearm::NotNeeded
        }
    }

    /// Removes the first timer that has expired by `now` and returns its kind.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<TimerKind> {
        let Reverse((at, _)) = self.entries.peek()?;
        if *at > now {
            return None;
        }
        self.entries.pop().map(|Reverse((_, kind))| kind)
    }

    /// Records that the timer task will sleep until the next timer expires, and returns when that is.
    pub(super) fn arm(&mut self) -> Option<Instant> {
        self.armed = self.entries.peek().map(|Reverse((at, _))| *at);
        self.armed
    }
}

impl Dispatcher {
    /// Handles timers as they expire. Never returns: the `LocalSet` that the startup creates owns the task.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            match self.run_expired_timers() {
                // Dropping the branch that loses is safe: timers stay in the queue, and `Notify` stores a
                // wake-up that arrives between two waits.
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.rearm.notified() => {}
                },
                None => self.rearm.notified().await,
            }
        }
    }

    /// Handles all expired timers and returns when the next one expires.
    fn run_expired_timers(self: &Rc<Self>) -> Option<Instant> {
        loop {
            // The state is borrowed only for the lookup: handling a timer borrows it again, and may add
            // timers.
            let kind = {
                let timers = &mut self.state.borrow_mut().timers;
                match timers.pop_expired(Instant::now()) {
                    Some(kind) => kind,
                    None => return timers.arm(),
                }
            };
            match kind {
                TimerKind::Library(token) => self.on_event(Event::Timer { token }),
                TimerKind::FallbackResponse(request) => self.send_fallback_response(request),
            }
        }
    }
}
