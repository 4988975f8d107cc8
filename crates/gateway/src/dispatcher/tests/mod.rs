//! Tests of the dispatcher.
mod request_deadlines;
mod timer_queue;
