//! Tokens for attempts at endpoints that are warming up, and the send rates that determine the token budgets.
use crate::id::MachineKindIndex;
use std::collections::BTreeMap;

/// The rate at which a gateway may send attempts to an endpoint that is warming up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpBudget {
    /// Tokens that are added per second; each attempt takes one.
    pub(crate) tokens_per_second: f64,
    /// Maximum number of tokens that are saved. If it is below 1, tokens accrue up to one more than this, and
    /// then one expires (`available_tokens`).
    pub(crate) max_tokens: f64,
}

/// Tokens for attempts at an endpoint that is warming up, as of their last update.
#[derive(Debug)]
pub(crate) struct WarmUpTokens {
    /// Number of tokens at `updated_ms`.
    tokens: f64,
    /// When the tokens were last updated, in ms.
    updated_ms: f64,
}

impl WarmUpTokens {
    /// Creates a bucket that has `tokens` at `now_ms`.
    pub(crate) fn new(tokens: f64, now_ms: f64) -> Self {
        WarmUpTokens { tokens, updated_ms: now_ms }
    }

    /// Returns the number of tokens at the last update.
    pub(crate) fn tokens_at_update(&self) -> f64 {
        self.tokens
    }

    /// Returns the time since the last update, in ms.
    pub(crate) fn since_update_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.updated_ms
    }

    /// Replaces the number of tokens by that at `now_ms`.
    pub(crate) fn update(&mut self, tokens: f64, now_ms: f64) {
        self.tokens = tokens;
        self.updated_ms = now_ms;
    }
}

/// The rates at which this gateway sends attempts to warm endpoints, which determine the budgets of endpoints
/// that are warming up.
#[derive(Debug, Default)]
pub(crate) struct WarmSendRates {
    /// Rate of this gateway's attempts at a warm endpoint of each machine kind, per second.
    by_kind: BTreeMap<MachineKindIndex, f64>,
}

impl WarmSendRates {
    /// Returns the rate of this gateway's attempts at a warm endpoint of a machine kind, per second; 0 if
    /// none is known.
    pub(crate) fn of_kind(&self, kind: MachineKindIndex) -> f64 {
        self.by_kind.get(&kind).copied().unwrap_or(0.0)
    }

    /// Replaces the known rates by the mean for each machine kind. `rates` has the kind and the rate of each
    /// warm endpoint.
    pub(crate) fn replace(&mut self, rates: impl Iterator<Item = (MachineKindIndex, f64)>) {
        let mut rates_by_kind: BTreeMap<MachineKindIndex, Vec<f64>> = BTreeMap::new();
        for (kind, rate) in rates {
            rates_by_kind.entry(kind).or_default().push(rate);
        }
        let mean = |rates: Vec<f64>| rates.iter().sum::<f64>() / rates.len() as f64;
        self.by_kind = rates_by_kind.into_iter().map(|(kind, rates)| (kind, mean(rates))).collect();
    }
}
