//! The settings object that both the gateway and the simulator adapter read.
//!
//! The simulator sends it as `conf` of its first message; a deployed gateway finds it as `settings` in the
//! file that `LB_CONFIG` names. [`SettingsDocument`] is that object as it is written,
//! [`SettingsDocument::translate`] turns it into the admission library's settings, and
//! [`SettingsDocument::socket_settings`] returns what only the deployed gateway needs. Unknown keys are
//! ignored.

// Items that other crates cannot see are documented too, except in tests.
#![cfg_attr(not(test), warn(clippy::missing_docs_in_private_items))]

mod document;
mod error;
mod names;
mod socket_settings;
mod translate;

pub use document::SettingsDocument;
pub use error::SettingsDocumentError;
pub use names::{NameKind, Names, UnknownName};
pub use socket_settings::{DiscoveryMode, SocketSettings};
pub use translate::TranslatedSettings;
