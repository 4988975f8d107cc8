//! Rules on endpoints: selection, ejection, slow start, and retries.
mod customer_usage_rules;
mod outlier_rules;
mod response_time_rules;
mod retry_rules;
mod selection_rules;
mod slow_start_rules;

/// Whether two figures agree but for rounding.
fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}
