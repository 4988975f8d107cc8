//! The wire's messages against the library's terms, message by message.

mod events;
mod ids;
mod output;
