//! What the tests share: builders of settings and events, and the harnesses that drive gateways through their
//! public interface.
mod builders;
mod event_queue;
mod fleet;
mod fleet_counter;
mod single_gateway;

pub(crate) use builders::*;
pub(crate) use event_queue::EventQueue;
pub(crate) use fleet::{counter_fleet, counter_fleet_with_seed, gossip_fleet, Fleet, FleetAttempt, CUSTOMER};
pub(crate) use fleet_counter::CounterBehaviour;
pub(crate) use single_gateway::{SingleGateway, Submitted, SEED};
