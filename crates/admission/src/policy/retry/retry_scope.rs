//! At which endpoints a request may have another attempt, by the idempotency of its class.
use crate::policy::retry::key_window::key_window_is_open;
use crate::settings::{DedupGroup, Idempotency};
use crate::state::{Attempt, Endpoint};

/// The earlier attempts of a request, and the settings that restrict the endpoints of its retries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryScopeInput {
    /// Time since the oldest attempt that may have run was sent, in ms; `None` if no attempt may have run.
    pub since_first_possible_run_ms: Option<f64>,
    /// An attempt of the request is in flight.
    pub has_attempt_in_flight: bool,
    /// Two attempts of a request may be in flight at once, from the settings.
    pub hedging_allowed: bool,
    /// Whether another attempt of the request is safe once an earlier one may have run.
    pub idempotency: Idempotency,
    /// Length of a tick, from the settings, in ms.
    pub tick_ms: f64,
}

/// The endpoints at which a request may have another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryScope {
    /// All endpoints.
    AnyEndpoint,
    /// Endpoints that share their memory of idempotency keys with the endpoints of all earlier attempts that
    /// may have run.
    DedupGroup(DedupGroup),
    /// No endpoint.
    NoEndpoint,
}

/// Returns the endpoints at which a request may have another attempt. A request none of whose attempts may
/// have run may be sent to any endpoint.
pub(crate) fn retry_scope(input: &RetryScopeInput) -> RetryScope {
    let Some(since_first_ms) = input.since_first_possible_run_ms else { return RetryScope::AnyEndpoint };
    if !input.hedging_allowed && input.has_attempt_in_flight {
        return RetryScope::NoEndpoint;
    }
    match input.idempotency {
        Idempotency::Idempotent => RetryScope::AnyEndpoint,
        Idempotency::NonIdempotent => RetryScope::NoEndpoint,
        Idempotency::IdempotencyKey { group, window_ms } => {
            if key_window_is_open(since_first_ms, window_ms, input.tick_ms) {
                RetryScope::DedupGroup(group)
            } else {
                RetryScope::NoEndpoint
            }
        }
    }
}

impl RetryScope {
    /// Returns whether an endpoint is in the scope. `attempts_that_may_have_run` are the request's earlier
    /// attempts that may have run.
    pub(crate) fn includes<'a>(
        self,
        endpoint: &Endpoint,
        mut attempts_that_may_have_run: impl Iterator<Item = &'a Attempt>,
    ) -> bool {
        match self {
            RetryScope::AnyEndpoint => true,
            RetryScope::NoEndpoint => false,
            RetryScope::DedupGroup(DedupGroup::All) => true,
            RetryScope::DedupGroup(DedupGroup::Zone) => {
                attempts_that_may_have_run.all(|attempt| attempt.zone() == endpoint.zone())
            }
            RetryScope::DedupGroup(DedupGroup::Cell) => {
                attempts_that_may_have_run.all(|attempt| attempt.cell() == endpoint.cell())
            }
        }
    }
}
