//! How gateways exchange what they know of the fleet.
pub(crate) mod count_reports;
pub(crate) mod counter_calls;
pub(crate) mod gossip_exchange;
pub(crate) mod observations;
pub(crate) mod quota_ownership;
pub(crate) mod quota_requests;
