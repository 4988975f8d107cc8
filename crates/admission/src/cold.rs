//! Part of the decision policy: what a cold server may be sent. Guards rule 4, which counts what all gateways send.
use crate::interface::{RequestId, ServerState};
use crate::state::{mix, ColdBudget, Gateway, Server};

/// Part of the cold budget used: work sizes vary, and servers of a kind differ in speed.
pub(crate) const COLD_PART: f64 = 0.6;
/// Part of what warm servers of the kind get that they are sure to be able to do.
pub(crate) const ALIKE_PART: f64 = 0.7;
/// Part of a window whose tokens may be saved up, so that any window stays inside the budget.
pub(crate) const SAVED_PART: f64 = 0.5;

/// In a wide fleet servers are drawn by odds: this part of what a cold one can do at least counts for it. Of all
/// requests so many times the part that cold servers then have may go to one, and as often again as there are warm
/// servers among all: those take most.
pub(crate) const COLD_ODDS: f64 = 0.5;
pub(crate) const COLD_MOST: f64 = 1.2;

impl Gateway {
    /// What this gateway may send a cold server; `None`: it is warm. Of the budget of all gateways it takes one part
    /// in `gateways`, or what it sends to a warm server of the kind where that is more. The sum of both would still
    /// be no more than a warm server's work: the more it has of that, the longer answers take. What is out tells so
    /// before the answers do.
    pub(crate) fn cold_budget(&self, server: &Server) -> Option<ColdBudget> {
        let warm = Some(self.warm_part(server)).filter(|w| *w < 1.0)?;
        let alike = ALIKE_PART * self.alike.get(&server.kind).copied().unwrap_or(0.0);
        let own = 1000.0 / self.usual_ms().max(self.typical_age_ms) / self.settings.gateways as f64;
        let lasts_s = SAVED_PART * self.settings.fall_window_ms / 1000.0;
        let rate = COLD_PART * self.settings.fall_multiple * warm * alike.max(own);
        Some(ColdBudget { rate, most: rate * lasts_s })
    }

    /// Whether a request of a wide fleet may go to a cold server, and how much the likelier then. Of all requests it is
    /// little more than the part that cold ones are sure to be able to do, however ill or busy the warm ones are: what
    /// these can't take would push the cold ones over. Each request is drawn once, so that it does not come by waiting.
    pub(crate) fn cold_odds(&self, id: RequestId, attempt: usize) -> Option<f64> {
        let (mut all, mut cold, mut warm) = (0.0, 0.0, 0);
        let mut ready = 0;
        for server in self.servers.values().filter(|s| s.state == ServerState::Ready) {
            let part = self.open_part(server);
            all += part;
            ready += 1;
            match self.warm_part(server) < 1.0 {
                true => cold += part,
                false => warm += 1,
            }
        }
        let draw = mix(mix(id.0 ^ u64::from(self.start_number)).wrapping_add(attempt as u64)) >> 11;
        let drawn = draw as f64 / (1u64 << 53) as f64 * all
            < (COLD_MOST + f64::from(warm) / f64::from(ready.max(1))) * cold;
        drawn.then_some(all / cold)
    }
}
