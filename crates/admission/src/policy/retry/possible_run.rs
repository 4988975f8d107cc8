//! Decides whether an endpoint may have executed an attempt.
use crate::event::Outcome;

/// Returns whether the endpoint may have executed an attempt that ended with `outcome`, or may still execute
/// it. This protects requests that must not run twice: a lost connection or a time-out does not tell what the
/// endpoint did.
pub(crate) fn may_have_run(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent => false,
        Outcome::Ok | Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => true,
    }
}
