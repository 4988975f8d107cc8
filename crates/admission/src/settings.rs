//! The settings a gateway is started with.
use crate::id::{ClassIndex, GatewayIndex, PlanIndex, ZoneIndex};

/// What a class allows once an attempt of a request may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// It has an idempotency key: endpoints of the group do not run a key again for a time after its first
    /// use.
    IdempotencyKey {
        /// The endpoints that deduplicate together.
        group: DedupGroup,
        /// How long they remember a key after its first use, in milliseconds.
        window_ms: f64,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// The endpoints that share their memory of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupGroup {
    /// All endpoints.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// Latency objective: a response within this time has its full value. In milliseconds, above 0.
    pub latency_objective_ms: f64,
    /// How long a client waits for its response from its first request on, in milliseconds, above 0.
    pub deadline_ms: f64,
    /// Value of a request against that of other classes.
    pub priority_weight: f64,
    /// What a retry may do once an attempt may have run.
    pub idempotency: Idempotency,
}

/// A plan that customers buy.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanSettings {
    /// Quota: units per second at which a customer's token bucket fills; 0: no quota.
    pub rate_per_second: f64,
    /// Units that the bucket holds at most; it starts full.
    pub burst_units: f64,
    /// Attempts that a customer may have in flight over all gateways; 0: no such limit.
    pub concurrency_limit: u32,
    /// Factor on the value of a customer's requests.
    pub plan_weight: f64,
    /// Fraction of its value that a request over the quota has.
    pub over_quota_value: f64,
    /// Fraction of its value that a request over the quota costs.
    pub over_quota_cost: f64,
    /// Hard ceiling: units per second at which its bucket fills; 0: no ceiling.
    pub ceiling_rate_per_second: f64,
    /// Units that the ceiling's bucket holds at most.
    pub ceiling_burst_units: f64,
}

impl PlanSettings {
    /// The time in which the quota's token bucket gains so many units; `None` where it never does.
    pub(crate) fn refill_time_ms(&self, units: f64) -> Option<f64> {
        let time_ms = 1000.0 * units.max(0.0) / self.rate_per_second;
        time_ms.is_finite().then_some(time_ms)
    }

    /// Checks a plan's figures.
    fn check(&self) -> Result<(), SettingsError> {
        require("rate_per_second", is_amount(self.rate_per_second) && is_amount(self.burst_units))?;
        require(
            "over_quota_value",
            is_amount(self.over_quota_value)
                && is_amount(self.over_quota_cost)
                && is_amount(self.plan_weight),
        )?;
        require(
            "ceiling_rate_per_second",
            is_amount(self.ceiling_rate_per_second) && is_amount(self.ceiling_burst_units),
        )
    }
}

/// What a gateway is started with, from the `settings` object of its configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// This gateway's number, from 0.
    pub this_gateway: GatewayIndex,
    /// How many gateways the fleet has.
    pub gateways: usize,
    /// Shortest time between two rounds of events, in milliseconds.
    pub tick_ms: f64,
    /// This gateway's zone.
    pub zone: ZoneIndex,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The plans.
    pub plans: Vec<PlanSettings>,
    /// Attempts that a request may have at most.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight at once.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled.
    pub cancel_allowed: bool,
    /// Peers may be sent messages.
    pub peer_messages_allowed: bool,
    /// The quota counter may be called.
    pub counter_allowed: bool,
    /// Messages a second that a gateway accepts from its peers.
    pub peer_messages_per_second: f64,
    /// Longest `Retry-After` that clients honour, in milliseconds; 0: none.
    pub max_retry_after_ms: f64,
    /// Units that one request counts at most.
    pub max_units: f64,
    /// Fraction of its full capacity that an endpoint has at its start, at least; 0 to 1.
    pub cold_start_fraction: f64,
    /// An endpoint is warm this long after its start at the latest, in milliseconds.
    pub warm_up_ms: f64,
    /// Multiple of its present capacity from which an endpoint that is warming up is overloaded and fails,
    /// where it is sent that much throughout `overload_window_ms`.
    pub overload_multiple: f64,
    /// How long such an overload lasts until the endpoint fails, in milliseconds.
    pub overload_window_ms: f64,
}

impl Settings {
    /// A class of requests. The index must be one of the settings; a gateway checks that for each request.
    pub(crate) fn class(&self, class: ClassIndex) -> &ClassSettings {
        &self.classes[class.0]
    }

    /// A plan. The index must be one of the settings; a gateway checks that for each request.
    pub(crate) fn plan(&self, plan: PlanIndex) -> &PlanSettings {
        &self.plans[plan.0]
    }

    /// The shortest latency objective of all classes, in milliseconds.
    pub(crate) fn shortest_objective_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.latency_objective_ms).fold(f64::INFINITY, f64::min)
    }

    /// The longest latency objective of all classes, in milliseconds.
    pub(crate) fn longest_objective_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.latency_objective_ms).fold(0.0, f64::max)
    }

    /// The lowest priority weight of all classes.
    pub(crate) fn lowest_priority_weight(&self) -> f64 {
        self.classes.iter().map(|class| class.priority_weight).fold(f64::INFINITY, f64::min)
    }

    /// Checks that a gateway can act on every figure.
    ///
    /// # Errors
    ///
    /// Names the first thing that is missing or out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlans);
        }
        if self.this_gateway.0 >= self.gateways {
            return Err(SettingsError::NotAmongGateways);
        }
        self.classes.iter().try_for_each(ClassSettings::check)?;
        self.plans.iter().try_for_each(PlanSettings::check)?;
        self.check_fleet()?;
        self.check_warm_up()
    }

    /// Checks what concerns messages, clients and the endpoint list.
    fn check_fleet(&self) -> Result<(), SettingsError> {
        require("tick_ms", is_amount(self.tick_ms))?;
        require("peer_messages_per_second", is_amount(self.peer_messages_per_second))?;
        require("max_retry_after_ms", is_amount(self.max_retry_after_ms))?;
        require("max_units", is_amount(self.max_units))
    }

    /// Checks what concerns warming endpoints.
    fn check_warm_up(&self) -> Result<(), SettingsError> {
        let fraction = self.cold_start_fraction;
        require("cold_start_fraction", is_amount(fraction) && fraction <= 1.0)?;
        require("warm_up_ms", is_amount(self.warm_up_ms))?;
        require("overload_multiple", is_amount(self.overload_multiple) && is_amount(self.overload_window_ms))
    }
}

impl ClassSettings {
    /// Checks a class's figures.
    fn check(&self) -> Result<(), SettingsError> {
        require(
            "latency_objective_ms",
            is_amount(self.latency_objective_ms) && self.latency_objective_ms > 0.0,
        )?;
        require("deadline_ms", is_amount(self.deadline_ms) && self.deadline_ms > 0.0)?;
        require("priority_weight", is_amount(self.priority_weight))?;
        match self.idempotency {
            Idempotency::IdempotencyKey { window_ms, .. } => require("window_ms", is_amount(window_ms)),
            Idempotency::Idempotent | Idempotency::NonIdempotent => Ok(()),
        }
    }
}

/// Whether a figure is finite and not negative.
fn is_amount(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}

/// Reports the named figure unless it is in range.
fn require(name: &'static str, in_range: bool) -> Result<(), SettingsError> {
    if in_range {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange(name))
    }
}

/// Why a gateway cannot use its settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No request class is given.
    #[error("settings name no request class")]
    NoClasses,
    /// No plan is given.
    #[error("settings name no plan")]
    NoPlans,
    /// `this_gateway` is not below the number of gateways.
    #[error("this gateway's number is not below the number of gateways")]
    NotAmongGateways,
    /// The named figure is negative, not finite, or zero where it must not be.
    #[error("settings hold a figure out of range: {0}")]
    OutOfRange(&'static str),
}
