//! The tests of the dispatcher's rules, by concern.
mod request_deadlines;
mod timer_queue;
