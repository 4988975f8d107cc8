//! What an attempt takes of its customer's limits at this gateway, when it starts and when it ends.
mod attempt_end_usage;
mod attempt_start_usage;

pub(crate) use attempt_end_usage::{usage_at_attempt_end, AttemptEndInput, ExcessCharge};
pub(crate) use attempt_start_usage::{usage_at_attempt_start, AttemptStartInput};
