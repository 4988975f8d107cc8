//! Connects the decision library to the sockets. The dispatcher is the only owner of the library's
//! `Gateway`: it passes events to it, carries out its actions in order, and owns the active calls with
//! their attempts.
mod actions;
mod active_request;
mod final_response;
mod request_deadlines;
#[cfg(test)]
mod tests;
mod timers;

use self::active_request::{ActiveCall, EndedAttempt};
pub(crate) use self::final_response::FinalResponse;
use self::request_deadlines::{response_without_result, CallDeadlines};
use self::timers::{Due, Rearm, TimerQueue};
use crate::clock::Clock;
use crate::discovery::{EndpointList, EndpointListObserver};
use crate::peers::{PeerMessageHandler, Peers};
use crate::quota_counter::QuotaCounter;
use crate::upstream::{AttemptResult, UpstreamPool, UpstreamRequest};
use irishinge_admission::{Event, Gateway, GatewayIndex, ListKind, Outcome, Request, RequestId};
use irishinge_settings::Names;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// The state that events change.
struct State {
    gateway: Gateway,
    events: VecDeque<Event>,
    calls: HashMap<RequestId, ActiveCall>,
    timers: TimerQueue,
}

/// Dispatches requests to endpoints as the decision library decides. Everything runs on one thread.
pub(crate) struct Dispatcher {
    state: RefCell<State>,
    /// Wakes the timer task.
    rearm: Notify,
    clock: Clock,
    names: Names,
    upstream: UpstreamPool,
    peers: Rc<Peers>,
    quota_counter: QuotaCounter,
}

impl Dispatcher {
    /// Creates a dispatcher that has handled no event yet.
    pub(crate) fn new(
        gateway: Gateway,
        clock: Clock,
        names: Names,
        upstream: UpstreamPool,
        peers: Rc<Peers>,
        quota_counter: QuotaCounter,
    ) -> Rc<Self> {
        let state =
            State { gateway, events: VecDeque::new(), calls: HashMap::new(), timers: TimerQueue::default() };
        Rc::new(Dispatcher {
            state: RefCell::new(state),
            rearm: Notify::new(),
            clock,
            names,
            upstream,
            peers,
            quota_counter,
        })
    }

    /// The names that the settings give to classes, plans, zones and machine kinds.
    pub(crate) fn names(&self) -> &Names {
        &self.names
    }

    /// Whether any endpoint accepts requests.
    pub(crate) fn has_ready_endpoint(&self) -> bool {
        self.upstream.has_ready_endpoint()
    }

    /// Sends calls to the quota counter at this address from now on.
    pub(crate) fn set_quota_counter_addr(&self, addr: Option<SocketAddr>) {
        self.quota_counter.set_addr(addr);
    }

    /// Closes connections that have been idle for too long or that the far end has closed.
    pub(crate) fn close_stale_connections(&self) {
        self.upstream.close_stale_connections();
        self.quota_counter.close_stale_connections();
    }

    /// Starts a call and returns the channel that its final response arrives on.
    ///
    /// Returns `None` if a call with the same id is active: it may be the same request, which could then
    /// have its effect twice.
    pub(crate) fn on_request(
        self: &Rc<Self>,
        request: Request,
        upstream_request: UpstreamRequest,
    ) -> Option<oneshot::Receiver<FinalResponse>> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            if state.calls.contains_key(&request.id) {
                return None;
            }
            let deadlines = CallDeadlines::new(Instant::now(), request.time_left_ms);
            state.calls.insert(request.id, ActiveCall::new(sender, upstream_request, deadlines));
            self.schedule(&mut state, deadlines.guard(), Due::DeadlineGuard(request.id));
        }
        self.on_event(Event::Request(request));
        Some(receiver)
    }

    /// Ends the call of a client that has disconnected. Does nothing if the call has its response.
    pub(crate) fn on_client_gone(self: &Rc<Self>, request: RequestId) {
        let responder = self.state.borrow_mut().calls.get_mut(&request).and_then(ActiveCall::take_responder);
        if responder.is_some() {
            self.on_event(Event::ClientGone { request });
            self.forget_if_over(request);
        }
    }

    /// Sends every active call its final response, because the process is about to end.
    pub(crate) fn respond_to_all(self: &Rc<Self>) {
        let open: Vec<RequestId> = self.state.borrow().calls.keys().copied().collect();
        open.into_iter().for_each(|request| self.end_without_result(request));
    }

    /// Whether a call still waits for its response.
    fn awaits_response(&self, request: RequestId) -> bool {
        self.state.borrow().calls.get(&request).is_some_and(ActiveCall::awaits_response)
    }

    fn schedule(&self, state: &mut State, at: Instant, due: Due) {
        if state.timers.push(at, due) == Rearm::Needed {
            self.rearm.notify_one();
        }
    }

    /// Responds to a call that still waits for its response: rejects it if no attempt was ever sent, else
    /// it failed.
    fn end_without_result(self: &Rc<Self>, request: RequestId) {
        let (responder, was_attempted) = {
            let mut state = self.state.borrow_mut();
            let Some(call) = state.calls.get_mut(&request) else { return };
            let Some(responder) = call.take_responder() else { return };
            (responder, call.was_attempted())
        };
        responder.respond(response_without_result(was_attempted));
        self.on_event(Event::ClientGone { request });
        self.forget_if_over(request);
    }

    fn on_attempt_end(self: &Rc<Self>, request: RequestId, index: usize, result: AttemptResult) {
        let event = {
            let mut state = self.state.borrow_mut();
            // A cancelled attempt has been reported already.
            let Some(call) = state.calls.get_mut(&request) else { return };
            let Some(attempt) = call.take_attempt(index) else { return };
            let ended = EndedAttempt {
                request,
                index,
                endpoint: attempt.endpoint,
                took_ms: attempt.elapsed_ms(),
                request_answered: result.outcome == Outcome::Ok || !call.awaits_response(),
            };
            let event = ended.into_event(&result);
            if let (Outcome::Ok, Some(response)) = (result.outcome, result.response) {
                if let Some(responder) = call.take_responder() {
                    responder.respond(FinalResponse::Served(response));
                }
            }
            event
        };
        self.on_event(event);
        self.forget_if_over(request);
    }

    /// Removes a call that has its response and no attempt in flight.
    fn forget_if_over(&self, request: RequestId) {
        let mut state = self.state.borrow_mut();
        if state.calls.get(&request).is_some_and(ActiveCall::is_over) {
            state.calls.remove(&request);
        }
    }

    /// Passes an event to the decision library and carries out its actions, and so on with the events that
    /// the actions cause at once. These are queued: the library must not be entered again while its actions
    /// are carried out, or actions would be carried out in another order than decided.
    fn on_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        let mut actions = Vec::new();
        state.events.push_back(event);
        while let Some(event) = state.events.pop_front() {
            state.gateway.on_event(self.clock.now_ms(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut state, action);
            }
        }
    }
}

impl EndpointListObserver for Rc<Dispatcher> {
    fn list_received(&self, kind: ListKind, list: EndpointList) {
        let endpoints = list.endpoints(&self.names, self.clock.now_ms());
        self.upstream.apply_list(kind, &endpoints);
        let entries = endpoints.into_iter().map(|endpoint| endpoint.entry).collect();
        self.on_event(Event::EndpointList { kind, entries });
    }

    fn lease_updated(&self, until: Instant) {
        self.upstream.set_lease_end(until);
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
