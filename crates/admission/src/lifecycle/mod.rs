//! How the records follow what happens: requests and attempts that begin and end, and the time that passes.
//!
//! What is decided, and by which figures, stands in `policy`.
mod attempts;
mod band_control;
mod customers;
mod endpoint_choice;
mod endpoints;
mod outlier_checks;
mod queue_dispatch;
mod request_admission;
mod request_deadlines;
mod requests;
mod response_times;
mod retries;
mod upkeep_schedule;
mod warm_up;
