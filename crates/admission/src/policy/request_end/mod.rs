//! Consequences of the end of a request for its client and for its customer's quota.
pub(crate) mod final_response;
pub(crate) mod quota_settlement;
