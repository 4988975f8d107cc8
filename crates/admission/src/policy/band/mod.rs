//! The in-flight band: how many attempts the fleet may have in flight, and whether one more may be sent.
//!
//! The band lies around the watermark, in attempts in flight per ready endpoint. In broadcast mode gateways
//! sum up the stock that all of them report, and compare it with the band's bounds. In a large fleet gossip
//! brings the stock late, so that each gateway earns dispatch credit for its even quota of the band.
pub(crate) mod band_bounds;
pub(crate) mod counted_endpoints;
pub(crate) mod dispatch_credit;
pub(crate) mod watermark;
