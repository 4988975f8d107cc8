//! Broadcast mode: the endpoint at which an attempt costs least.
use crate::id::EndpointId;

/// An endpoint that an attempt may be sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CostCandidate {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// Cost of an attempt at the endpoint.
    pub cost: f64,
    /// The endpoint is left out while enough others are healthy.
    pub is_unfit: bool,
}

/// Returns the endpoint with the lowest cost, the first of several with the same cost, or `None` if no
/// endpoint is fit. In a correlated failure unfit endpoints are candidates too.
pub(crate) fn least_cost(
    candidates: impl Iterator<Item = CostCandidate>,
    is_correlated_failure: bool,
) -> Option<EndpointId> {
    candidates
        .filter(|candidate| is_correlated_failure || !candidate.is_unfit)
        .min_by(|left, right| left.cost.total_cmp(&right.cost))
        .map(|candidate| candidate.endpoint)
}
