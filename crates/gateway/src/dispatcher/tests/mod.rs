//! The tests of the dispatcher's rules, by concern.
mod call_deadlines;
mod timer_queue;
