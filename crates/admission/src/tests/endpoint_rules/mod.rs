//! Rules on endpoints: selection, ejection, slow start, and retries.
mod customer_usage_rules;
mod outlier_rules;
mod response_time_rules;
mod retry_rules;
mod selection_rules;
mod slow_start_rules;

use super::is_close;
