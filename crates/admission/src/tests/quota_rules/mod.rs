//! Rules for quotas, and for the messages and calls by which gateways agree on them.
mod counter_rules;
mod message_bounds;
mod owner_rules;
mod peer_message_rules;
mod retention_rules;

use super::is_close;
