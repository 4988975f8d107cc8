//! Where a request may have another attempt, by the idempotency of its class.
use crate::settings::{DedupGroup, Idempotency};
use crate::state::{Attempt, Endpoint};

/// Fraction of an idempotency key's window that is used. The window counts where the endpoints are, so that
/// the network takes some of it.
const KEY_WINDOW_FRACTION: f64 = 0.9;

/// Rounds of events that may pass before an attempt reaches the network and before its time is noticed.
const KEY_WINDOW_ROUNDS: f64 = 2.0;

/// What decides where a request may have another attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryScopeInput {
    /// Time since the oldest attempt that may have run was sent, in ms; `None` where none may have run.
    pub since_first_possible_run_ms: Option<f64>,
    /// An attempt is in flight.
    pub has_attempt_in_flight: bool,
    /// Two attempts of a request may be in flight at once, from the settings.
    pub hedging_allowed: bool,
    /// What the class allows once an attempt may have run.
    pub idempotency: Idempotency,
    /// Shortest time between two rounds of events, from the settings, in ms.
    pub tick_ms: f64,
}

/// The endpoints at which a request may have another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryScope {
    /// All.
    AnyEndpoint,
    /// Those that deduplicate together with the endpoints of all earlier attempts that may have run.
    DedupGroup(DedupGroup),
    /// None.
    NoEndpoint,
}

/// Where a request may have another attempt. A request that never ran may go anywhere.
pub(crate) fn retry_scope(input: &RetryScopeInput) -> RetryScope {
    let Some(since_first_ms) = input.since_first_possible_run_ms else { return RetryScope::AnyEndpoint };
    if !input.hedging_allowed && input.has_attempt_in_flight {
        return RetryScope::NoEndpoint;
    }
    match input.idempotency {
        Idempotency::Idempotent => RetryScope::AnyEndpoint,
        Idempotency::NonIdempotent => RetryScope::NoEndpoint,
        Idempotency::IdempotencyKey { group, window_ms } => {
            let limit_ms = KEY_WINDOW_FRACTION * window_ms - KEY_WINDOW_ROUNDS * input.tick_ms;
            if since_first_ms < limit_ms {
                RetryScope::DedupGroup(group)
            } else {
                RetryScope::NoEndpoint
            }
        }
    }
}

impl RetryScope {
    /// Whether an endpoint is among these. `attempts_that_may_have_run` are the request's attempts that may
    /// have run.
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
