//! What the dispatcher does at a given time: the decision library's timers and the guards of requests' deadlines.
use super::Dispatcher;
use irishinge_admission::{Event, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// What is due at a time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    /// A timer of the decision library, with its token.
    Timer(u64),
    /// The last moment at which a request can be answered in time.
    ResponseGuard(RequestId),
}

/// What is due, by time.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<(Instant, Due)>>,
    /// What the timer task sleeps for.
    armed: Option<Instant>,
}

/// Whether the timer task must wake up sooner than it would.
#[derive(PartialEq, Eq)]
pub(super) enum Rearm {
    Needed,
    NotNeeded,
}

impl TimerQueue {
    pub(super) fn push(&mut self, at: Instant, due: Due) -> Rearm {
        self.entries.push(Reverse((at, due)));
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            Rearm::Needed
        } else {
            Rearm::NotNeeded
        }
    }

    fn pop_due(&mut self, now: Instant) -> Option<Due> {
        let Reverse((at, _)) = self.entries.peek()?;
        if *at > now {
            return None;
        }
        self.entries.pop().map(|Reverse((_, due))| due)
    }

    /// Notes that the timer task sleeps for the next entry, and returns its time.
    fn arm(&mut self) -> Option<Instant> {
        self.armed = self.entries.peek().map(|Reverse((at, _))| *at);
        self.armed
    }
}

impl Dispatcher {
    /// Fires timers when they are due, for good.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            match self.fire_due() {
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.rearm.notified() => {}
                },
                None => self.rearm.notified().await,
            }
        }
    }

    /// Handles all that is due, and returns when the next entry is.
    fn fire_due(self: &Rc<Self>) -> Option<Instant> {
        loop {
            let due = {
                let timers = &mut self.state.borrow_mut().timers;
                match timers.pop_due(Instant::now()) {
                    Some(due) => due,
                    None => return timers.arm(),
                }
            };
            match due {
                Due::Timer(token) => self.on_event(Event::Timer { token }),
                Due::ResponseGuard(request) => self.give_up(request),
            }
        }
    }
}
