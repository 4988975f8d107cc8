//! Which endpoints' work the band counts.
//!
//! Attempts at an endpoint that has failed never end, or end late. If the band counted them, the stock would
//! stay high and requests would wait although the other endpoints have capacity. A short silence is no
//! proof: if its work were left out at once, a slow endpoint would be sent ever more.

/// Stall ratio from which an endpoint's work is taken for lost.
const LOST_STALL_RATIO: f64 = 2.0;

/// Largest response time of an endpoint whose work a large fleet counts, over the response time from which
/// endpoints of its kind are clearly slow.
const MAX_COUNTED_SLOWNESS: f64 = 1.6;

/// What is known of an endpoint's health, in both modes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HealthSignals {
    /// It is no longer listed.
    pub(crate) is_gone: bool,
    /// Own attempts in a row that failed.
    pub(crate) consecutive_failures: u32,
    /// It is ejected by own attempts.
    pub(crate) is_ejected: bool,
    /// It is ejected for some class by what the fleet observed.
    pub(crate) is_any_class_ejected: bool,
    /// Time without any response while attempts are in flight, over what counts as a stall.
    pub(crate) stall_ratio: f64,
}

impl HealthSignals {
    /// Whether its work counts as lost by what both modes know. An ejection without failures is a pause
    /// after an overload response: the endpoint still works on what it has.
    fn is_lost(&self) -> bool {
        let is_backing_off = self.consecutive_failures > 0 && self.is_ejected;
        self.is_gone || is_backing_off || self.is_any_class_ejected || self.stall_ratio > LOST_STALL_RATIO
    }
}

/// Whether the band counts an endpoint's work, with regard to correlated failure. While most endpoints look
/// like outliers the cause is not theirs, so that all count: else the band would have almost no capacity and
/// almost nothing would be sent. `is_counted` judges the endpoint alone and is called only otherwise.
pub(crate) fn is_counted_despite_correlated_failure(
    is_correlated_failure: bool,
    is_counted: impl FnOnce() -> bool,
) -> bool {
    is_correlated_failure || is_counted()
}

/// Whether the band counts an endpoint's work, in broadcast mode.
pub(crate) fn is_counted_in_broadcast_mode(symptoms: &HealthSignals) -> bool {
    !symptoms.is_lost()
}

/// Whether the band counts an endpoint's work, in a large fleet: not that of one from which the fleet
/// receives no responses, nor that of one that is far slower than others of its kind. `slowness` is its
/// relative response time over that from which an endpoint of its kind is clearly slow.
pub(crate) fn is_counted_in_large_fleet(
    symptoms: &HealthSignals,
    is_unresponsive: bool,
    slowness: f64,
) -> bool {
    !symptoms.is_lost() && !is_unresponsive && slowness <= MAX_COUNTED_SLOWNESS
}
