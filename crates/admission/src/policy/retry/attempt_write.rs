//! Whether an attempt that was sent earlier may be written to its endpoint's connection now.
use crate::policy::retry::key_window::key_window_is_open;
use crate::settings::Idempotency;

/// An attempt that is about to be written, and what is known of its request's other attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptWriteInput {
    /// Time since the oldest other attempt that may have run was sent, in ms; `None` if no other attempt may
    /// have run. An attempt in flight may run, whether or not it has been written.
    pub since_other_possible_run_ms: Option<f64>,
    /// Whether another attempt of the request is safe once an earlier one may have run.
    pub idempotency: Idempotency,
    /// Length of a tick, from the settings, in ms.
    pub tick_ms: f64,
}

/// Returns whether an attempt may be written now.
///
/// Time passes between the decision to send an attempt and its write, above all while its connection is being
/// established. Each attempt is compared with all others, the older with the younger too: the first attempt
/// of a request may be the last one to be written.
pub(crate) fn attempt_may_be_written(input: &AttemptWriteInput) -> bool {
    let Some(since_other_ms) = input.since_other_possible_run_ms else { return true };
    match input.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotencyKey { window_ms, .. } => {
            key_window_is_open(since_other_ms, window_ms, input.tick_ms)
        }
    }
}
