//! Records of endpoints that are warming up.
use crate::id::MachineKindIndex;
use std::collections::BTreeMap;

/// What a gateway may send an endpoint that is warming up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpBudget {
    /// Tokens a second; each attempt takes one.
    pub(crate) tokens_per_second: f64,
    /// Tokens that may be saved up.
    pub(crate) max_tokens: f64,
}

/// Tokens for attempts at an endpoint that is warming up. The budget is given with each call, since it grows
/// as the endpoint warms up.
#[derive(Debug)]
pub(crate) struct WarmUpTokens {
    tokens: f64,
    updated_ms: f64,
}

impl WarmUpTokens {
    /// Starts with `tokens` at `now_ms`.
    pub(crate) fn new(tokens: f64, now_ms: f64) -> Self {
        WarmUpTokens { tokens, updated_ms: now_ms }
    }

    /// Tokens at `now_ms`. Where less than one may be saved up, a whole one comes now and then, at a time of
    /// the gateway's own, and is lost after so long that the fleet's gateways hold no more at once than one
    /// gateway in their place would: were it kept, each would have one ready when a burst comes.
    pub(crate) fn available(&self, now_ms: f64, budget: WarmUpBudget) -> f64 {
        let tokens = self.tokens + budget.tokens_per_second * (now_ms - self.updated_ms) / 1000.0;
        if budget.max_tokens >= 1.0 {
            return tokens.min(budget.max_tokens);
        }
        tokens - (tokens - budget.max_tokens).floor().max(0.0)
    }

    /// Brings the tokens up to `now_ms`.
    pub(crate) fn refill(&mut self, now_ms: f64, budget: WarmUpBudget) {
        self.tokens = self.available(now_ms, budget);
        self.updated_ms = now_ms;
    }

    /// Takes one token.
    pub(crate) fn take(&mut self, now_ms: f64, budget: WarmUpBudget) {
        self.refill(now_ms, budget);
        self.tokens -= 1.0;
    }
}

/// What warm endpoints are sent, as the measure for those that are warming up.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    /// Own attempts a second at a warm endpoint, by machine kind.
    send_rate_by_kind: BTreeMap<MachineKindIndex, f64>,
}

impl SlowStart {
    /// Own attempts a second at a warm endpoint of a kind; 0 where none is known.
    pub(crate) fn warm_send_rate(&self, kind: MachineKindIndex) -> f64 {
        self.send_rate_by_kind.get(&kind).copied().unwrap_or(0.0)
    }

    /// Takes the send rates of the warm endpoints, each with its kind, in place of those known.
    pub(crate) fn set_warm_send_rates(&mut self, rates: impl Iterator<Item = (MachineKindIndex, f64)>) {
        let mut rates_by_kind: BTreeMap<MachineKindIndex, Vec<f64>> = BTreeMap::new();
        for (kind, rate) in rates {
            rates_by_kind.entry(kind).or_default().push(rate);
        }
        let mean = |rates: Vec<f64>| rates.iter().sum::<f64>() / rates.len() as f64;
        self.send_rate_by_kind = rates_by_kind.into_iter().map(|(kind, rates)| (kind, mean(rates))).collect();
    }
}
