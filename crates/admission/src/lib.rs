//! The decisions of the irishinge API gateway: which requests are sent now and to which endpoint, which are
//! queued, and which are rejected.
//!
//! The library does no I/O and reads no clock. The host program passes each [`Event`], with its time, to a
//! [`Gateway`] and executes the [`Action`]s that the gateway returns. The same settings, seed and events
//! produce the same actions.
//!
//! [`Gateway::on_event`] passes each event to the module that handles it and then sends queued requests:
//!
//! - `lifecycle` admits requests, sends attempts, finishes requests, and updates the records of customers and
//!   endpoints.
//! - `policy` makes the decisions and holds the constants that they use, with one file for each decision.
//! - `coordination` shares quotas and load among the gateways: by counts in small fleets, by gossip and quota
//!   requests in large ones. If gateways may not send each other messages, quotas are shared by calls to the
//!   shared counter, or not at all.
//! - `state` holds the records, `messages` encodes and decodes messages between gateways, and `mechanism`
//!   holds well-known algorithms and data structures that take their parameters from the caller.

// Items that other crates cannot see are documented too, except in tests.
#![cfg_attr(not(test), warn(clippy::missing_docs_in_private_items))]

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
    AttemptEnd, CounterOutcome, EndpointEntry, EndpointState, Event, ListUpdateKind, Outcome, Request,
};
pub use gateway::Gateway;
pub use id::{
    ClassIndex, CustomerId, EndpointId, GatewayIndex, MachineKindIndex, PlanIndex, RequestId, ZoneIndex,
};
pub use settings::{
    ClassSettings, DedupGroup, Idempotency, PlanSettings, SettingRange, Settings, SettingsError,
};

/// Compiles and runs the README's example with the tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct ReadmeExample;
