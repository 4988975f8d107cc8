//! Selects the endpoints that the band counts, with their capacity and their attempts in flight.
//!
//! Attempts at an endpoint that has failed never end, or end late. If the band counted them, the number of
//! attempts in flight would stay high, and requests would wait although the other endpoints have capacity. A
//! short time without a response does not prove a failure: if a slow endpoint were left out at once, it would
//! be sent more and more requests.

/// Stall ratio above which an endpoint's attempts in flight are assumed to be lost.
const LOST_STALL_RATIO: f64 = 2.0;

/// Largest slowness (`KindDeviation::slowness`) of an endpoint that is counted in a large fleet. Slowness is
/// itself measured from 1.6 times the usual response time of the machine kind, so this is 2.56 times the
/// usual time.
const MAX_COUNTED_SLOWNESS: f64 = 1.6;

/// The health of an endpoint as a gateway knows it in both modes, from which it decides whether the band
/// counts the endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CountedEndpointInput {
    /// Whether the endpoint is no longer on the endpoint list.
    pub(crate) is_gone: bool,
    /// Number of consecutive failures of this gateway's own attempts that each led to an ejection.
    pub(crate) consecutive_failures: u32,
    /// Whether the endpoint is ejected or paused because of this gateway's own attempts.
    pub(crate) is_ejected: bool,
    /// Whether the endpoint is ejected for at least one class because of attempts that the fleet observed.
    pub(crate) is_any_class_ejected: bool,
    /// Time without a response while attempts are in flight, in multiples of the time that counts as a stall.
    pub(crate) stall_ratio: f64,
}

impl CountedEndpointInput {
    /// Returns whether the endpoint's attempts in flight are assumed to be lost, by what is known in both
    /// modes. An endpoint for which `is_ejected` is true without consecutive failures still works on its
    /// attempts in flight: it is paused after an overload response, or has given a good response since it was
    /// ejected.
    fn is_lost(&self) -> bool {
        let is_backing_off = self.consecutive_failures > 0 && self.is_ejected;
        self.is_gone || is_backing_off || self.is_any_class_ejected || self.stall_ratio > LOST_STALL_RATIO
    }
}

/// Returns whether the band counts an endpoint: during a correlated failure it counts all of them, otherwise
/// those for which `is_counted` returns true. If more than three quarters of the endpoints are outliers, the
/// cause does not lie with them, and without them the band would have almost no capacity and almost nothing
/// would be sent. `is_counted` is called only if there is no correlated failure.
pub(crate) fn is_counted_or_correlated_failure(
    is_correlated_failure: bool,
    is_counted: impl FnOnce() -> bool,
) -> bool {
    is_correlated_failure || is_counted()
}

/// Returns whether the band counts an endpoint, in broadcast mode.
pub(crate) fn is_counted_in_broadcast_mode(input: &CountedEndpointInput) -> bool {
    !input.is_lost()
}

/// Returns whether the band counts an endpoint, in a large fleet. It leaves out an endpoint from which the
/// fleet receives no good responses and one that is far slower than others of its machine kind. `slowness` is
/// that of the endpoint's `KindDeviation`.
pub(crate) fn is_counted_in_large_fleet(
    input: &CountedEndpointInput,
    is_unresponsive: bool,
    slowness: f64,
) -> bool {
    !input.is_lost() && !is_unresponsive && slowness <= MAX_COUNTED_SLOWNESS
}
