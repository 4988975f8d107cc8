//! Shared test support: builders of settings and events, and harnesses that drive gateways through their
//! public interface.
//!
//! Tests take customer ids such as `n + (5 << 40)`: the high bits keep one group of customers apart from
//! the other groups of the test. Indexes such as `step * 17 % 120` spread consecutive requests over the
//! gateways.
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
