//! The watch that keeps the endpoint list current by long polling: one call after another over one
//! connection, to each of which discovery responds when something changes or the call's wait is over.
use super::endpoint_list::EndpointList;
use super::error::{CallError, DiscoveryError};
use super::lease_expiry::report_lease_expiry;
use super::list_revision::{ListCall, ListRevision};
use super::observer::EndpointListObserver;
use super::refresh_policy::RefreshPolicy;
use super::refresh_schedule::{CallPosition, RefreshSchedule};
use crate::error_chain::ErrorChain;
use crate::http_connection::HttpConnection;
use crate::logging::target;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use irishinge_admission::ListUpdateKind;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// The maximum size of a list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Keeps the endpoint list current and never returns. `addr` is discovery's address, which a reload may
/// change.
///
/// Where lists are polled, the watch starts from `cached_revision`, so that discovery writes the changes
/// only. It restarts with the complete list after an outage, at a new address and, where lists are pushed,
/// on each connection. A polled list is on a lease: when that runs out, nothing may be sent until discovery
/// has responded.
pub(crate) async fn watch_endpoint_list<O: EndpointListObserver + Clone + 'static>(
    observer: O,
    mut addr: watch::Receiver<SocketAddr>,
    cached_revision: Option<u64>,
    policy: RefreshPolicy,
    seed: u64,
) {
    let schedule = RefreshSchedule::new(policy, seed, Instant::now());
    let (lease_end, lease_ends) = watch::channel(Instant::now());
    let revision = ListRevision(cached_revision);
    let mut list_watch = EndpointListWatch { observer, revision, schedule, lease_end, is_healthy: true };
    list_watch.publish_lease();
    if policy.lease_duration.is_some() {
        let observer = list_watch.observer.clone();
        // The task ends with the watch, which owns the sender of the lease.
        spawn_local(report_lease_expiry(lease_ends, move || on_lease_expired(&observer)));
    }
    loop {
        let current = *addr.borrow_and_update();
        // A new address ends a call and a pause alike, because the old discovery may never respond again.
        // What is lost with them: the connection, and a list that was only partly read. The new address
        // starts with the complete list, and each change of the lease is published before the next wait, so
        // neither is missed.
        let address_changed = tokio::select! {
            () = list_watch.follow_until_error(current) => false,
            Ok(()) = addr.changed() => true,
        };
        if address_changed {
            list_watch.on_address_change();
        }
    }
}

fn on_lease_expired(observer: &impl EndpointListObserver) {
    tracing::error!(
        target: target::DISCOVERY,
        "endpoint list expired; nothing is sent until discovery answers"
    );
    observer.lease_expired();
}

/// The state of the watch.
struct EndpointListWatch<O> {
    observer: O,
    /// The revision of the cached list.
    revision: ListRevision,
    schedule: RefreshSchedule,
    /// When the lease runs out, for the task that reports it.
    lease_end: watch::Sender<Instant>,
    /// The last call brought a list. Only the first failure after a list is logged.
    is_healthy: bool,
}

/// A list and its delay.
struct ListResponse {
    list: EndpointList,
    /// The time it took beyond the wait that was requested.
    delay: Duration,
}

impl<O: EndpointListObserver> EndpointListWatch<O> {
    /// Follows discovery at one address until that fails, then pauses.
    async fn follow_until_error(&mut self, addr: SocketAddr) {
        let Err::<Infallible, DiscoveryError>(error) = self.follow(addr).await;
        self.revision.reset_after(&error);
        if std::mem::take(&mut self.is_healthy) {
            tracing::warn!(
                target: target::DISCOVERY,
                discovery = %addr,
                reason = %ErrorChain(&error),
                "discovery failed; the cached endpoint list stays in use"
            );
        }
        let pause = self.schedule.on_error(&error, Instant::now());
        self.publish_lease();
        sleep(pause).await;
    }

    fn on_address_change(&mut self) {
        self.revision.reset();
        self.schedule.on_address_change(Instant::now());
        self.publish_lease();
    }

    /// Publishes until when the list may be used.
    fn publish_lease(&self) {
        let Some(expires_at) = self.schedule.list_expires_at() else { return };
        self.observer.lease_updated(expires_at);
        self.lease_end.send_if_modified(|known| std::mem::replace(known, expires_at) != expires_at);
    }

    /// Calls discovery at one address over one connection until that fails.
    async fn follow(&mut self, addr: SocketAddr) -> Result<Infallible, DiscoveryError> {
        let complete_list_first = self.schedule.policy().complete_list_first;
        if complete_list_first {
            self.revision.reset();
        }
        let started = Instant::now();
        let mut connection = self.connect(addr, started).await?;
        // Where lists are pushed, the connection and the first call over it have one timeout together.
        let called = if complete_list_first { started } else { Instant::now() };
        // A first call that fails shows that something was reached, which an interrupted watch does not.
        let first = self.call(&mut connection, addr, CallPosition::First, called).await;
        let mut response = first.map_err(|error| match error {
            DiscoveryError::WatchInterrupted(cause) => DiscoveryError::NoList(cause),
            other => other,
        })?;
        loop {
            self.accept(response, addr)?;
            response = self.call(&mut connection, addr, CallPosition::Later, Instant::now()).await?;
        }
    }

    async fn connect(&self, addr: SocketAddr, started: Instant) -> Result<HttpConnection, DiscoveryError> {
        let unreachable = |cause| DiscoveryError::Unreachable { attempted_at: started, cause };
        let connected = timeout(self.schedule.policy().connect_timeout, HttpConnection::connect(addr)).await;
        connected
            .map_err(|_| unreachable(CallError::ConnectTimedOut))?
            .map_err(|error| unreachable(CallError::ConnectFailed(error)))
    }

    /// Renews the lease by a list and passes the list to the observer.
    fn accept(&mut self, response: ListResponse, addr: SocketAddr) -> Result<(), DiscoveryError> {
        let ListResponse { list, delay } = response;
        self.revision.advance(list.revision)?;
        self.schedule.on_list(delay, Instant::now());
        self.publish_lease();
        if !std::mem::replace(&mut self.is_healthy, true) {
            tracing::info!(
                target: target::DISCOVERY,
                discovery = %addr,
                "discovery answers again; endpoint list current"
            );
        }
        let kind = if list.is_complete { ListUpdateKind::Complete } else { ListUpdateKind::Changes };
        self.observer.list_received(kind, list);
        Ok(())
    }

    /// Makes one call, for the changes since the cached revision or for the complete list. Its timeout runs
    /// from `started`.
    async fn call(
        &self,
        connection: &mut HttpConnection,
        addr: SocketAddr,
        position: CallPosition,
        started: Instant,
    ) -> Result<ListResponse, DiscoveryError> {
        let times = self.schedule.call_times(position, started);
        let ListCall { path, wait } = self.revision.next_call(times.wait);
        let request = Request::get(path).header(HOST, addr.to_string()).body(Full::new(Bytes::new()));
        let request = request.map_err(|error| DiscoveryError::WatchInterrupted(error.into()))?;
        let deadline = started + wait + times.response_timeout;
        let response = timeout_at(deadline, connection.exchange(request, MAX_LIST_BYTES)).await;
        let response = response
            .map_err(|_| DiscoveryError::WatchInterrupted(CallError::ResponseTimedOut))?
            .map_err(|error| DiscoveryError::WatchInterrupted(error.into()))?;
        let list = parse_list(&response)?;
        Ok(ListResponse { list, delay: started.elapsed().saturating_sub(wait) })
    }
}

fn parse_list(response: &Response<Bytes>) -> Result<EndpointList, DiscoveryError> {
    match response.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Err(DiscoveryError::Rejected),
        other => return Err(DiscoveryError::NoList(CallError::UnexpectedStatus(other))),
    }
    serde_json::from_slice(response.body()).map_err(|error| DiscoveryError::NoList(error.into()))
}
