//! The translation of the settings object to the admission library's settings. Names are replaced by indexes.

use crate::document::{PlanSection, RequestClassSection, SettingsDocument};
use crate::error::SettingsDocumentError;
use crate::names::Names;
use irishinge_admission::{ClassSettings, DedupGroup, GatewayIndex, Idempotency, PlanSettings, Settings};

/// The result of translating a settings object for the admission library.
#[derive(Debug)]
pub struct TranslatedSettings {
    /// The admission library's settings.
    pub settings: Settings,
    /// The names of the classes, plans, zones and machine kinds that the settings refer to by index.
    pub names: Names,
}

impl SettingsDocument {
    /// Translates the document to the admission library's settings.
    ///
    /// Numbers are copied without a check; [`Settings::check`] tells whether they are in range.
    ///
    /// # Errors
    ///
    /// Fails if the gateway's zone or a keyword is unknown, or if a `by_key` class lacks `dedupScope` or
    /// `windowMs`.
    pub fn translate(self) -> Result<TranslatedSettings, SettingsDocumentError> {
        let names = Names {
            classes: self.request_classes.iter().map(|class| class.name.clone()).collect(),
            plans: self.plans.iter().map(|plan| plan.name.clone()).collect(),
            zones: self.zones,
            machine_kinds: self.machine_kinds,
        };
        let zone = names.zone_index(&self.zone).map_err(|unknown| SettingsDocumentError::UnknownZone {
            zone: unknown.name,
            zones: names.zones.clone(),
        })?;
        let classes = self
            .request_classes
            .into_iter()
            .map(RequestClassSection::translate)
            .collect::<Result<Vec<_>, _>>()?;
        let settings = Settings {
            this_gateway: GatewayIndex(self.this_gateway),
            gateways: self.gateways,
            tick_ms: self.tick_ms,
            zone,
            classes,
            plans: self.plans.into_iter().map(PlanSection::translate).collect(),
            max_attempts: self.deployment_limits.max_attempts,
            hedging_allowed: self.deployment_limits.hedging_allowed,
            cancel_allowed: self.deployment_limits.cancel_allowed,
            peer_messages_allowed: self.deployment_limits.peer_messages_allowed,
            counter_allowed: self.service_family.counter_allowed,
            peer_messages_per_second: self.service_family.peer_messages_per_second,
            max_retry_after_ms: self.deployment_limits.max_retry_after_ms,
            // The document has no such limit; the host derives it from its memory.
            max_customers: None,
            max_units: self.service_family.max_units,
            cold_start_fraction: self.endpoint_rules.cold_start_fraction,
            warm_up_ms: self.endpoint_rules.warm_up_ms,
            overload_multiple: self.endpoint_rules.overload_multiple,
            overload_window_ms: self.endpoint_rules.overload_window_ms,
        };
        Ok(TranslatedSettings { settings, names })
    }
}

impl RequestClassSection {
    /// Translates the class to the admission library's settings.
    fn translate(self) -> Result<ClassSettings, SettingsDocumentError> {
        Ok(ClassSettings {
            latency_objective_ms: self.latency_objective_ms,
            deadline_ms: self.deadline_ms,
            priority_weight: self.priority_weight,
            idempotency: self.idempotency()?,
        })
    }

    /// Translates `repeat`, and for `by_key` also `dedupScope` and `windowMs`.
    fn idempotency(&self) -> Result<Idempotency, SettingsDocumentError> {
        match self.idempotency.as_str() {
            "repeatable" => Ok(Idempotency::Idempotent),
            "once" => Ok(Idempotency::NonIdempotent),
            "by_key" => Ok(Idempotency::IdempotencyKey {
                group: self.dedup_group()?,
                window_ms: self
                    .dedup_window_ms
                    .ok_or_else(|| SettingsDocumentError::MissingDedupWindow { class: self.name.clone() })?,
            }),
            other => Err(SettingsDocumentError::UnknownIdempotency {
                class: self.name.clone(),
                value: other.to_owned(),
            }),
        }
    }

    /// Translates `dedupScope`.
    fn dedup_group(&self) -> Result<DedupGroup, SettingsDocumentError> {
        match self.dedup_group.as_deref() {
            Some("all") => Ok(DedupGroup::All),
            Some("zone") => Ok(DedupGroup::Zone),
            Some("cell") => Ok(DedupGroup::Cell),
            other => Err(SettingsDocumentError::UnknownDedupGroup {
                class: self.name.clone(),
                value: other.map(str::to_owned),
            }),
        }
    }
}

impl PlanSection {
    /// Translates the plan to the admission library's settings.
    fn translate(self) -> PlanSettings {
        PlanSettings {
            rate_per_second: self.rate_per_second,
            burst_units: self.burst_units,
            concurrency_limit: self.concurrency_limit,
            plan_weight: self.plan_weight,
            over_quota_value: self.over_quota_value,
            over_quota_cost: self.over_quota_cost,
            ceiling_rate_per_second: self.ceiling_rate_per_second,
            ceiling_burst_units: self.ceiling_burst_units,
        }
    }
}
