//! How gateways exchange what they know of the fleet.
pub(crate) mod broadcast;
pub(crate) mod counter_calls;
pub(crate) mod gossip;
pub(crate) mod observations;
pub(crate) mod quota_grants;
pub(crate) mod quota_requests;
