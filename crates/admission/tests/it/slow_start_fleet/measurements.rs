//! What runs of the simulation came to.
use super::simulation::{Simulation, JOIN_MS, WARM_UP_MS};

/// Sends as fractions of the capacity that endpoints have at the time, summed over runs.
#[derive(Debug, Default, Clone, Copy)]
struct Utilization {
    warming: f64,
    warm: f64,
}

impl Utilization {
    fn and(self, other: Self) -> Self {
        Utilization { warming: self.warming + other.warming, warm: self.warm + other.warm }
    }
}

#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Measurements {
    pub(super) runs: f64,
    pub(super) runs_over_limit: usize,
    /// The fullest window, as a fraction of the limit.
    worst: f64,
    mid_warm_up: Utilization,
    after_warm_up: Utilization,
    submitted: f64,
    within_objective: f64,
}

impl Measurements {
    pub(super) fn of(simulation: &Simulation) -> Self {
        let worst = worst_window(simulation);
        Measurements {
            runs: 1.0,
            runs_over_limit: usize::from(worst > 1.0),
            worst,
            mid_warm_up: utilization(simulation, 0.4, 0.6),
            after_warm_up: utilization(simulation, 1.0, 1.2),
            submitted: simulation.submitted,
            within_objective: simulation.within_objective,
        }
    }

    pub(super) fn and(self, other: Self) -> Self {
        Measurements {
            runs: self.runs + other.runs,
            runs_over_limit: self.runs_over_limit + other.runs_over_limit,
            worst: self.worst.max(other.worst),
            mid_warm_up: self.mid_warm_up.and(other.mid_warm_up),
            after_warm_up: self.after_warm_up.and(other.after_warm_up),
            submitted: self.submitted + other.submitted,
            within_objective: self.within_objective + other.within_objective,
        }
    }

    /// Whether warming endpoints do two fifths of what a warm one does for its capacity by the middle of their
    /// warm-up, and four fifths after it.
    pub(super) fn warming_endpoints_are_used(&self) -> bool {
        let at_least = |fraction: f64, used: Utilization| used.warming >= fraction * used.warm.min(self.runs);
        at_least(0.4, self.mid_warm_up) && at_least(0.8, self.after_warm_up)
    }
}

impl std::fmt::Display for Measurements {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (mid, after, n) = (self.mid_warm_up, self.after_warm_up, self.runs);
        write!(f, "worst {:.2} of the limit, over it in {} of {n} runs; ", self.worst, self.runs_over_limit)?;
        write!(f, "use at mid warm-up {:.2} (warm {:.2}), ", mid.warming / n, mid.warm / n)?;
        write!(f, "after it {:.2} (warm {:.2}); ", after.warming / n, after.warm / n)?;
        write!(f, "within the objective {:.3}", self.within_objective / self.submitted)
    }
}

/// The most sends to a warming endpoint in any window, as a fraction of what chance may explain.
fn worst_window(simulation: &Simulation) -> f64 {
    let mut worst = 0.0f64;
    let window_ms = simulation.settings.overload_window_ms;
    for (n, endpoint) in simulation.endpoints.iter().enumerate() {
        let Some(start) = endpoint.started_at_ms else { continue };
        let sent = &endpoint.sent_ms;
        let mut last = 0;
        for (first, at) in sent.iter().enumerate().take_while(|(_, at)| **at < start + WARM_UP_MS) {
            while last < sent.len() && sent[last] < at + window_ms {
                last += 1;
            }
            let capacity = endpoint.capacity * simulation.warm_up_capacity(n, *at);
            let budget = simulation.settings.overload_multiple * capacity * window_ms / 1000.0;
            worst = worst.max((last - first) as f64 / (budget + 2.0 * budget.sqrt() + 2.0));
        }
    }
    worst
}

/// Sends and capacity of a group of endpoints.
#[derive(Default)]
struct Work {
    sent: f64,
    capacity: f64,
}

/// Sends to warming endpoints, and to warm ones over as long a time, as fractions of the capacity they have: in a span
/// of the warm-up, whose ends `from` and `to` are fractions of it.
fn utilization(simulation: &Simulation, from: f64, to: f64) -> Utilization {
    let (mut warming, mut warm) = (Work::default(), Work::default());
    for (n, endpoint) in simulation.endpoints.iter().enumerate() {
        let start = endpoint.started_at_ms.unwrap_or(JOIN_MS + 250.0);
        let (from_ms, to_ms) = (start + from * WARM_UP_MS, start + to * WARM_UP_MS);
        let mid_ms = (from_ms + to_ms) / 2.0;
        let work = if endpoint.started_at_ms.is_some() { &mut warming } else { &mut warm };
        work.sent += endpoint.sent_ms.iter().filter(|t| (from_ms..to_ms).contains(*t)).count() as f64;
        work.capacity +=
            endpoint.capacity * simulation.warm_up_capacity(n, mid_ms) * (to_ms - from_ms) / 1000.0;
    }
    Utilization { warming: warming.sent / warming.capacity, warm: warm.sent / warm.capacity }
}
