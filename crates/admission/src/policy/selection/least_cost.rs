//! Broadcast mode: the endpoint that is expected to respond first.
use crate::id::EndpointId;

/// An endpoint that an attempt may be sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CostCandidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its cost.
    pub cost: f64,
    /// It is left out while enough others are healthy.
    pub is_unfit: bool,
}

/// The endpoint of least cost, the first of several; `None` where none is fit. In a correlated failure the
/// unfit count as well.
pub(crate) fn least_cost(
    candidates: impl Iterator<Item = CostCandidate>,
    is_correlated_failure: bool,
) -> Option<EndpointId> {
    candidates
        .filter(|candidate| is_correlated_failure || !candidate.is_unfit)
        .min_by(|left, right| left.cost.total_cmp(&right.cost))
        .map(|candidate| candidate.endpoint)
}
