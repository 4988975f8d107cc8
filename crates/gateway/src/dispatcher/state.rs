//! The state of the dispatcher: the library's gateway, the active requests and the timers.
use super::active_request::{ActiveRequest, Responder};
use super::recent_requests::RecentRequests;
use super::timers::{TimerKind, TimerQueue};
use irishinge_admission::{Event, Gateway, RequestId};
use std::collections::{HashMap, VecDeque};
use tokio::time::Instant;

/// The part of the dispatcher that events change.
pub(super) struct State {
    /// The admission library.
    pub(super) gateway: Gateway,
    /// Events that the library has not handled yet.
    pub(super) events: VecDeque<Event>,
    /// Requests that wait for their response or have attempts in flight.
    pub(super) active_requests: HashMap<RequestId, ActiveRequest>,
    /// Requests that have ended and may still run at an endpoint.
    pub(super) recent_requests: RecentRequests,
    /// Timers that have not been handled yet.
    pub(super) timers: TimerQueue,
}

impl State {
    /// Creates the state of a dispatcher that has handled no event yet.
    pub(super) fn new(gateway: Gateway) -> Self {
        State {
            gateway,
            events: VecDeque::new(),
            active_requests: HashMap::new(),
            recent_requests: RecentRequests::default(),
            timers: TimerQueue::default(),
        }
    }

    /// Takes the responder of a request that gets its response or whose client has disconnected, and removes
    /// the timer of its fallback response: a client that sends many requests with long deadlines could
    /// otherwise fill the memory with timers. Returns `None` if the responder was taken before.
    pub(super) fn take_responder(&mut self, request: RequestId) -> Option<Responder> {
        let active = self.active_requests.get_mut(&request)?;
        let responder = active.take_responder()?;
        self.timers.remove(active.fallback_at(), TimerKind::FallbackResponse(request));
        Some(responder)
    }

    /// Remembers an active request that ends without a good response, if an endpoint may run it and a second
    /// run would do harm.
    pub(super) fn remember_if_it_may_run(&mut self, request: RequestId) {
        let active = self.active_requests.get(&request);
        if active.is_some_and(|active| active.awaits_response() && active.may_run_with_effect()) {
            self.recent_requests.insert(request, Instant::now());
        }
    }

    /// Removes a request that no longer waits for its response and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, request: RequestId) {
        if self.active_requests.get(&request).is_some_and(ActiveRequest::is_finished) {
            self.active_requests.remove(&request);
        }
    }
}
