//! Well-known algorithms and data structures, whose parameters all come from the caller.
pub(crate) mod backoff;
pub(crate) mod common_value;
pub(crate) mod decaying_rate;
pub(crate) mod percentile;
pub(crate) mod smoothing;
pub(crate) mod splitmix64;
pub(crate) mod token_bucket;
pub(crate) mod virtual_finish_queue;
pub(crate) mod weighted_choice;
