//! Quotas in counter mode, where gateways may not send each other messages: each customer has a count at the
//! quota counter.
pub(crate) mod count_catch_up;
pub(crate) mod count_decision;
pub(crate) mod count_settlement;
pub(crate) mod counter_sampling;
