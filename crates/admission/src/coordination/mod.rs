//! The exchange between gateways of what they know about the fleet, and the enforcement of quotas over all
//! gateways.
pub(crate) mod count_reports;
pub(crate) mod counter_calls;
pub(crate) mod gossip_exchange;
pub(crate) mod observations;
pub(crate) mod quota_ownership;
pub(crate) mod quota_requests;
