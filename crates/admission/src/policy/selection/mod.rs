//! Endpoint selection: which endpoint an attempt is sent to.
//!
//! In broadcast mode a gateway chooses the endpoint with the lowest cost. In a large fleet it draws an
//! endpoint at random by weight: many gateways that each have few attempts in flight and learn the same would
//! otherwise all choose the same endpoint.
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
