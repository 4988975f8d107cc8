//! Carries out the actions of the decision library.
use super::active_call::{Attempt, EndedAttempt};
use super::final_response::FinalResponse;
use super::timers::Due;
use super::{Dispatcher, State};
use crate::logging::target;
use irishinge_admission::{Action, EndpointId, Event, Outcome, RequestId};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl Dispatcher {
    /// Carries out one action. Events that it causes at once are queued in `state`.
    pub(super) fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout_ms } => self.send(state, request, endpoint, timeout_ms),
            Action::Reject { request, retry_after_ms } => {
                respond(state, request, FinalResponse::Rejected { retry_after_ms });
            }
            Action::Fail { request } => respond(state, request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => cancel(state, request, attempt as usize),
            Action::SetTimer { at_ms, token } => {
                self.schedule(state, self.clock.instant(at_ms), Due::Timer(token));
            }
            Action::SendPeerMessage { to, body } => self.peers.send(to, &body),
            Action::AddToCounter { name, amount, ttl_ms } => self.add_to_counter(name, amount, ttl_ms),
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        let Some(call) = state.calls.get_mut(&request) else {
            return tracing::error!(
                target: target::DISPATCHER,
                request = %format_args!("{:016x}", request.0),
                endpoint = %format_args!("{:016x}", endpoint.0),
                "attempt requested after the request was over"
            );
        };
        let index = call.next_attempt_index();
        // The call may have got its response, or lost its client, by an event that the library has not
        // handled yet. Without this check the request would run for nobody. The attempt takes its number
        // all the same, since the library counts it.
        if !call.awaits_response() {
            call.push_attempt(None);
            let ended = EndedAttempt { request, index, endpoint, took_ms: 0.0, request_answered: true };
            return state.events.push_back(ended.into_event_without_response(Outcome::NotSent));
        }
        let sent_at = Instant::now();
        let deadline = call.attempt_deadline(sent_at, timeout_ms);
        let (dispatcher, upstream_request) = (self.clone(), call.request.clone());
        // `Attempt` owns the task: the library cancels it by its number, and a call is only forgotten once
        // its attempts have ended.
        let task = spawn_local(async move {
            let is_wanted = || dispatcher.awaits_response(request);
            let result = dispatcher.upstream.attempt(endpoint, &upstream_request, deadline, is_wanted).await;
            dispatcher.on_attempt_end(request, index, result);
        });
        call.push_attempt(Some(Attempt { endpoint, sent_at, task: task.abort_handle() }));
    }

    fn add_to_counter(self: &Rc<Self>, name: u64, amount: f64, ttl_ms: f64) {
        let dispatcher = self.clone();
        // Nobody waits for this task: it ends within the counter's timeout and reports its outcome as an
        // event.
        spawn_local(async move {
            let outcome = dispatcher.quota_counter.add(name, amount, ttl_ms).await;
            dispatcher.on_event(Event::CounterReply { name, outcome });
        });
    }
}

/// Sends a call its final response, unless it has one.
fn respond(state: &mut State, request: RequestId, response: FinalResponse) {
    let Some(call) = state.calls.get_mut(&request) else { return };
    if let Some(responder) = call.take_responder() {
        responder.respond(response);
    }
    if call.is_over() {
        state.calls.remove(&request);
    }
}

/// Cancels an attempt in flight.
fn cancel(state: &mut State, request: RequestId, index: usize) {
    let Some(call) = state.calls.get_mut(&request) else { return };
    let Some(attempt) = call.take_attempt(index) else { return };
    // The task's end can no longer report a result, since the attempt was taken out above. So there is one
    // event for each attempt.
    attempt.task.abort();
    let ended = EndedAttempt {
        request,
        index,
        endpoint: attempt.endpoint,
        took_ms: attempt.elapsed_ms(),
        request_answered: !call.awaits_response(),
    };
    state.events.push_back(ended.into_event_without_response(Outcome::Cancelled));
}
