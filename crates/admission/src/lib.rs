//! The decisions of the irishinge API gateway: which requests are sent now and to which endpoint, which are
//! queued, and which are rejected.
//!
//! The library does no I/O and reads no clock. The host program gives a [`Gateway`] one [`Event`] after the
//! other, each with its time, and carries out the [`Action`]s that it answers with. The same settings, seed
//! and events bring the same actions.
//!
//! [`Gateway::on_event`] passes each event to the part that it concerns and then sends queued requests:
//!
//! - `lifecycle` takes requests in, sends attempts, closes what has ended, and has the records of customers
//!   and endpoints follow.
//! - `policy` decides, and holds every figure that a decision goes by; one file for each decision.
//! - `coordination` exchanges what gateways know of the fleet: counts in small fleets, gossip in large ones,
//!   calls to the shared counter where gateways may not send each other messages.
//! - `state` holds the records, `messages` their form on the wire, and `mechanism` known structures that take
//!   their figures as parameters.

mod action;
mod coordination;
mod event;
mod event_handling;
mod gateway;
mod id;
mod lifecycle;
mod mechanism;
mod messages;
mod policy;
mod settings;
mod startup;
mod state;
#[cfg(test)]
mod tests;

pub use action::Action;
pub use event::{
    AttemptEnd, CounterOutcome, EndpointEntry, EndpointState, Event, ListKind, Outcome, Request,
};
pub use gateway::Gateway;
pub use id::{
    ClassIndex, CustomerId, EndpointId, GatewayIndex, MachineKindIndex, PlanIndex, RequestId, ZoneIndex,
};
pub use settings::{ClassSettings, DedupGroup, Idempotency, PlanSettings, Settings, SettingsError};

/// The README's example is compiled and run with the tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct ReadmeExample;
