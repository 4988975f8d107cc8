//! Records, each with the methods that keep it consistent.
pub(crate) mod band;
pub(crate) mod counter_account;
pub(crate) mod customer;
pub(crate) mod endpoint;
pub(crate) mod event_clock;
pub(crate) mod fleet_means;
pub(crate) mod gateway_set;
pub(crate) mod observation;
pub(crate) mod peer;
pub(crate) mod quota_grants;
pub(crate) mod quota_requests;
pub(crate) mod recent_observations;
pub(crate) mod request;
