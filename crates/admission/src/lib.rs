//! The decisions of the irishinge API gateway: which requests go on now and to which endpoint, which are
//! queued, and which are rejected.
//!
//! The library does no I/O and reads no clock. The host program feeds [`Event`]s with a time to a [`Gateway`]
//! and carries out the [`Action`]s it answers with.

mod action;
mod coordination;
mod customer_lifecycle;
mod endpoint_records;
mod event;
mod gateway;
mod id;
mod lifecycle;
mod mechanism;
mod messages;
mod policy;
mod settings;
mod state;

pub use action::Action;
pub use event::{
    AttemptEnd, CounterOutcome, EndpointEntry, EndpointState, Event, ListKind, Outcome, Request,
};
pub use gateway::Gateway;
pub use id::{CustomerId, EndpointId, RequestId};
pub use settings::{ClassSettings, DedupGroup, Idempotency, PlanSettings, Settings, SettingsError};

/// The README's example is compiled and run with the tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct ReadmeExample;
