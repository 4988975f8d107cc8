//! Outlier detection: which endpoints are faulty, and for how long they are ejected.
mod class_failure;
mod correlated_failure;
mod ejection;
mod ejection_decision;
mod health_evidence;
mod stall;
mod unresponsive;

pub(crate) use class_failure::{is_class_ejection_due, CLASS_FAILURE_GAIN};
pub(crate) use correlated_failure::is_correlated_failure;
pub(crate) use ejection::{ejection_jitter, is_outlier, OutlierInput, EJECTION, SCOPED_EJECTION};
pub(crate) use ejection_decision::{
    decide_ejection_in_broadcast_mode, decide_ejection_in_large_fleet, EjectionDecision, EjectionInput,
    ERROR_GAIN,
};
pub(crate) use health_evidence::{health_evidence, HealthEvidence};
pub(crate) use stall::{stall_ratio, typical_attempt_age_ms, usual_response_ms, StallInput};
pub(crate) use unresponsive::{is_unresponsive, UnresponsiveInput};
