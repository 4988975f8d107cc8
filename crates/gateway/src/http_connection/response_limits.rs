//! The limits that a response must keep to arrive within.
use std::time::Duration;

/// How long a response may take to be complete, counted from the arrival of its first byte. Endpoints write a
/// whole response at once, so a response that is incomplete after this time will never be completed. The same
/// limit applies to the lists of discovery and to the responses of the quota counter.
pub(super) const RESPONSE_COMPLETION_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum number of interim (1xx) responses before the final one.
pub(super) const MAX_INTERIM_RESPONSES: u32 = 8;
