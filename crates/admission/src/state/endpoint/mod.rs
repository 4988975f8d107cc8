//! Endpoints: their list entries, health, response times and warm-up tokens.
mod endpoint_health;
mod endpoint_record;
mod endpoint_table;
mod latency_model;
mod observed_health;
mod outlier_detection_state;
mod recent_observations;
mod relative_response_time;
mod warm_up_tokens;

pub(crate) use endpoint_health::EndpointHealth;
pub(crate) use endpoint_record::{Endpoint, EndpointSmoothing, InFlightAttempt};
pub(crate) use endpoint_table::EndpointTable;
pub(crate) use latency_model::{LatencyFloors, LatencyGains, LatencyModel};
pub(crate) use observed_health::{EjectionScope, ObservedHealth};
pub(crate) use outlier_detection_state::OutlierDetectionState;
pub(crate) use recent_observations::RecentObservations;
pub(crate) use relative_response_time::RelativeResponseTime;
pub(crate) use warm_up_tokens::{WarmSendRates, WarmUpBudget, WarmUpTokens};
