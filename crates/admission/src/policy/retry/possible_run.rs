//! Whether an attempt may have run at its endpoint.
use crate::event::Outcome;

/// Whether an endpoint may have done the work of an attempt that ended so, or may still do it. Guards
/// requests that must not run twice: a lost connection or a time-out says nothing of what the endpoint did.
pub(crate) fn may_have_run(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Overloaded | Outcome::ConnectFailed | Outcome::TooLate => false,
        Outcome::Ok | Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => true,
    }
}
