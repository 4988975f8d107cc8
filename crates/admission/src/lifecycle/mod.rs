//! How the records follow what happens: requests and attempts that begin and end, and the time that passes.
//!
//! What is decided, and by which figures, stands in `policy`.
mod attempts;
mod customers;
mod endpoints;
mod outlier_checks;
mod requests;
mod response_times;
mod warm_up;
