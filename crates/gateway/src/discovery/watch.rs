//! The watch: the loop that keeps the endpoint list current by long polling. It makes one call after another
//! over one connection, and discovery responds to each call when the list changes or the call's wait is over.
use super::endpoint_list::EndpointListUpdate;
use super::error::{CallError, DiscoveryError};
use super::lease_expiry::report_lease_expiry;
use super::list_revision::{ListCall, ListRevision};
use super::observer::EndpointListObserver;
use super::refresh_policy::RefreshPolicy;
use super::refresh_schedule::{CallPosition, RefreshSchedule};
use crate::error_chain::ErrorChain;
use crate::http_connection::{always_permitted, HttpConnection};
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

/// The maximum size of a response with a list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Keeps the endpoint list current and never returns. `addr` is discovery's address, which a reload may
/// change.
///
/// If lists are polled, the watch starts from `cached_revision`, so that discovery writes only the changes.
/// It requests the complete list after any failed call other than a rejection, at a new address and, if lists
/// are pushed, on each new connection. A polled list has a lease: when the lease expires, nothing may be sent
/// to the endpoints until discovery has returned a list.
pub(crate) async fn watch_endpoint_list<O: EndpointListObserver + Clone + 'static>(
    observer: O,
    mut addr: watch::Receiver<SocketAddr>,
    cached_revision: Option<u64>,
    policy: RefreshPolicy,
    seed: u64,
) {
    let schedule = RefreshSchedule::new(policy, seed, Instant::now());
    let (expires_at_sender, expires_at_receiver) = watch::channel(Instant::now());
    let revision = ListRevision(cached_revision);
    let mut list_watch =
        EndpointListWatch { observer, revision, schedule, expires_at_sender, last_call_returned_list: true };
    list_watch.publish_lease();
    if policy.lease_duration.is_some() {
        let observer = list_watch.observer.clone();
        // The task ends with the watch, which owns the sender of the expiry time.
        spawn_local(report_lease_expiry(expires_at_receiver, move || on_lease_expired(&observer)));
    }
    loop {
        let current_addr = *addr.borrow_and_update();
        // A new address interrupts a call or a pause, because the old discovery may never respond again. The
        // cancelled future loses only the connection and a list that was partly read. That does no harm: at
        // the new address the complete list is requested first, and each change of the lease is published
        // before the next await.
        let address_changed = tokio::select! {
            () = list_watch.watch_until_error(current_addr) => false,
            Ok(()) = addr.changed() => true,
        };
        if address_changed {
            list_watch.on_address_change();
        }
    }
}

/// Logs that the lease has expired and notifies the observer.
fn on_lease_expired(observer: &impl EndpointListObserver) {
    tracing::error!(
        target: target::DISCOVERY,
        "endpoint list expired; nothing is sent until discovery returns a list"
    );
    observer.lease_expired();
}

/// The state of the watch, which is kept across connections and addresses.
struct EndpointListWatch<O> {
    /// The receiver of lists and of changes of the lease.
    observer: O,
    /// The revision of the cached list.
    revision: ListRevision,
    /// The schedule of calls, which owns the lease.
    schedule: RefreshSchedule,
    /// Passes the time when the lease expires to the task that reports the expiry.
    expires_at_sender: watch::Sender<Instant>,
    /// Whether the last call returned a list. Only the first failure after a list is logged.
    last_call_returned_list: bool,
}

/// A list that discovery returned, and the delay of the response.
struct ListResponse {
    /// The complete list or the changes to it.
    list: EndpointListUpdate,
    /// The time that the response took beyond the requested wait.
    delay: Duration,
}

impl<O: EndpointListObserver> EndpointListWatch<O> {
    /// Watches the list at one address until a call fails, then pauses.
    async fn watch_until_error(&mut self, addr: SocketAddr) {
        let Err::<Infallible, DiscoveryError>(error) = self.watch_over_one_connection(addr).await;
        self.revision.reset_after(&error);
        if std::mem::take(&mut self.last_call_returned_list) {
            tracing::warn!(
                target: target::DISCOVERY,
                discovery = %addr,
                reason = %ErrorChain(&error),
                "call to discovery failed; the cached endpoint list, if any, stays in use until it expires"
            );
        }
        let pause = self.schedule.on_error(&error, Instant::now());
        self.publish_lease();
        sleep(pause).await;
    }

    /// Restarts with the complete list and a shortened lease after discovery's address has changed.
    fn on_address_change(&mut self) {
        self.revision.reset();
        self.schedule.on_address_change(Instant::now());
        self.publish_lease();
    }

    /// Publishes the time when the lease expires, if lists have a lease.
    fn publish_lease(&self) {
        let Some(expires_at) = self.schedule.list_expires_at() else { return };
        self.observer.lease_updated(expires_at);
        self.expires_at_sender
            .send_if_modified(|published| std::mem::replace(published, expires_at) != expires_at);
    }

    /// Connects to discovery and makes one call after another over that connection, until a call fails.
    async fn watch_over_one_connection(&mut self, addr: SocketAddr) -> Result<Infallible, DiscoveryError> {
        let lists_are_pushed = self.schedule.policy().lists_are_pushed;
        // The agent that lists are pushed to may have restarted its revision numbers.
        if lists_are_pushed {
            self.revision.reset();
        }
        let started_at = Instant::now();
        let mut connection = self.connect(addr, started_at).await?;
        // If lists are pushed, one timeout covers the connection attempt and the first call together.
        let called_at = if lists_are_pushed { started_at } else { Instant::now() };
        // The connection has just been established, so a first call that fails shows that discovery was
        // reached. A later call that fails does not show that.
        let first_response = self.call(&mut connection, addr, CallPosition::First, called_at).await;
        let mut response = first_response.map_err(|error| match error {
            DiscoveryError::Inconclusive(cause) => DiscoveryError::NoList(cause),
            other => other,
        })?;
        loop {
            self.handle_list(response, addr)?;
            // The wait is no part of the call, whose delay tells whether discovery is overloaded.
            let reusable = connection.wait_for_reuse().await;
            reusable.map_err(|error| DiscoveryError::Inconclusive(error.into()))?;
            response = self.call(&mut connection, addr, CallPosition::Later, Instant::now()).await?;
        }
    }

    /// Establishes a connection to discovery. `started_at` is the current time, for the error.
    async fn connect(&self, addr: SocketAddr, started_at: Instant) -> Result<HttpConnection, DiscoveryError> {
        let unreachable = |cause| DiscoveryError::Unreachable { attempted_at: started_at, cause };
        let connected = timeout(self.schedule.policy().connect_timeout, HttpConnection::connect(addr)).await;
        connected
            .map_err(|_| unreachable(CallError::ConnectTimedOut))?
            .map_err(|error| unreachable(CallError::ConnectFailed(error)))
    }

    /// Renews the lease and passes the received list to the observer.
    ///
    /// # Errors
    ///
    /// Fails if the list is older than the cached one.
    fn handle_list(&mut self, response: ListResponse, addr: SocketAddr) -> Result<(), DiscoveryError> {
        let ListResponse { list, delay } = response;
        self.revision.advance(list.revision)?;
        self.schedule.on_list(delay, Instant::now());
        self.publish_lease();
        if !std::mem::replace(&mut self.last_call_returned_list, true) {
            tracing::info!(
                target: target::DISCOVERY,
                discovery = %addr,
                "discovery returned a list again; endpoint list current"
            );
        }
        let kind = if list.is_complete { ListUpdateKind::Complete } else { ListUpdateKind::Changes };
        self.observer.list_received(kind, list);
        Ok(())
    }

    /// Makes one call, which requests the changes since the cached revision or the complete list. The timeout
    /// of the call is counted from `started_at`.
    async fn call(
        &self,
        connection: &mut HttpConnection,
        addr: SocketAddr,
        position: CallPosition,
        started_at: Instant,
    ) -> Result<ListResponse, DiscoveryError> {
        let times = self.schedule.call_times(position, started_at);
        let ListCall { path, wait } = self.revision.next_call(times.wait);
        let request = Request::get(path).header(HOST, addr.to_string()).body(Full::new(Bytes::new()));
        let request = request.map_err(|error| DiscoveryError::Inconclusive(error.into()))?;
        let deadline = started_at + wait + times.response_timeout;
        let response =
            timeout_at(deadline, connection.exchange(request, MAX_LIST_BYTES, always_permitted)).await;
        let response = response
            .map_err(|_| DiscoveryError::Inconclusive(CallError::ResponseTimedOut))?
            .map_err(|error| DiscoveryError::Inconclusive(error.into()))?;
        let list = parse_list(&response)?;
        Ok(ListResponse { list, delay: started_at.elapsed().saturating_sub(wait) })
    }
}

/// Returns the list from a response, or the error that its status or body indicates.
fn parse_list(response: &Response<Bytes>) -> Result<EndpointListUpdate, DiscoveryError> {
    match response.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Err(DiscoveryError::Rejected),
        other => return Err(DiscoveryError::NoList(CallError::UnexpectedStatus(other))),
    }
    serde_json::from_slice(response.body()).map_err(|error| DiscoveryError::NoList(error.into()))
}
