//! Which endpoint an attempt is sent to.
use crate::event::EndpointState;
use crate::gateway::Gateway;
use crate::id::{EndpointId, RequestId};
use crate::policy::outlier_detection::MIN_HEALTHY_FRACTION;
use crate::policy::slow_start::{WARM_UP_BUDGET_FRACTION, WARM_UP_WEIGHT};
use crate::settings::Idempotency;
use crate::state::endpoint::EjectionScope;
use std::collections::BTreeMap;

/// Most that a wide fleet's gateway sends within its zone: the rest shows it how others do. It comes to one
/// of 60 endpoints too seldom to find its connection still active; of its zone's it finds most.
pub(crate) const MAX_LOCAL_FRACTION: f64 = 0.9;

/// A endpoint of the other zone must be better by this factor to be chosen.
pub(crate) const REMOTE_ZONE_COST: f64 = 1.1;

/// A silent endpoint gets so small a part of what it would get, to be tried out by some gateway now and then.
pub(crate) const PROBE_DIVISOR: f64 = 20.0;

/// Slowness against its kind from which a endpoint gets less: all gateways hear the same, and small
/// differences would send them all to the same few.
pub(crate) const CLEARLY_SLOW: f64 = 1.6;

/// Span over which a endpoint's send rate is smoothed.
pub(crate) const SEND_RATE_SPAN_S: f64 = 3.0;

impl Gateway {
    /// The endpoint expected to finish first, by attempts out over learned speed. In a wide fleet it is drawn
    /// by seeded chance, the likelier the cheaper: gateways that have little out each and hear the same would
    /// else all choose the same one, and all gateways together would pass a cold endpoint's budget in step.
    pub(crate) fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointId> {
        let wide = !self.coordination.is_broadcast();
        let draw = if wide { self.random.next_fraction() } else { 0.0 };
        if self.endpoints.list_expired {
            return None;
        }
        let active = self.requests.active.get(&id)?;
        let (class, plan) =
            (EjectionScope::Class(active.request.class), EjectionScope::Plan(active.request.plan));
        let once = self.settings.classes[active.request.class].idempotency != Idempotency::Idempotent;
        let mut found: Vec<(f64, EndpointId, bool)> = Vec::new();
        // What endpoints can take, by zone.
        let mut zones: BTreeMap<usize, f64> = BTreeMap::new();
        let warm_out = if wide { self.mean_warm_in_flight() } else { 0.0 };
        let cold_odds = if wide { self.warm_up_odds(id, active.attempts.len()) } else { None };
        for (endpoint_id, endpoint) in &self.endpoints.by_id {
            let warm = self.warm_fraction(endpoint);
            if endpoint.state != EndpointState::Ready || !self.may_attempt(active, endpoint) {
                continue;
            }
            let marked = |what| endpoint.scoped_ejections.get(&what).is_some_and(|m| self.clock.now_ms < m.0);
            let probing = !wide && endpoint.consecutive_failures > 0 && !endpoint.in_flight.is_empty();
            // Only what may be repeated tries out a endpoint that leaves others without an answer.
            let silent =
                wide && if once { endpoint.missed_responses > 0 } else { self.is_unresponsive(endpoint) };
            let ill = self.is_outlier(endpoint) || probing || marked(class) || marked(plan) || silent && once;
            // That little is out at a cold endpoint is no reason to send it more than its part.
            let out = if warm < 1.0 { warm_out } else { 0.0 }.max(endpoint.in_flight.len() as f64) + 1.0;
            let mut cost = out / warm;
            cost *= if active.attempts.iter().any(|a| a.endpoint == *endpoint_id) { 4.0 } else { 1.0 };
            if wide {
                let (base, off) = self.kind_deviation(endpoint);
                cost *= out * base * off * off / if warm < 1.0 { WARM_UP_WEIGHT } else { 1.0 };
                cost *= if silent { PROBE_DIVISOR } else { 1.0 };
                let takes = if ill || silent { 0.0 } else { self.send_fraction(endpoint) };
                *zones.entry(endpoint.zone).or_insert(0.0) += takes;
            } else {
                cost *= if endpoint.zone == self.settings.zone { 1.0 } else { REMOTE_ZONE_COST };
                cost *= endpoint.relative_response_time_now(self.clock.now_ms);
            }
            if let Some(budget) = self.warm_up_budget(endpoint).filter(|_| !wide) {
                if endpoint.warm_up_tokens_now(self.clock.now_ms, budget) < 1.0 {
                    continue;
                }
                // The seldomer there is a token, the likelier it is used.
                cost *= (WARM_UP_BUDGET_FRACTION * budget.most).min(1.0);
            }
            match cold_odds {
                Some(odds) if wide && warm < 1.0 => cost /= odds,
                None if wide && warm < 1.0 => continue,
                _ => {}
            }
            found.push((cost, *endpoint_id, ill));
        }
        // When most look ill the cause is shared, and none is left out.
        let well = found.iter().filter(|f| !f.2).count() as f64;
        if !(self.outliers.correlated_failure || wide && well < MIN_HEALTHY_FRACTION * found.len() as f64) {
            found.retain(|f| !f.2);
        }
        if !wide {
            return found.iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|f| f.1);
        }
        // The own zone's endpoints get as much as they can take beside what the other zones' take from
        // theirs.
        let home = |endpoint_id: &EndpointId| {
            self.endpoints.by_id.get(endpoint_id).is_some_and(|s| s.zone == self.settings.zone)
        };
        let (inside, outside) = found.iter().fold((0.0, 0.0), |(inside, outside), f| match home(&f.1) {
            true => (inside + 1.0 / f.0, outside),
            false => (inside, outside + 1.0 / f.0),
        });
        let takes = zones.get(&self.settings.zone).copied().unwrap_or(0.0);
        let even = zones.values().sum::<f64>() / zones.len().max(1) as f64;
        let stays =
            (MAX_LOCAL_FRACTION * takes / even.max(1e-9)).clamp(1.0 / PROBE_DIVISOR, MAX_LOCAL_FRACTION);
        let both = inside > 0.0 && outside > 0.0;
        let abroad = if both { (1.0 - stays) / outside } else { 1.0 };
        let weight = |f: &(f64, EndpointId, bool)| match home(&f.1) {
            true if both => stays / inside / f.0,
            true => 1.0 / f.0,
            false => abroad / f.0,
        };
        let mut left = draw * found.iter().map(weight).sum::<f64>();
        let drawn = found.iter().find(|f| {
            left -= weight(f);
            left <= 0.0
        });
        drawn.or(found.last()).map(|f| f.1)
    }
}
