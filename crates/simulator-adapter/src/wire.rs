//! The simulator's wire format: one JSON value per line.
//!
//! [`input`] and [`output`] define the lines; `endpoint_list_messages` and `event_messages` define messages
//! to a gateway. Only these modules map wire names to fields: a field has the name that the rest of the
//! program uses, and its serde attribute has the wire name if that differs. `event` translates messages to
//! events of the admission library, and `action` translates the library's actions to messages.

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
