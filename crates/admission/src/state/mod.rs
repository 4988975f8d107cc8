//! Records, each with the methods that keep it consistent.
pub(crate) mod band;
pub(crate) mod candidate;
pub(crate) mod counter_account;
pub(crate) mod customer;
pub(crate) mod endpoint;
pub(crate) mod endpoint_table;
pub(crate) mod event_clock;
pub(crate) mod fleet_means;
pub(crate) mod gateway_set;
pub(crate) mod latency_model;
pub(crate) mod outlier_detector;
pub(crate) mod peer;
pub(crate) mod quota_grants;
pub(crate) mod quota_requests;
pub(crate) mod recent_observations;
pub(crate) mod request;
pub(crate) mod slow_start;
