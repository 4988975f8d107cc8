//! Tests of the rules on endpoints: selection, ejection, slow start, retries, and customer usage.
mod customer_usage_rules;
mod outlier_rules;
mod response_time_rules;
mod retry_rules;
mod selection_rules;
mod slow_start_rules;

use super::is_close;
