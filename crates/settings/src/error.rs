//! Why a settings object cannot be used.

use crate::names::UnknownName;

/// A settings object that has the right form but cannot be used.
///
/// The message is the line that an operator sees. It names the key and, where it is a class's, the class.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsDocumentError {
    /// A figure that real sockets need is absent, zero, negative or not finite.
    #[error("{key} in the settings is not a positive number")]
    InvalidFigure {
        /// The key as written in the document.
        key: &'static str,
    },
    /// `discovery` is neither `pushed` nor `on_request`.
    #[error("unknown discovery: {}", .value.as_deref().unwrap_or("none"))]
    UnknownDiscoveryMode {
        /// The value as written, where there is one.
        value: Option<String>,
    },
    /// The gateway's own zone is not among `zones`.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// `repeat` of a class is none of `repeatable`, `once` and `by_key`.
    #[error("class {class}: unknown repeat: {value}")]
    UnknownIdempotency {
        /// The class's name.
        class: String,
        /// The value as written.
        value: String,
    },
    /// `dedupScope` of a `by_key` class is none of `all`, `zone` and `cell`.
    #[error("class {class}: unknown dedupScope: {}", .value.as_deref().unwrap_or("none"))]
    UnknownDedupGroup {
        /// The class's name.
        class: String,
        /// The value as written, where there is one.
        value: Option<String>,
    },
    /// A `by_key` class does not say for how long endpoints remember its keys.
    #[error("class {class} without windowMs")]
    MissingDedupWindow {
        /// The class's name.
        class: String,
    },
}
