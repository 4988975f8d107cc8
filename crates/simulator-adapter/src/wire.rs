//! The simulator's wire: one JSON value a line.
//!
//! [`input`] and [`output`] are the messages as they are written; `endpoint_list_messages` and
//! `event_messages` are those that come in at a gateway. The wire's names are mapped to ours there only:
//! fields have ours, and serde renames carry the wire's. Events and actions of the admission library are made
//! from and to them in `event` and `action`.

mod action;
mod endpoint_list_messages;
mod event;
mod event_messages;
mod ids;
pub(crate) mod input;
pub(crate) mod output;
#[cfg(test)]
mod tests;

pub(crate) use event::TranslationError;
