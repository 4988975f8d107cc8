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
pub(crate) struct RepeatInput {
    /// Time since the oldest attempt that may have run was sent, in ms; `None` where none may have run.
    pub since_first_risky_ms: Option<f64>,
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
pub(crate) enum RepeatScope {
    /// All.
    AnyEndpoint,
    /// Those that drop a repeat of the idempotency key of every earlier attempt.
    DedupGroup(DedupGroup),
    /// None.
    NoEndpoint,
}

/// Where a request may have another attempt. A request that never ran may go anywhere.
pub(crate) fn repeat_scope(input: &RepeatInput) -> RepeatScope {
    let Some(since_first_ms) = input.since_first_risky_ms else { return RepeatScope::AnyEndpoint };
    if !input.hedging_allowed && input.has_attempt_in_flight {
        return RepeatScope::NoEndpoint;
    }
    match input.idempotency {
        Idempotency::Idempotent => RepeatScope::AnyEndpoint,
        Idempotency::NonIdempotent => RepeatScope::NoEndpoint,
        Idempotency::IdempotencyKey { group, window_ms } => {
            let limit_ms = KEY_WINDOW_FRACTION * window_ms - KEY_WINDOW_ROUNDS * input.tick_ms;
            if since_first_ms < limit_ms {
                RepeatScope::DedupGroup(group)
            } else {
                RepeatScope::NoEndpoint
            }
        }
    }
}

impl RepeatScope {
    /// Whether an endpoint is among these. `risky_attempts` are the request's attempts that may have run.
    pub(crate) fn includes<'a>(
        self,
        endpoint: &Endpoint,
        mut risky_attempts: impl Iterator<Item = &'a Attempt>,
    ) -> bool {
        match self {
            RepeatScope::AnyEndpoint => true,
            RepeatScope::NoEndpoint => false,
            RepeatScope::DedupGroup(DedupGroup::All) => true,
            RepeatScope::DedupGroup(DedupGroup::Zone) => {
                risky_attempts.all(|attempt| attempt.zone() == endpoint.zone())
            }
            RepeatScope::DedupGroup(DedupGroup::Cell) => {
                risky_attempts.all(|attempt| attempt.cell() == endpoint.cell())
            }
        }
    }
}
