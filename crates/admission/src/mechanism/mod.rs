//! Known structures with no figure of their own.
pub(crate) mod backoff;
pub(crate) mod decaying_rate;
pub(crate) mod smoothing;
pub(crate) mod splitmix64;
pub(crate) mod virtual_finish_queue;
