//! Records, each with the methods that keep it consistent.
pub(crate) mod band;
pub(crate) mod candidate;
pub(crate) mod customer;
pub(crate) mod endpoint;
pub(crate) mod endpoint_table;
pub(crate) mod latency_model;
pub(crate) mod outlier_detector;
pub(crate) mod peer;
pub(crate) mod request;
pub(crate) mod slow_start;
