//! Connects the admission library to the sockets. The dispatcher is the only owner of the library's
//! `Gateway`: it passes events to the `Gateway`, executes the returned actions in order, and owns the active
//! requests with their attempts.
mod actions;
mod active_request;
mod final_response;
mod recent_requests;
mod request_deadlines;
mod state;
#[cfg(test)]
mod tests;
mod timers;
mod usage;

use self::active_request::{ActiveRequest, EndedAttempt};
pub(crate) use self::final_response::FinalResponse;
use self::request_deadlines::{fallback_response, RequestDeadlines};
use self::state::State;
use self::timers::{TimerKind, WakeUp};
use crate::clock::Clock;
use crate::discovery::{EndpointListObserver, EndpointListUpdate};
use crate::peers::{PeerMessageHandler, PeerSocket};
use crate::quota_counter::QuotaCounterClient;
use crate::resources::Metrics;
use crate::upstream::{AttemptResult, RequestStatus, UpstreamPool, UpstreamRequest};
use irishinge_admission::{Event, Gateway, GatewayIndex, ListUpdateKind, Outcome, Request, RequestId};
use irishinge_settings::Names;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// What the dispatcher sends with.
pub(crate) struct Senders {
    /// The endpoints and the connections to them.
    pub upstream: UpstreamPool,
    /// Sends messages to the other gateways.
    pub peers: Rc<PeerSocket>,
    /// The client of the quota counter.
    pub quota_counter: QuotaCounterClient,
}

/// Sends requests to endpoints as the admission library decides. Everything runs on one thread.
pub(crate) struct Dispatcher {
    /// The library's gateway with its events and timers, and the active requests.
    state: RefCell<State>,
    /// Wakes the timer task when a timer is added that expires before the task's sleep ends, or while the
    /// task waits for a timer to be added.
    earlier_timer_added: Notify,
    /// The clock of the admission library's events and timers.
    clock: Clock,
    /// The names that the settings define.
    names: Names,
    /// The endpoints and the connections to them.
    upstream: UpstreamPool,
    /// Sends messages to the other gateways.
    peers: Rc<PeerSocket>,
    /// The client of the quota counter.
    quota_counter: QuotaCounterClient,
    /// Counts attempts and responses.
    metrics: Rc<Metrics>,
}

impl Dispatcher {
    /// Creates a dispatcher that has handled no event yet.
    pub(crate) fn new(
        gateway: Gateway,
        clock: Clock,
        names: Names,
        senders: Senders,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let Senders { upstream, peers, quota_counter } = senders;
        Rc::new(Dispatcher {
            state: RefCell::new(State::new(gateway)),
            earlier_timer_added: Notify::new(),
            clock,
            names,
            upstream,
            peers,
            quota_counter,
            metrics,
        })
    }

    /// Returns the names that the settings define for classes, plans, zones and machine kinds.
    pub(crate) fn names(&self) -> &Names {
        &self.names
    }

    /// Returns whether the endpoint list has a ready endpoint, whether or not the list has expired.
    pub(crate) fn has_ready_endpoint(&self) -> bool {
        self.upstream.has_ready_endpoint()
    }

    /// Sets the quota counter's address for further calls; `None` if there is no counter.
    pub(crate) fn set_quota_counter_addr(&self, addr: Option<SocketAddr>) {
        self.quota_counter.set_addr(addr);
    }

    /// Closes connections to endpoints and to the quota counter that have been idle for too long or that the
    /// server has closed.
    pub(crate) fn close_stale_connections(&self) {
        self.upstream.close_stale_connections();
        self.quota_counter.close_stale_connections();
    }

    /// Starts a request and returns the channel on which its final response arrives.
    ///
    /// Returns `None` if a request with the same id is active, or has ended recently without a good response
    /// and may still run: the client may have sent the same request again, which could then have its effect
    /// twice.
    pub(crate) fn on_request(
        self: &Rc<Self>,
        request: Request,
        upstream_request: UpstreamRequest,
    ) -> Option<oneshot::Receiver<FinalResponse>> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            let is_recent = state.recent_requests.contains(request.id, Instant::now());
            if is_recent || state.active_requests.contains_key(&request.id) {
                return None;
            }
            let deadlines = RequestDeadlines::new(Instant::now(), request.time_left_ms);
            state.active_requests.insert(request.id, ActiveRequest::new(sender, upstream_request, deadlines));
            self.schedule(&mut state, deadlines.fallback_at(), TimerKind::FallbackResponse(request.id));
        }
        self.on_event(Event::Request(request));
        Some(receiver)
    }

    /// Ends the request of a client that has disconnected. Does nothing if the request has its response.
    pub(crate) fn on_client_disconnected(self: &Rc<Self>, request: RequestId) {
        let responder = {
            let mut state = self.state.borrow_mut();
            state.remember_if_it_may_run(request);
            state.take_responder(request)
        };
        if responder.is_some() {
            self.metrics.requests_disconnected.increment();
            self.on_event(Event::ClientDisconnected { request });
            self.state.borrow_mut().remove_if_finished(request);
        }
    }

    /// Sends the fallback response to every active request that still waits for its response, because the
    /// process is about to end. Returns the number of these requests.
    pub(crate) fn respond_to_all(self: &Rc<Self>) -> usize {
        let state = self.state.borrow();
        let waiting = state.active_requests.iter().filter(|(_, active)| active.awaits_response());
        let waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        drop(state);
        waiting.iter().for_each(|request| self.send_fallback_response(*request));
        waiting.len()
    }

    /// Returns what is known of a request and of its attempt `number` now.
    fn request_status(&self, request: RequestId, number: usize) -> RequestStatus {
        let state = self.state.borrow();
        let active = state.active_requests.get(&request);
        RequestStatus {
            awaits_response: active.is_some_and(ActiveRequest::awaits_response),
            is_repeat_safe: state.gateway.may_write_attempt(self.clock.now_ms(), request, number as u32),
        }
    }

    /// Adds a timer that expires at `at`, and wakes the timer task if it would sleep for too long.
    fn schedule(&self, state: &mut State, at: Instant, kind: TimerKind) {
        if state.timers.push(at, kind) == WakeUp::Needed {
            self.earlier_timer_added.notify_one();
        }
    }

    /// Sends the [`fallback_response`] to a request that still waits for its response, and ends the request
    /// in the admission library as if its client had disconnected.
    fn send_fallback_response(self: &Rc<Self>, request: RequestId) {
        let (responder, was_attempted) = {
            let mut state = self.state.borrow_mut();
            state.remember_if_it_may_run(request);
            let Some(active) = state.active_requests.get(&request) else { return };
            let was_attempted = active.was_attempted();
            let Some(responder) = state.take_responder(request) else { return };
            (responder, was_attempted)
        };
        responder.respond(fallback_response(was_attempted));
        self.on_event(Event::ClientDisconnected { request });
        self.state.borrow_mut().remove_if_finished(request);
    }

    /// Reports an attempt's end to the admission library, and sends the client the endpoint's response if the
    /// attempt succeeded.
    fn on_attempt_end(self: &Rc<Self>, request: RequestId, number: usize, result: AttemptResult) {
        let event = {
            let mut state = self.state.borrow_mut();
            // A cancelled attempt has been reported already.
            let Some(active) = state.active_requests.get_mut(&request) else { return };
            let Some(attempt) = active.take_attempt(number) else { return };
            let ended = EndedAttempt {
                request,
                number,
                endpoint: attempt.endpoint,
                took_ms: attempt.elapsed_ms(),
                request_closed: result.outcome == Outcome::Ok || !active.awaits_response(),
            };
            if result.outcome != Outcome::Ok {
                self.metrics.attempts_failed.increment();
            }
            let event = ended.into_event(&result);
            if let (Outcome::Ok, Some(response)) = (result.outcome, result.response) {
                if let Some(responder) = state.take_responder(request) {
                    responder.respond(FinalResponse::Served(response));
                }
            }
            event
        };
        self.on_event(event);
        self.state.borrow_mut().remove_if_finished(request);
    }

    /// Passes an event to the admission library and executes the library's actions, then does the same with
    /// each event that these actions cause at once.
    ///
    /// Such events are queued: if the library handled them while its actions are executed, actions would be
    /// executed in another order than the library decided.
    fn on_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        let mut actions = Vec::new();
        state.events.push_back(event);
        while let Some(event) = state.events.pop_front() {
            state.gateway.on_event(self.clock.now_ms(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(&mut state, action);
            }
        }
    }
}

impl EndpointListObserver for Rc<Dispatcher> {
    fn list_received(&self, kind: ListUpdateKind, list: EndpointListUpdate) {
        let endpoints = list.endpoints(&self.names, self.clock.now_ms());
        self.upstream.apply_list(kind, &endpoints);
        let entries = endpoints.into_iter().map(|endpoint| endpoint.entry).collect();
        self.on_event(Event::EndpointList { kind, entries });
    }

    fn lease_updated(&self, expires_at: Instant) {
        self.upstream.set_lease_expires_at(expires_at);
    }

    fn lease_expired(&self) {
        self.on_event(Event::EndpointListExpired);
    }
}

impl PeerMessageHandler for Rc<Dispatcher> {
    fn on_peer_message(&self, from: GatewayIndex, body: String) {
        self.on_event(Event::PeerMessage { from, body });
    }
}
