//! The hard ceiling of a customer: its second store, as rule 5 words it, followed by the requests that came whole
//! to endpoints.
use crate::gateway::Plan;
use crate::host::Arrival;
use crate::util::Record;
use std::collections::BTreeSet;

/// The slack of each time limit on sockets.
const SLACK_S: f64 = 0.05;

/// Returns whether the ceiling of the plan held for a customer whose requests have `units` each. Only the first
/// attempt of a request takes its units.
pub fn ceiling_held(plan: &Plan, units: u32, arrivals: &[Arrival], record: &Record) -> bool {
    let (mut store, mut filled_ms, mut lowest) = (plan.cap_depth, 0.0, plan.cap_depth);
    let mut seen = BTreeSet::new();
    for arrival in arrivals.iter().filter(|arrival| seen.insert(arrival.id.clone())) {
        let filled = store + plan.never_over_rate * (arrival.at_ms - filled_ms) / 1000.0;
        store = filled.min(plan.cap_depth) - f64::from(units);
        filled_ms = arrival.at_ms;
        lowest = store.min(lowest);
        record.line(&format!(
            "store of the ceiling after {} at {:.0} ms: {store:.1}",
            arrival.id, arrival.at_ms
        ));
    }
    let bound = -(plan.hard_slack + plan.never_over_rate * SLACK_S);
    record.say(&format!(
        "requests sent on: {}; lowest store of the ceiling: {lowest:.1} units, allowed: {bound:.1}",
        arrivals.iter().map(|a| &a.id).collect::<BTreeSet<_>>().len()
    ));
    lowest >= bound
}
