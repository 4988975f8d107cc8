//! Tests of the translation between wire messages and the admission library's events and actions.

mod events;
mod ids;
mod output;
