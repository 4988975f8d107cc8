//! Executes the actions that the admission library returns.
use super::active_request::{Attempt, EndedAttempt};
use super::final_response::FinalResponse;
use super::state::State;
use super::timers::TimerKind;
use super::Dispatcher;
use crate::logging::target;
use irishinge_admission::{Action, EndpointId, Event, Outcome, RequestId};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl Dispatcher {
    /// Executes one action. Events that it causes at once are queued in `state`.
    pub(super) fn execute_action(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout_ms } => self.send(state, request, endpoint, timeout_ms),
            Action::Reject { request, retry_after_ms } => {
                respond(state, request, FinalResponse::Rejected { retry_after_ms });
            }
            Action::Fail { request } => {
                state.remember_if_it_may_run(request);
                respond(state, request, FinalResponse::Failed);
            }
            Action::Cancel { request, attempt } => cancel(state, request, attempt as usize),
            Action::SetTimer { at_ms, token } => {
                self.schedule(state, self.clock.instant(at_ms), TimerKind::Library(token));
            }
            Action::SendPeerMessage { to, body } => self.peers.send(to, &body),
            Action::AddToCounter { name, amount, ttl_ms } => self.add_to_counter(name, amount, ttl_ms),
        }
    }

    /// Starts an attempt, unless the request no longer waits for a response.
    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        let Some(active) = state.active_requests.get_mut(&request) else {
            return tracing::error!(
                target: target::DISPATCHER,
                request = %format_args!("{:016x}", request.0),
                endpoint = %format_args!("{:016x}", endpoint.0),
                "attempt not sent: its request is no longer active"
            );
        };
        let number = active.next_attempt_number();
        // The request may have its response, or its client may have disconnected, in an event that the
        // library has not handled yet. Without this check, the endpoint would process a request whose
        // response nobody reads. The attempt still takes its number, because the library counts it.
        if !active.awaits_response() {
            active.push_attempt(None);
            let ended = EndedAttempt { request, number, endpoint, took_ms: 0.0, request_closed: true };
            return state.events.push_back(ended.into_event_without_response(Outcome::NotSent));
        }
        self.metrics.attempts.increment();
        let started_at = Instant::now();
        let deadline = active.attempt_deadline(started_at, timeout_ms);
        let (dispatcher, upstream_request) = (self.clone(), active.upstream_request.clone());
        // The task runs until its attempt ends or `cancel` aborts it: `Attempt` holds only an abort handle,
        // and dropping that or the join handle does not end the task. The library cancels an attempt by its
        // number, and an active request is removed only once all its attempts have ended.
        let task = spawn_local(async move {
            let status = || dispatcher.request_status(request, number);
            let result = dispatcher.upstream.attempt(endpoint, &upstream_request, deadline, status).await;
            dispatcher.on_attempt_end(request, number, result);
        });
        active.push_attempt(Some(Attempt { endpoint, started_at, task: task.abort_handle() }));
    }

    /// Starts a call to the quota counter.
    fn add_to_counter(self: &Rc<Self>, name: u64, amount: f64, ttl_ms: f64) {
        let dispatcher = self.clone();
        // Nothing waits for this task: it ends within the timeout of calls to the quota counter, and reports
        // its outcome as an event.
        spawn_local(async move {
            let outcome = dispatcher.quota_counter.add(name, amount, ttl_ms).await;
            dispatcher.on_event(Event::CounterReply { name, outcome });
        });
    }
}

/// Sends a request's final response, unless one was sent before.
fn respond(state: &mut State, request: RequestId, response: FinalResponse) {
    if let Some(responder) = state.take_responder(request) {
        responder.respond(response);
    }
    state.remove_if_finished(request);
}

/// Cancels an attempt in flight.
fn cancel(state: &mut State, request: RequestId, number: usize) {
    let Some(active) = state.active_requests.get_mut(&request) else { return };
    let Some(attempt) = active.take_attempt(number) else { return };
    // The task can no longer report a result, because the attempt was taken out above. So each attempt is
    // reported by exactly one event.
    attempt.task.abort();
    let ended = EndedAttempt {
        request,
        number,
        endpoint: attempt.endpoint,
        took_ms: attempt.elapsed_ms(),
        request_closed: !active.awaits_response(),
    };
    // A request that has its response gets no further event that would remove it.
    state.remove_if_finished(request);
    state.events.push_back(ended.into_event_without_response(Outcome::Cancelled));
}
