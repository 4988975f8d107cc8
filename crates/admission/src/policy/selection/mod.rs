//! Endpoint selection: which endpoint an attempt is sent to.
//!
//! In broadcast mode a gateway takes the endpoint of least cost. In a large fleet it draws by weight, because
//! gateways that each have little in flight and learn the same would otherwise all choose one endpoint.
mod attempt_cost;
pub(crate) mod fitness;
mod least_cost;
pub(crate) mod local_zone;
mod weighted_draw;

pub(crate) use attempt_cost::{
    cost_in_broadcast_mode, cost_in_large_fleet, mean_in_flight, BroadcastCostInput, LargeFleetCostInput,
    WarmUpAllowance,
};
pub(crate) use fitness::{
    fitness_in_large_fleet, is_unfit_in_broadcast_mode, BroadcastFitnessInput, LargeFleetFitnessInput,
};
pub(crate) use least_cost::{least_cost, CostCandidate};
pub(crate) use weighted_draw::{weighted_draw, DrawCandidate, DrawContext};
