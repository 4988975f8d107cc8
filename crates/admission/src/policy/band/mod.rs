//! The in-flight band: how many attempts the fleet may have in flight, and whether one more may be sent.
//!
//! The band's middle is the watermark, a number of attempts in flight per ready endpoint, times the number of
//! ready endpoints. In broadcast mode every gateway adds up the attempts in flight that all gateways report,
//! and compares the sum with the band's bounds. In a large fleet a gateway learns them late or has to assume
//! them, so each gateway earns dispatch credit for its equal share of the band instead.
pub(crate) mod band_bounds;
pub(crate) mod counted_endpoints;
pub(crate) mod dispatch_credit;
pub(crate) mod watermark;
