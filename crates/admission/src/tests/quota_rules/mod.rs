//! Rules on quotas, and on the messages and calls by which gateways agree on them.
mod counter_rules;
mod message_bounds;
mod owner_rules;
mod peer_message_rules;
mod retention_rules;

/// Whether two figures are equal but for rounding.
fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}
