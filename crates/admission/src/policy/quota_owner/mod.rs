//! Quotas in gossip mode: one of the gateways that a customer's requests come through owns the customer's
//! quota, and the other gateways send it quota requests.
pub(crate) mod ceiling_fraction;
pub(crate) mod fallback_decision;
pub(crate) mod owner_sampling;
pub(crate) mod owner_selection;
pub(crate) mod owner_verdict;
pub(crate) mod quota_request_route;
pub(crate) mod unit_bounds;
