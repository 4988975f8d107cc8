//! The settings object that both the gateway and the simulator adapter read.
//!
//! The simulator sends it as `conf` of its first message; a deployed gateway finds it as `settings` in the
//! file that `LB_CONFIG` names. [`SettingsDocument`] is that object as it is written,
//! [`SettingsDocument::translate`] turns it into the admission library's settings, and
//! [`SettingsDocument::deployment_settings`] returns what only the deployed gateway needs. Unknown keys are
//! ignored.

// Items that other crates cannot see are documented too, except in tests.
#![cfg_attr(not(test), warn(clippy::missing_docs_in_private_items))]

mod deployment_settings;
mod document;
mod error;
mod names;
mod translate;

pub use deployment_settings::{DeploymentSettings, DiscoveryMode};
pub use document::SettingsDocument;
pub use error::SettingsDocumentError;
pub use names::{NameKind, Names, UnknownName};
pub use translate::TranslatedSettings;
