//! Every decision and the figures it goes by, one file for each.
pub(crate) mod admission;
pub(crate) mod coordination;
pub(crate) mod dispatch;
pub(crate) mod endpoint_selection;
pub(crate) mod in_flight_band;
pub(crate) mod observation;
pub(crate) mod outlier;
pub(crate) mod quota_counter;
pub(crate) mod quota_owner;
pub(crate) mod response_time;
pub(crate) mod retry;
pub(crate) mod slow_start;
pub(crate) mod upkeep;
