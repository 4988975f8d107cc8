//! The observation of an endpoint that the end of an attempt yields for the other gateways, and the maximum
//! number of observations in a message.
use crate::event::Outcome;
use crate::id::{ClassIndex, PlanIndex};
use crate::messages::observation_code::{ObservationKind, ResponseTimeCode};

/// Maximum number of this gateway's observations that are retained, and that a message carries.
pub(crate) const MAX_OBSERVATIONS: usize = 3;

/// Time constant with which the rate of observed responses is smoothed, in seconds.
pub(crate) const OBSERVATION_TIME_CONSTANT_S: f64 = 3.0;

/// Returns what the end of one of this gateway's attempts shows about its endpoint, or `None` if it shows
/// nothing. `objective_fraction` is the time that the attempt took, as a fraction of the latency objective.
pub(crate) fn observation_of_attempt(
    outcome: Outcome,
    class: ClassIndex,
    plan: PlanIndex,
    objective_fraction: f64,
) -> Option<ObservationKind> {
    match outcome {
        Outcome::Ok => {
            let response_time = ResponseTimeCode::from_objective_fraction(objective_fraction);
            Some(ObservationKind::Responded { class, response_time })
        }
        Outcome::Overloaded => Some(ObservationKind::Overloaded { plan }),
        // A time-out is a failure and not a slow response: it shows a fault of this endpoint, not how slow
        // the endpoints are on the whole.
        Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
            Some(ObservationKind::Failed { class })
        }
        Outcome::Cancelled | Outcome::NotSent => None,
    }
}
