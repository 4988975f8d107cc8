//! The connection pool: the known endpoints, each with its address, state and idle connections.
use super::upstream_request::UpstreamRequest;
use super::MAX_BODY_BYTES;
use crate::byte_budget::ByteBudget;
use crate::clock::duration_from_ms;
use crate::connection_budget::{BudgetedConnection, ConnectionBudget, ConnectionPermit};
use crate::discovery::DiscoveredEndpoint;
use crate::http_connection::BodyLimit;
use crate::idle_connections::IdleConnections;
use irishinge_admission::{EndpointId, EndpointState, ListUpdateKind};
use irishinge_settings::DeploymentSettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The fraction of the endpoints' own idle timeout after which the gateway closes idle connections.
///
/// A request that is sent while the endpoint closes the connection ends with a reset, and may have run. A
/// lower fraction would cost a large fleet, whose gateways use each endpoint only every few seconds,
/// additional handshakes.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// How often idle connections are checked.
pub(crate) const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// A process of an endpoint, as far as the list tells it from others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct EndpointInstance {
    /// The address that the process accepts connections on.
    pub(super) addr: SocketAddr,
    /// When the process started, in Unix milliseconds; `None` if that was long ago.
    started_at_ms: Option<f64>,
}

/// An endpoint of the endpoint list.
struct Endpoint {
    /// The endpoint's process. Another one may take its place at the same address.
    instance: EndpointInstance,
    /// The state that discovery published last.
    state: EndpointState,
    /// The idle connections to this address.
    idle: IdleConnections,
}

/// The known endpoints and the idle connections to them.
pub(crate) struct UpstreamPool {
    /// All endpoints of the list, whatever their state.
    endpoints: RefCell<HashMap<EndpointId, Endpoint>>,
    /// When the endpoint list's lease expires and requests are no longer sent; `None` if the list has no
    /// lease.
    lease_expires_at: Cell<Option<Instant>>,
    /// Limits the connections to all endpoints together.
    budget: ConnectionBudget,
    /// Limits the memory that the bodies of all responses take, until clients have read them.
    response_budget: Rc<ByteBudget>,
    /// How long establishing a connection may take.
    connect_timeout: Duration,
    /// How long a connection may be idle before it is closed.
    idle_timeout: Duration,
}

impl UpstreamPool {
    /// Creates a pool without endpoints. `max_connections` limits the connections to all endpoints together,
    /// and `response_budget` the memory that their responses take.
    pub(crate) fn new(
        settings: &DeploymentSettings,
        max_connections: usize,
        response_budget: Rc<ByteBudget>,
    ) -> Self {
        UpstreamPool {
            endpoints: RefCell::default(),
            lease_expires_at: Cell::default(),
            budget: ConnectionBudget::new(max_connections),
            response_budget,
            connect_timeout: duration_from_ms(settings.connect_timeout_ms),
            idle_timeout: duration_from_ms(settings.idle_connection_timeout_ms * IDLE_TIMEOUT_FRACTION),
        }
    }

    /// Returns whether the endpoint list has a ready endpoint, whether or not the list has expired.
    pub(crate) fn has_ready_endpoint(&self) -> bool {
        self.endpoints.borrow().values().any(|endpoint| endpoint.state == EndpointState::Ready)
    }

    /// Returns the number of open connections to endpoints.
    pub(crate) fn open_connections(&self) -> usize {
        self.budget.open()
    }

    /// Applies an endpoint list that discovery returned or that was cached before a restart. Unless `kind` is
    /// `Changes`, endpoints that the list does not name are removed; `kind` is never `Failed`, because failed
    /// calls are not reported to the pool.
    ///
    /// Closes idle connections to endpoints that no longer accept requests, that have another address or
    /// whose process has restarted.
    pub(crate) fn apply_list(&self, kind: ListUpdateKind, discovered: &[DiscoveredEndpoint]) {
        let mut endpoints = self.endpoints.borrow_mut();
        if kind != ListUpdateKind::Changes {
            endpoints.retain(|id, _| discovered.iter().any(|d| d.entry.id == *id));
        }
        for DiscoveredEndpoint { entry, addr } in discovered {
            if entry.state == EndpointState::Gone {
                endpoints.remove(&entry.id);
                continue;
            }
            let mut instance = EndpointInstance { addr: *addr, started_at_ms: entry.started_at_ms };
            let endpoint = endpoints.entry(entry.id).or_insert_with(|| Endpoint {
                instance,
                state: entry.state,
                idle: IdleConnections::new(self.idle_timeout),
            });
            // A list that does not tell the time of the start says nothing about a restart.
            instance.started_at_ms = instance.started_at_ms.or(endpoint.instance.started_at_ms);
            if entry.state != EndpointState::Ready || endpoint.instance != instance {
                endpoint.idle.close_all();
            }
            endpoint.instance = instance;
            endpoint.state = entry.state;
        }
    }

    /// Returns the limits on the body of a response.
    pub(super) fn body_limit(&self) -> BodyLimit<'_> {
        BodyLimit { max_bytes: MAX_BODY_BYTES, budget: Some(&self.response_budget) }
    }

    /// Sets when the endpoint list's lease expires.
    pub(crate) fn set_lease_expires_at(&self, expires_at: Instant) {
        self.lease_expires_at.set(Some(expires_at));
    }

    /// Returns whether the endpoint list's lease has expired, so that no request may be sent.
    pub(super) fn is_lease_expired(&self) -> bool {
        self.lease_expires_at.get().is_some_and(|expires_at| Instant::now() >= expires_at)
    }

    /// Closes connections that have been idle for too long or that are not usable.
    pub(crate) fn close_stale_connections(&self) {
        for endpoint in self.endpoints.borrow_mut().values_mut() {
            endpoint.idle.close_stale();
        }
    }

    /// Returns the process of an endpoint, or `None` if the endpoint accepts no requests.
    pub(super) fn ready_instance(&self, endpoint: EndpointId) -> Option<EndpointInstance> {
        let endpoints = self.endpoints.borrow();
        endpoints.get(&endpoint).filter(|e| e.state == EndpointState::Ready).map(|e| e.instance)
    }

    /// Returns an idle connection to an endpoint, or else a new one. Returns `None` if all permitted
    /// connections are in use, or if a new one is not established within the connect timeout.
    ///
    /// If all idle connections have just had a response, waits for one of them: the rest of the reuse delay
    /// is short compared with the time and the work that a handshake would cost the endpoint.
    pub(super) async fn acquire(&self, endpoint: EndpointId, addr: SocketAddr) -> Option<BudgetedConnection> {
        if let Some(pooled) = self.idle_connections(endpoint, IdleConnections::take) {
            return Some(pooled);
        }
        if let Some(delayed) = self.idle_connections(endpoint, IdleConnections::take_delayed) {
            let unchecked = delayed.reuse_delay_over().await;
            if let Some(pooled) = self.idle_connections(endpoint, |idle| idle.accept_unchecked(unchecked)) {
                return Some(pooled);
            }
        }
        let permit = self.acquire_permit()?;
        BudgetedConnection::connect(addr, permit, Instant::now() + self.connect_timeout).await
    }

    /// Calls `take` with the idle connections to an endpoint. Returns `None` if the list does not name the
    /// endpoint.
    fn idle_connections<T>(
        &self,
        endpoint: EndpointId,
        take: impl FnOnce(&mut IdleConnections) -> Option<T>,
    ) -> Option<T> {
        take(&mut self.endpoints.borrow_mut().get_mut(&endpoint)?.idle)
    }

    /// Puts a connection that has carried a request back into the pool, unless that request has left it with
    /// a large write buffer: connections that are kept for long would then take much memory.
    pub(super) fn release_if_small(
        &self,
        endpoint: EndpointId,
        instance: EndpointInstance,
        pooled: BudgetedConnection,
        request: &UpstreamRequest,
    ) {
        if request.leaves_small_buffer() {
            self.release(endpoint, instance, pooled);
        }
    }

    /// Puts a connection back into the pool, or closes it if it is not usable, or if its endpoint no longer
    /// accepts requests or another process has taken its place.
    pub(super) fn release(
        &self,
        endpoint: EndpointId,
        instance: EndpointInstance,
        pooled: BudgetedConnection,
    ) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&endpoint) {
            let accepts = endpoint.state == EndpointState::Ready && endpoint.instance == instance;
            if accepts {
                endpoint.idle.put(pooled);
            }
        }
    }

    /// Returns a permit for one more connection. If the budget is exhausted, closes the longest idle
    /// connection, or returns `None` if no connection is idle.
    fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.budget.is_exhausted() {
            let mut endpoints = self.endpoints.borrow_mut();
            let with_idle = endpoints.values_mut().filter(|endpoint| !endpoint.idle.is_empty());
            let oldest = with_idle.min_by_key(|endpoint| endpoint.idle.longest_idle_since())?;
            oldest.idle.close_longest_idle();
        }
        self.budget.try_acquire()
    }
}
