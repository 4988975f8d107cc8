//! irishinge decides for an admission gateway of a service sold by plan: which requests go on to which
//! endpoint, which wait, and which are refused. It does no I/O and reads no clock: the host program feeds
//! [`Event`]s to a [`Gateway`] and carries out the [`Action`]s it answers with.
#![warn(missing_docs)]

mod cold;
mod counting;
mod health;
pub mod interface;
mod keepers;
mod ledger;
mod peer_text;
pub mod rules;
mod state;

pub use interface::*;
pub use rules::Gateway;

/// The README's example is compiled and run with the tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
pub struct ReadmeExample;
