//! Large fleets: which attempts may be sent to an endpoint that is warming up, by chance or with a token.
use crate::id::RequestId;
use crate::mechanism::splitmix64::{fraction, mix};
use crate::policy::slow_start::warm_fraction::is_warming_up;

/// Smallest factor between the warming endpoints' fraction of the send capacity and the admitted fraction of
/// attempts. The factor is the sum of this constant and the fraction of endpoints that are warm. It is above
/// 1 because an admitted attempt may still be drawn to a warm endpoint.
const MIN_WARM_UP_ADMISSION_FACTOR: f64 = 1.2;

/// Fraction of the send capacity that warm endpoints must have for attempts to be admitted to the others by
/// chance. Below it, too little of a queue that is sent at once would go to warm endpoints.
const MIN_WARM_CAPACITY_FRACTION: f64 = 1.0 / 3.0;

/// The work that the ready endpoints may be sent, in multiples of a warm endpoint's work.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SendCapacity {
    /// The work that all ready endpoints may be sent.
    total: f64,
    /// The part of `total` that the endpoints that are warming up may be sent.
    warming_up: f64,
    /// Number of ready endpoints that are warm.
    warm_endpoints: u32,
    /// Number of ready endpoints, warm or warming up.
    endpoints: u32,
}

impl SendCapacity {
    /// Adds an endpoint that may be sent `send_fraction` of a warm endpoint's work.
    pub(crate) fn add(&mut self, send_fraction: f64, warm_fraction: f64) {
        self.total += send_fraction;
        self.endpoints += 1;
        if is_warming_up(warm_fraction) {
            self.warming_up += send_fraction;
        } else {
            self.warm_endpoints += 1;
        }
    }

    /// Returns the fraction of the endpoints that are warm.
    fn warm_endpoint_fraction(&self) -> f64 {
        f64::from(self.warm_endpoints) / f64::from(self.endpoints.max(1))
    }
}

/// The decision whether an attempt may be sent to an endpoint that is warming up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum WarmUpAdmission {
    /// The attempt may be sent to any endpoint, and warming endpoints weigh more: few attempts are admitted,
    /// and these have to use the whole capacity of the warming endpoints.
    Admitted {
        /// Factor on the weight of a warming endpoint; at least 1.
        weight_factor: f64,
    },
    /// The attempt is sent to a warm endpoint.
    WarmOnly,
    /// The attempt is sent to a warming endpoint for which the gateway has a token, or else to a warm one. A
    /// token may be rare and expire soon, so it is used first.
    WithToken,
}

/// Decides whether an attempt may be sent to an endpoint that is warming up. `draw` is a random number from 0
/// to 1.
///
/// If few endpoints are warm or none is, tokens decide. The fraction of the attempts that are admitted would
/// be so large then that a queue which is sent at once, after an outage for example, would overload an
/// endpoint. Tokens bound the number of attempts instead, as in broadcast mode.
///
/// Otherwise the admitted fraction of attempts is at most 2.2 times the warming endpoints' fraction of the
/// capacity, even if the warm endpoints are busy or faulty: the work that those cannot take would overload an
/// endpoint that has just started.
pub(crate) fn warm_up_admission(capacity: &SendCapacity, draw: f64) -> WarmUpAdmission {
    let factor = MIN_WARM_UP_ADMISSION_FACTOR + capacity.warm_endpoint_fraction();
    if capacity.total - capacity.warming_up < MIN_WARM_CAPACITY_FRACTION * capacity.total {
        WarmUpAdmission::WithToken
    } else if draw * capacity.total < factor * capacity.warming_up {
        WarmUpAdmission::Admitted { weight_factor: capacity.total / capacity.warming_up }
    } else {
        WarmUpAdmission::WarmOnly
    }
}

/// Returns the number from 0 to 1 that decides on the admission of an attempt. It is a hash, so that a
/// request that waits for an endpoint gets the same number each time its attempt is tried again.
pub(crate) fn warm_up_draw(request: RequestId, incarnation: u32, attempt: usize) -> f64 {
    fraction(mix(mix(request.0 ^ u64::from(incarnation)).wrapping_add(attempt as u64)))
}
