//! Applies events to the records: requests and attempts that begin and end, and time that passes.
//!
//! The decisions, and the constants that they use, are in `policy`.
mod attempt_end_records;
mod attempts;
mod band_control;
mod customers;
mod endpoint_choice;
mod outlier_checks;
mod queue_dispatch;
mod request_admission;
mod request_deadlines;
mod requests;
mod response_times;
mod retries;
mod upkeep_schedule;
mod warm_up;
