//! Messages between gateways: how often each is sent, and what a received message changes.
pub(crate) mod ceiling_transfer;
pub(crate) mod count_merge;
pub(crate) mod fleet_mean_rules;
pub(crate) mod message_capacity;
pub(crate) mod quota_message_budget;
pub(crate) mod report_schedule;
