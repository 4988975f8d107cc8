//! Table tests of the rules under `policy`: each calls a rule with plain figures, as an engineer would with
//! the figures of one request from a log, and names the branch that decides.
mod endpoint_rules;
mod load_rules;
mod plan_builder;
mod quota_rules;

/// Whether two figures are equal but for rounding.
fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}
