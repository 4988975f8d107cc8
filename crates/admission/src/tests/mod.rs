//! Table tests of the rules under `policy`. Each calls a rule with a table of plain inputs and expected
//! results, and its name says which result the rule must have.
mod endpoint_rules;
mod load_rules;
mod plan_builder;
mod quota_rules;

/// Returns whether two figures are equal except for rounding.
fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}
