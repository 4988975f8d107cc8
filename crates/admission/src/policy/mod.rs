//! Every decision and the figures it goes by, one file for each.
pub(crate) mod admission;
pub(crate) mod ample_quota;
pub(crate) mod coordination_choice;
pub(crate) mod customer_retention;
pub(crate) mod dispatch;
pub(crate) mod endpoint_selection;
pub(crate) mod in_flight_band;
pub(crate) mod outlier_detection;
pub(crate) mod peer_messages;
pub(crate) mod quota_counter;
pub(crate) mod quota_owner;
pub(crate) mod retry;
pub(crate) mod slow_start;
pub(crate) mod upkeep;
