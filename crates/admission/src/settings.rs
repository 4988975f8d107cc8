//! The settings that a gateway is started with.
use crate::id::{ClassIndex, GatewayIndex, PlanIndex, ZoneIndex};
use std::fmt;

/// Whether another attempt of a request is safe once an earlier one may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Another attempt is safe, because running a request again does no harm.
    Idempotent,
    /// Another attempt is safe at the endpoints of the group. Each request has an idempotency key, and for a
    /// time after the first use of a key these endpoints run no other request with that key.
    IdempotencyKey {
        /// The endpoints that deduplicate together.
        group: DedupGroup,
        /// Time for which the group remembers a key after the key's first use, in milliseconds.
        window_ms: f64,
    },
    /// Another attempt is not safe, because a request must not run twice.
    NonIdempotent,
}

/// The endpoints that share one memory of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupGroup {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// The settings of a request class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// Latency objective, in milliseconds, above 0: the time within which a response has its full value. Like
    /// `deadline_ms` it is counted from the client's first request, as far as a gateway can tell from the
    /// time that the client still waits.
    pub latency_objective_ms: f64,
    /// Time that a client waits for its response, counted from its first request, in milliseconds, above 0.
    pub deadline_ms: f64,
    /// Value of a request, relative to the requests of other classes.
    pub priority_weight: f64,
    /// Whether another attempt of a request is safe once an earlier one may have run.
    pub idempotency: Idempotency,
}

/// A plan that customers buy.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanSettings {
    /// Quota: the rate at which a customer's token bucket fills, in units per second; 0 means no quota.
    pub rate_per_second: f64,
    /// Capacity of the quota's token bucket, in units. The bucket starts full.
    pub burst_units: f64,
    /// Concurrency limit: the number of slots that a customer has; 0 means no limit. An attempt takes a slot
    /// while it is in flight. If the owner of the customer's quota granted the request, the request takes one
    /// slot from the grant until it ends instead, however many attempts it has.
    ///
    /// In broadcast mode the limit holds over all gateways, as far as their reports are up to date. In gossip
    /// mode it holds for the requests that the quota owner grants. In the other modes, and in gossip mode for
    /// requests that are decided without the owner, each gateway allows the whole limit.
    pub concurrency_limit: u32,
    /// Factor on the value of a customer's requests.
    pub plan_weight: f64,
    /// Fraction of its value that a request keeps if it is over the quota.
    pub over_quota_value: f64,
    /// Cost of a request over the quota, as a fraction of the request's value.
    pub over_quota_cost: f64,
    /// Hard ceiling: a second rate limit, which holds also for requests that may exceed the quota. This is
    /// the rate at which the ceiling's token bucket fills, in units per second; 0 means no ceiling.
    pub ceiling_rate_per_second: f64,
    /// Capacity of the hard ceiling's token bucket, in units.
    pub ceiling_burst_units: f64,
}

impl PlanSettings {
    /// Returns the time in which the quota's token bucket gains `units`, in milliseconds; `None` if it never
    /// does.
    pub(crate) fn refill_time_ms(&self, units: f64) -> Option<f64> {
        let time_ms = 1000.0 * units.max(0.0) / self.rate_per_second;
        time_ms.is_finite().then_some(time_ms)
    }

    /// Checks that the plan's values are in range.
    fn check(&self) -> Result<(), SettingsError> {
        SettingRange::NonNegative.require("rate_per_second", self.rate_per_second)?;
        SettingRange::NonNegative.require("burst_units", self.burst_units)?;
        SettingRange::NonNegative.require("over_quota_value", self.over_quota_value)?;
        SettingRange::NonNegative.require("over_quota_cost", self.over_quota_cost)?;
        SettingRange::NonNegative.require("plan_weight", self.plan_weight)?;
        SettingRange::NonNegative.require("ceiling_rate_per_second", self.ceiling_rate_per_second)?;
        SettingRange::NonNegative.require("ceiling_burst_units", self.ceiling_burst_units)
    }
}

/// The settings that a gateway is started with, from the `settings` object of its configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// This gateway's number in the fleet, from 0.
    pub this_gateway: GatewayIndex,
    /// Number of gateways in the fleet.
    pub gateways: usize,
    /// The tick: the shortest step of the clock by which the host dates events, in milliseconds.
    pub tick_ms: f64,
    /// This gateway's zone.
    pub zone: ZoneIndex,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The plans.
    pub plans: Vec<PlanSettings>,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancel_allowed: bool,
    /// Whether gateways may send each other messages.
    pub peer_messages_allowed: bool,
    /// Whether gateways may call the quota counter.
    pub counter_allowed: bool,
    /// Messages per second that a gateway accepts from its peers.
    pub peer_messages_per_second: f64,
    /// Longest `Retry-After` that clients honour, in milliseconds; 0 if they honour none.
    pub max_retry_after_ms: f64,
    /// Maximum number of customers with a record, which bounds memory; 50,000 if it is `None`.
    pub max_customers: Option<usize>,
    /// Maximum units that one request consumes.
    pub max_units: f64,
    /// Fraction of its full capacity that an endpoint has at least when its process starts, from 0 to 1.
    pub cold_start_fraction: f64,
    /// Longest time from the start of an endpoint's process until the endpoint has its full capacity, in
    /// milliseconds.
    pub warm_up_ms: f64,
    /// Multiple of its present capacity at which an endpoint that is warming up is overloaded. It fails if it
    /// is sent that much throughout `overload_window_ms`.
    pub overload_multiple: f64,
    /// Time for which such an overload lasts before the endpoint fails, in milliseconds.
    pub overload_window_ms: f64,
}

impl Settings {
    /// Returns the settings of a class. `class` must be an index into the settings; a gateway checks that for
    /// each request.
    pub(crate) fn class(&self, class: ClassIndex) -> &ClassSettings {
        &self.classes[class.0]
    }

    /// Returns the settings of a plan. `plan` must be an index into the settings; a gateway checks that for
    /// each request.
    pub(crate) fn plan(&self, plan: PlanIndex) -> &PlanSettings {
        &self.plans[plan.0]
    }

    /// Returns the shortest latency objective of all classes, in milliseconds.
    pub(crate) fn shortest_objective_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.latency_objective_ms).fold(f64::INFINITY, f64::min)
    }

    /// Returns the longest latency objective of all classes, in milliseconds.
    pub(crate) fn longest_objective_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.latency_objective_ms).fold(0.0, f64::max)
    }

    /// Returns the lowest priority weight of all classes.
    pub(crate) fn lowest_priority_weight(&self) -> f64 {
        self.classes.iter().map(|class| class.priority_weight).fold(f64::INFINITY, f64::min)
    }

    /// Checks that no setting is missing or out of range.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is missing or out of range. If several are, the error is about the first
    /// one that is checked.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlans);
        }
        let (number, gateways) = (self.this_gateway.0, self.gateways);
        if number >= gateways {
            return Err(SettingsError::NotAmongGateways { number, gateways });
        }
        self.classes.iter().try_for_each(ClassSettings::check)?;
        self.plans.iter().try_for_each(PlanSettings::check)?;
        self.check_fleet()?;
        self.check_warm_up()
    }

    /// Checks the values that concern events, peer messages and clients.
    fn check_fleet(&self) -> Result<(), SettingsError> {
        SettingRange::NonNegative.require("tick_ms", self.tick_ms)?;
        SettingRange::NonNegative.require("peer_messages_per_second", self.peer_messages_per_second)?;
        SettingRange::NonNegative.require("max_retry_after_ms", self.max_retry_after_ms)?;
        SettingRange::NonNegative.require("max_units", self.max_units)
    }

    /// Checks the values that concern endpoints that are warming up.
    fn check_warm_up(&self) -> Result<(), SettingsError> {
        SettingRange::Fraction.require("cold_start_fraction", self.cold_start_fraction)?;
        SettingRange::NonNegative.require("warm_up_ms", self.warm_up_ms)?;
        SettingRange::NonNegative.require("overload_multiple", self.overload_multiple)?;
        SettingRange::NonNegative.require("overload_window_ms", self.overload_window_ms)
    }
}

impl ClassSettings {
    /// Checks that the class's values are in range.
    fn check(&self) -> Result<(), SettingsError> {
        SettingRange::Positive.require("latency_objective_ms", self.latency_objective_ms)?;
        SettingRange::Positive.require("deadline_ms", self.deadline_ms)?;
        SettingRange::NonNegative.require("priority_weight", self.priority_weight)?;
        match self.idempotency {
            Idempotency::IdempotencyKey { window_ms, .. } => {
                SettingRange::NonNegative.require("window_ms", window_ms)
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => Ok(()),
        }
    }
}

/// The range in which the value of a setting must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingRange {
    /// A finite number of at least 0.
    NonNegative,
    /// A finite number above 0.
    Positive,
    /// A number from 0 to 1.
    Fraction,
}

impl SettingRange {
    /// Returns whether a value is in the range.
    fn contains(self, value: f64) -> bool {
        match self {
            Self::NonNegative => value.is_finite() && value >= 0.0,
            Self::Positive => value.is_finite() && value > 0.0,
            Self::Fraction => (0.0..=1.0).contains(&value),
        }
    }

    /// Returns an error about the named setting, unless its value is in the range.
    fn require(self, name: &'static str, value: f64) -> Result<(), SettingsError> {
        if self.contains(value) {
            Ok(())
        } else {
            Err(SettingsError::OutOfRange { name, value, range: self })
        }
    }
}

impl fmt::Display for SettingRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NonNegative => "a finite number of at least 0",
            Self::Positive => "a finite number above 0",
            Self::Fraction => "a number from 0 to 1",
        })
    }
}

/// The reason why a gateway cannot use its settings.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The settings have no request class.
    #[error("settings have no request class")]
    NoClasses,
    /// The settings have no plan.
    #[error("settings have no plan")]
    NoPlans,
    /// `this_gateway` is not below the number of gateways.
    #[error("this gateway's number is {number}, expected a number below {gateways}, the number of gateways")]
    NotAmongGateways {
        /// This gateway's number.
        number: usize,
        /// The number of gateways in the fleet.
        gateways: usize,
    },
    /// The value of a setting is not in its range.
    #[error("{name} is {value}, expected {range}")]
    OutOfRange {
        /// The name of the setting's field.
        name: &'static str,
        /// The value found.
        value: f64,
        /// The range in which the value must be.
        range: SettingRange,
    },
}
