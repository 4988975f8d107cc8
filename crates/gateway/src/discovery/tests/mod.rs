//! The tests of discovery, one file for each concern, and their common helpers.
mod endpoint_list;
mod error;
mod fleet_recovery;
mod lease_expiry;
mod list_lease;
mod list_revision;
mod refresh_policy;
mod refresh_schedule;

use super::error::{CallError, DiscoveryError};
use super::list_lease::{LEASE_MARGIN, MAX_PROPAGATION_DELAY};
use super::refresh_policy::RefreshPolicy;
use super::refresh_schedule::RefreshSchedule;
use crate::http_connection::ExchangeError;
use irishinge_settings::{DeploymentSettings, DiscoveryMode};
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// The time for which a list may be used. It is computed here too, so that the tests fail if only the lease's
/// own constant changes.
const LEASE_DURATION: Duration = MAX_PROPAGATION_DELAY.saturating_sub(LEASE_MARGIN);

/// Returns the policy for a discovery mode, with settings that only the drain grace changes.
fn policy(mode: DiscoveryMode, gateways: usize, drain_grace_ms: f64) -> RefreshPolicy {
    let settings = DeploymentSettings {
        idle_connection_timeout_ms: 1000.0,
        connect_timeout_ms: 250.0,
        retry_after_enabled: true,
        counter_timeout_ms: 50.0,
        discovery_mode: mode,
        drain_grace_ms,
    };
    RefreshPolicy::new(&settings, gateways)
}

/// Returns a new schedule for polled lists.
fn schedule_for_polled_lists(gateways: usize, seed: u64, now: Instant) -> RefreshSchedule {
    RefreshSchedule::new(policy(DiscoveryMode::Polled, gateways, 2000.0), seed, now)
}

/// Returns the error of an attempt to connect that began at `attempted_at` and was refused.
fn unreachable(attempted_at: Instant) -> DiscoveryError {
    let cause = CallError::ConnectFailed(io::ErrorKind::ConnectionRefused.into());
    DiscoveryError::Unreachable { attempted_at, cause }
}

/// Returns the error of a first call that got no response.
fn unanswered_first_call() -> DiscoveryError {
    DiscoveryError::NoList(CallError::ResponseTimedOut)
}

/// Returns the error of a later call that got no response.
fn unanswered_long_poll() -> DiscoveryError {
    DiscoveryError::Inconclusive(CallError::ResponseTimedOut)
}

/// Returns the error of a later call whose connection was lost.
fn broken_long_poll() -> DiscoveryError {
    DiscoveryError::Inconclusive(CallError::ExchangeFailed(ExchangeError::ConnectionLost))
}
