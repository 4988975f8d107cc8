//! Large fleets: a random choice of endpoint, in which a lower cost is more likely to be drawn.
use crate::id::{EndpointId, ZoneIndex};
use crate::mechanism::weighted_choice::{inverse_cost_weights, weighted_choice};
use crate::policy::outlier::is_correlated_failure;
use crate::policy::selection::fitness::EndpointFitness;
use crate::policy::selection::local_zone::local_fraction;
use crate::policy::slow_start::{is_warming_up, send_fraction_in_large_fleet, WarmUpAdmission};

/// An endpoint that an attempt may be sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrawCandidate {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// The endpoint's zone.
    pub zone: ZoneIndex,
    /// Lower bound of the endpoint's capacity, as a fraction of its full capacity.
    pub warm_fraction: f64,
    /// Cost of an attempt at the endpoint.
    pub cost: f64,
    /// Whether the endpoint is fit for the request.
    pub fitness: EndpointFitness,
    /// Whether the gateway has a warm-up token for the endpoint; without meaning if the endpoint is warm.
    pub has_warm_up_token: bool,
}

impl DrawCandidate {
    /// Returns the work that the endpoint may be sent, as a fraction of a warm endpoint's; 0 if the endpoint
    /// is unfit or suspect.
    fn capacity(&self) -> f64 {
        if self.fitness.is_unfit || self.fitness.is_suspect {
            0.0
        } else {
            send_fraction_in_large_fleet(self.warm_fraction)
        }
    }

    /// Returns whether the endpoint is warming up and the gateway has a token for it.
    fn has_usable_token(&self) -> bool {
        self.is_warming_up() && self.has_warm_up_token
    }

    /// Returns whether the endpoint does not have its full capacity yet.
    fn is_warming_up(&self) -> bool {
        is_warming_up(self.warm_fraction)
    }
}

/// Inputs of a draw besides the candidates.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrawContext {
    /// A random number from 0 to 1.
    pub draw: f64,
    /// The gateway's zone.
    pub local_zone: ZoneIndex,
    /// Whether the attempt may be sent to an endpoint that is warming up.
    pub warm_up: WarmUpAdmission,
    /// More than three quarters of the ready endpoints are outliers.
    pub is_correlated_failure: bool,
}

/// Returns the endpoint that is drawn, or `None` if no candidate is left.
pub(crate) fn weighted_draw(candidates: Vec<DrawCandidate>, context: &DrawContext) -> Option<EndpointId> {
    let capacities = candidates.iter().map(|candidate| (candidate.zone, candidate.capacity()));
    let local_fraction = local_fraction(capacities, context.local_zone);
    let candidates = admitted_candidates(candidates, context);
    let is_local = |candidate: &DrawCandidate| candidate.zone == context.local_zone;
    let weights = inverse_cost_weights(&candidates, |candidate| candidate.cost, is_local, local_fraction);
    weighted_choice(context.draw, &weights).map(|index| candidates[index].endpoint)
}

/// Returns the fit candidates to which the attempt is admitted, with a raised weight of the warming ones if
/// it is admitted to them by chance.
fn admitted_candidates(mut candidates: Vec<DrawCandidate>, context: &DrawContext) -> Vec<DrawCandidate> {
    match context.warm_up {
        WarmUpAdmission::WarmOnly => {
            candidates.retain(|candidate| !candidate.is_warming_up());
            retain_fit(&mut candidates, context);
        }
        WarmUpAdmission::Admitted { weight_factor } => {
            for candidate in candidates.iter_mut().filter(|candidate| candidate.is_warming_up()) {
                candidate.cost /= weight_factor;
            }
            retain_fit(&mut candidates, context);
        }
        WarmUpAdmission::WithToken => {
            // Which candidates are fit does not depend on the tokens: few endpoints have one at a time.
            retain_fit(&mut candidates, context);
            let has_token = candidates.iter().any(DrawCandidate::has_usable_token);
            candidates
                .retain(|candidate| candidate.has_usable_token() || !has_token && !candidate.is_warming_up());
        }
    }
    candidates
}

/// Removes the unfit candidates, unless so many are unfit that the cause does not lie with them.
///
/// `context.is_correlated_failure` covers all endpoints of the list, but upkeep updates it only now and then;
/// the second check covers the candidates of this request.
fn retain_fit(candidates: &mut Vec<DrawCandidate>, context: &DrawContext) {
    let healthy = candidates.iter().filter(|candidate| !candidate.fitness.is_unfit).count();
    if !context.is_correlated_failure && !is_correlated_failure(healthy, candidates.len()) {
        candidates.retain(|candidate| !candidate.fitness.is_unfit);
    }
}
