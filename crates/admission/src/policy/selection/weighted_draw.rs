//! Large fleets: a random endpoint, the likelier the lower its cost.
use crate::id::{EndpointId, ZoneIndex};
use crate::mechanism::weighted_choice::{inverse_cost_weights, weighted_choice};
use crate::policy::outlier::is_correlated_failure;
use crate::policy::selection::fitness::EndpointFitness;
use crate::policy::selection::local_zone::local_fraction;
use crate::policy::slow_start::{is_warming_up, send_fraction_in_large_fleet, WarmUpAdmission};

/// An endpoint that an attempt may be sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrawCandidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneIndex,
    /// Fraction of its full capacity that it has at least.
    pub warm_fraction: f64,
    /// Its cost.
    pub cost: f64,
    /// Whether it is fit for the request.
    pub fitness: EndpointFitness,
}

impl DrawCandidate {
    /// Work that it may be sent, as a fraction of a warm endpoint's: none where it is not fit.
    fn capacity(&self) -> f64 {
        if self.fitness.is_outlier || self.fitness.is_unresponsive {
            0.0
        } else {
            send_fraction_in_large_fleet(self.warm_fraction)
        }
    }

    /// Whether it does not have its full capacity yet.
    fn is_warming_up(&self) -> bool {
        is_warming_up(self.warm_fraction)
    }
}

/// What a draw goes by, the candidates aside.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrawContext {
    /// A random number from 0 to 1.
    pub draw: f64,
    /// The zone of the gateway.
    pub local_zone: ZoneIndex,
    /// Whether this attempt may go to an endpoint that is warming up.
    pub warm_up: WarmUpAdmission,
    /// Most endpoints of the list look like outliers.
    pub is_correlated_failure: bool,
}

/// The endpoint that the draw falls on; `None` where there is none to send to.
pub(crate) fn weighted_draw(mut candidates: Vec<DrawCandidate>, context: &DrawContext) -> Option<EndpointId> {
    let capacities = candidates.iter().map(|candidate| (candidate.zone, candidate.capacity()));
    let local_fraction = local_fraction(capacities, context.local_zone);
    apply_warm_up_admission(&mut candidates, context.warm_up);
    // Upkeep judges all endpoints of the list, but only now and then; these are the candidates of this
    // request.
    let healthy = candidates.iter().filter(|candidate| !candidate.fitness.is_outlier).count();
    if !context.is_correlated_failure && !is_correlated_failure(healthy, candidates.len()) {
        candidates.retain(|candidate| !candidate.fitness.is_outlier);
    }
    let is_local = |candidate: &DrawCandidate| candidate.zone == context.local_zone;
    let weights = inverse_cost_weights(&candidates, |candidate| candidate.cost, is_local, local_fraction);
    weighted_choice(context.draw, &weights).map(|index| candidates[index].endpoint)
}

/// Leaves out the candidates that are warming up, or raises their weight where the attempt is admitted to
/// them.
fn apply_warm_up_admission(candidates: &mut Vec<DrawCandidate>, admission: WarmUpAdmission) {
    match admission {
        WarmUpAdmission::WarmOnly => candidates.retain(|candidate| !candidate.is_warming_up()),
        WarmUpAdmission::Admitted { weight_factor } => {
            for candidate in candidates.iter_mut().filter(|candidate| candidate.is_warming_up()) {
                candidate.cost /= weight_factor;
            }
        }
    }
}
