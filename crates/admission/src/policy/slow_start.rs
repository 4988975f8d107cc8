//! How much a warming endpoint may be sent.
use crate::event::EndpointState;
use crate::gateway::Gateway;
use crate::id::RequestId;
use crate::mechanism::splitmix64::{fraction, mix};
use crate::state::endpoint::{Endpoint, WarmUpBudget};

/// Part of the cold budget used: work sizes vary, and endpoints of a kind differ in speed.
pub(crate) const WARM_UP_BUDGET_FRACTION: f64 = 0.6;

/// Part of what warm endpoints of the kind get that they are sure to be able to do.
pub(crate) const WARM_PEER_FRACTION: f64 = 0.7;

/// Part of a window whose tokens may be saved up, so that any window stays inside the budget.
pub(crate) const SAVED_WINDOW_FRACTION: f64 = 0.5;

/// In a wide fleet endpoints are drawn by odds: this part of what a cold one can do at least counts for it.
/// Of all requests so many times the part that cold endpoints then have may go to one, and as often again as
/// there are warm endpoints among all: those take most.
pub(crate) const WARM_UP_WEIGHT: f64 = 0.5;
pub(crate) const WARM_UP_ADMISSION_FACTOR: f64 = 1.2;

impl Gateway {
    /// What this gateway may send a cold endpoint; `None`: it is warm. Of the budget of all gateways it takes
    /// one part in `gateways`, or what it sends to a warm endpoint of the kind where that is more. The sum of
    /// both would still be no more than a warm endpoint's work: the more it has of that, the longer answers
    /// take. What is out tells so before the answers do.
    pub(crate) fn warm_up_budget(&self, endpoint: &Endpoint) -> Option<WarmUpBudget> {
        let warm = Some(self.warm_fraction(endpoint)).filter(|w| *w < 1.0)?;
        let alike =
            WARM_PEER_FRACTION * self.slow_start.kind_send_rate.get(&endpoint.kind).copied().unwrap_or(0.0);
        let own =
            1000.0 / self.mean_response_ms().max(self.latency.typical_age_ms) / self.settings.gateways as f64;
        let lasts_s = SAVED_WINDOW_FRACTION * self.settings.overload_window_ms / 1000.0;
        let rate = WARM_UP_BUDGET_FRACTION * self.settings.overload_multiple * warm * alike.max(own);
        Some(WarmUpBudget { rate, most: rate * lasts_s })
    }

    /// Whether a request of a wide fleet may go to a cold endpoint, and how much the likelier then. Of all
    /// requests it is little more than the part that cold ones are sure to be able to do, however ill or busy
    /// the warm ones are: what these can't take would push the cold ones over. Each request is drawn once, so
    /// that it does not come by waiting.
    pub(crate) fn warm_up_odds(&self, id: RequestId, attempt: usize) -> Option<f64> {
        let (mut all, mut cold, mut warm) = (0.0, 0.0, 0);
        let mut ready = 0;
        for endpoint in self.endpoints.by_id.values().filter(|s| s.state == EndpointState::Ready) {
            let part = self.send_fraction(endpoint);
            all += part;
            ready += 1;
            match self.warm_fraction(endpoint) < 1.0 {
                true => cold += part,
                false => warm += 1,
            }
        }
        let draw = fraction(mix(mix(id.0 ^ u64::from(self.incarnation)).wrapping_add(attempt as u64)));
        let drawn =
            draw * all < (WARM_UP_ADMISSION_FACTOR + f64::from(warm) / f64::from(ready.max(1))) * cold;
        drawn.then_some(all / cold)
    }
}
