//! Changes of a customer's usage at this gateway when an attempt starts or ends.
mod attempt_end_usage;
mod attempt_start_usage;

pub(crate) use attempt_end_usage::{usage_at_attempt_end, AttemptEndInput, ExcessCharge};
pub(crate) use attempt_start_usage::{usage_at_attempt_start, AttemptStartInput};
