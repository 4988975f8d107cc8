//! The in-flight band's state.
use crate::gateway::Gateway;

/// The in-flight stock band: its watermark, and whether it holds requests back.
#[derive(Debug, Default)]
pub(crate) struct InFlightBand {
    /// Attempts in flight for each ready endpoint at the band's middle.
    pub(crate) watermark: f64,
    /// Queued work could have gone but for the band, now and since the last step of the watermark.
    pub(crate) blocked: bool,
    pub(crate) was_blocked: bool,
    /// The endpoints have much of what the band lets them have.
    pub(crate) saturated: bool,
    pub(crate) stepped_ms: f64,
    /// Ready endpoints as the band counts them, when last looked at.
    pub(crate) ready_capacity: f64,
    /// Sends that this gateway's even part of the band has earned, and when it was last credited.
    pub(crate) dispatch_credit: f64,
    pub(crate) credited_ms: f64,
}

impl Gateway {
    /// The fleet's stock, as gossip has it, in parts of the band's middle.
    pub(crate) fn band_fill(&self, parts: f64) -> f64 {
        self.gossip.received_stock * self.settings.gateways as f64 / (self.band.watermark * parts).max(1.0)
    }
}
