//! Every decision and the figures it goes by, one file for each.
pub(crate) mod admission;
pub(crate) mod band;
pub(crate) mod coordination;
pub(crate) mod dispatch;
pub(crate) mod endpoint_selection;
pub(crate) mod outlier_detection;
pub(crate) mod quota_counter;
pub(crate) mod quota_owner;
pub(crate) mod retry;
pub(crate) mod slow_start;
pub(crate) mod upkeep;
