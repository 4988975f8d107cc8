//! Timers: those that the admission library sets, and one for each request's fallback response.
use super::Dispatcher;
use irishinge_admission::{Event, RequestId};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// The action taken when a timer expires.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The admission library gets an event with this token, which it set the timer with.
    Library(u64),
    /// The dispatcher sends this request's fallback response, if the request has no response yet.
    FallbackResponse(RequestId),
}

/// A queue of timers, ordered by the time at which they expire. A timer that is added twice expires once.
#[derive(Default)]
pub(super) struct TimerQueue {
    /// Each timer's expiry and kind, in the order in which they expire.
    entries: BTreeSet<(Instant, TimerKind)>,
    /// When the timer task wakes up next; `None` if it waits for a timer to be added. A timer that needs an
    /// earlier wake-up changes this at once, before the task runs. While the task handles expired timers, the
    /// time is in the past.
    sleeps_until: Option<Instant>,
}

/// Whether the timer task must be woken after a timer was added.
#[derive(PartialEq, Eq)]
pub(super) enum WakeUp {
    /// The timer expires before the task's sleep ends, or the task waits for a timer to be added.
    Needed,
    /// The task's sleep ends before the timer expires or at the same time.
    NotNeeded,
}

impl TimerQueue {
    /// Adds a timer that expires at `at`. Returns whether the timer task must be woken, because the timer
    /// expires before the task's sleep ends or the task waits for a timer to be added.
    pub(super) fn push(&mut self, at: Instant, kind: TimerKind) -> WakeUp {
        self.entries.insert((at, kind));
        if self.sleeps_until.is_none_or(|end| at < end) {
            self.sleeps_until = Some(at);
            WakeUp::Needed
        } else {
            WakeUp::NotNeeded
        }
    }

    /// Removes the timer that expires at `at`, if there is one. The task may then wake up once without an
    /// expired timer.
    pub(super) fn remove(&mut self, at: Instant, kind: TimerKind) {
        self.entries.remove(&(at, kind));
    }

    /// Returns the number of timers.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes the first timer that has expired by `now` and returns its kind.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<TimerKind> {
        let (at, _) = self.entries.first()?;
        if *at > now {
            return None;
        }
        self.entries.pop_first().map(|(_, kind)| kind)
    }

    /// Records that the timer task begins a sleep until the next timer expires, and returns when that is.
    /// Returns `None` if there is no timer, so that the task waits for one to be added.
    pub(super) fn begin_sleep(&mut self) -> Option<Instant> {
        self.sleeps_until = self.entries.first().map(|(at, _)| *at);
        self.sleeps_until
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
                    () = self.earlier_timer_added.notified() => {}
                },
                None => self.earlier_timer_added.notified().await,
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
                    None => return timers.begin_sleep(),
                }
            };
            match kind {
                TimerKind::Library(token) => self.on_event(Event::Timer { token }),
                TimerKind::FallbackResponse(request) => self.send_fallback_response(request),
            }
        }
    }
}
