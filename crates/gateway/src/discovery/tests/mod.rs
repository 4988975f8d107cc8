//! The tests of discovery, by concern, and what they have in common.
mod endpoint_list;
mod error;
mod fleet_recovery;
mod lease_expiry;
mod list_lease;
mod list_revision;
mod refresh_policy;
mod refresh_schedule;

use super::error::{CallError, DiscoveryError};
use super::list_lease::{CHANGE_KNOWN_AFTER, LEASE_MARGIN};
use super::refresh_policy::RefreshPolicy;
use super::refresh_schedule::RefreshSchedule;
use crate::http_connection::ExchangeError;
use irishinge_settings::{DiscoveryMode, SocketSettings};
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// How long a list may be used; reckoned here, so that a change of the lease alone fails the tests.
const LEASE_DURATION: Duration = CHANGE_KNOWN_AFTER.saturating_sub(LEASE_MARGIN);

fn policy(mode: DiscoveryMode, gateways: usize, drain_grace_ms: f64) -> RefreshPolicy {
    let settings = SocketSettings {
        idle_connection_timeout_ms: 1000.0,
        connect_timeout_ms: 250.0,
        retry_after_enabled: true,
        counter_timeout_ms: 50.0,
        discovery_mode: mode,
        drain_grace_ms,
    };
    RefreshPolicy::new(&settings, gateways)
}

fn schedule_for_polled_lists(gateways: usize, seed: u64, now: Instant) -> RefreshSchedule {
    RefreshSchedule::new(policy(DiscoveryMode::Polled, gateways, 2000.0), seed, now)
}

/// Discovery is down: an attempt to connect that began then has failed.
fn unreachable(attempted_at: Instant) -> DiscoveryError {
    let cause = CallError::ConnectFailed(io::ErrorKind::ConnectionRefused.into());
    DiscoveryError::Unreachable { attempted_at, cause }
}

/// A first call got no response.
fn silent_call() -> DiscoveryError {
    DiscoveryError::NoList(CallError::ResponseTimedOut)
}

/// A watch got no response.
fn silent_watch() -> DiscoveryError {
    DiscoveryError::WatchInterrupted(CallError::ResponseTimedOut)
}

/// The connection of a watch broke.
fn reset_watch() -> DiscoveryError {
    DiscoveryError::WatchInterrupted(CallError::ExchangeFailed(ExchangeError::ConnectionLost))
}
