//! Active requests, their attempts, and the retry budget.
mod active_request;
mod attempt_record;
mod retry_budget;

pub(crate) use active_request::{ActiveRequest, RequestTable};
pub(crate) use attempt_record::{Attempt, AttemptId, InFlightAttemptWithClass};
pub(crate) use retry_budget::RetryBudget;
