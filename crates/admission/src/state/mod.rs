//! Records, each with the methods that keep it consistent.
pub(crate) mod band;
pub(crate) mod customer;
pub(crate) mod endpoint;
pub(crate) mod event_clock;
pub(crate) mod observation;
pub(crate) mod peer;
pub(crate) mod request;
