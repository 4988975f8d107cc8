//! The error for a settings object that cannot be used.

/// The reason why a settings object cannot be used although it could be parsed.
///
/// Operators see the message. It names the key with its value and, if the key belongs to a request class,
/// that class.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsDocumentError {
    /// The value of a key that only the deployed gateway reads is negative.
    #[error("{key} is {value}, expected 0 or more")]
    Negative {
        /// The key as written in the document.
        key: &'static str,
        /// The value as read.
        value: String,
    },
    /// The value of a key that only the deployed gateway reads is absent, zero, negative or not finite.
    #[error("{key} is {}, expected a number above 0", .value.as_deref().unwrap_or("missing"))]
    NotPositive {
        /// The key as written in the document.
        key: &'static str,
        /// The value as read, or `None` if the key is absent or null.
        value: Option<String>,
    },
    /// `discovery` is neither `pushed` nor `on_request`. The message says `none` if the key is absent.
    #[error("discovery is {}, expected pushed or on_request", .value.as_deref().unwrap_or("none"))]
    UnknownDiscoveryMode {
        /// The value as written, if there is one.
        value: Option<String>,
    },
    /// The gateway's own `zone` is not among `zones`.
    #[error("zone is {zone}, expected one of zones: {}", .zones.join(", "))]
    UnknownZone {
        /// The zone as written.
        zone: String,
        /// The names in `zones`.
        zones: Vec<String>,
    },
    /// `repeat` of a class is none of `repeatable`, `once` and `by_key`.
    #[error("class {class}: repeat is {value}, expected repeatable, by_key or once")]
    UnknownIdempotency {
        /// The class's name.
        class: String,
        /// The value as written.
        value: String,
    },
    /// `dedupScope` of a `by_key` class is none of `all`, `zone` and `cell`. The message says `none` if the
    /// key is absent.
    #[error(
        "class {class}: dedupScope is {}, expected all, zone or cell",
        .value.as_deref().unwrap_or("none")
    )]
    UnknownDedupGroup {
        /// The class's name.
        class: String,
        /// The value as written, if there is one.
        value: Option<String>,
    },
    /// A `by_key` class has no `windowMs`, the time for which endpoints remember its idempotency keys.
    #[error("class {class}: windowMs is missing, but repeat is by_key")]
    MissingDedupWindow {
        /// The class's name.
        class: String,
    },
}
