//! The client of the quota counter, the service that counts the units used at all gateways. It opens
//! a few connections, each with one call at a time.
use crate::clock::duration_from_ms;
use crate::connection_budget::{ConnectionBudget, PooledConnection};
use crate::http_connection::HttpConnection;
use crate::idle_connections::IdleConnections;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use irishinge_admission::CounterOutcome;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The maximum number of connections, which the descriptor budget reserves.
pub(crate) const MAX_CONNECTIONS: usize = 8;
/// Idle connections are closed after this time: the counter itself may close them after 10 s or less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a response, which is one number.
const MAX_BODY_BYTES: usize = 256;

/// The client of the quota counter, if the fleet has one.
pub(crate) struct QuotaCounter {
    addr: Cell<Option<SocketAddr>>,
    call_timeout: Duration,
    budget: ConnectionBudget,
    idle: RefCell<IdleConnections>,
}

impl QuotaCounter {
    /// Creates a client without connections, whose calls time out after `timeout_ms`.
    pub(crate) fn new(addr: Option<SocketAddr>, timeout_ms: f64) -> Self {
        QuotaCounter {
            addr: Cell::new(addr),
            call_timeout: duration_from_ms(timeout_ms),
            budget: ConnectionBudget::new(MAX_CONNECTIONS),
            idle: RefCell::new(IdleConnections::new(IDLE_TIMEOUT)),
        }
    }

    /// Sends calls to this address from now on. Calls in flight are not affected.
    pub(crate) fn set_addr(&self, addr: Option<SocketAddr>) {
        if self.addr.replace(addr) != addr {
            self.idle.borrow_mut().close_all();
        }
    }

    /// Closes connections that have been idle for too long or that the counter has closed.
    pub(crate) fn close_stale_connections(&self) {
        self.idle.borrow_mut().close_stale(HttpConnection::is_usable);
    }

    /// Adds `amount` to the total called `name`. A new total expires `ttl_ms` after its first call.
    pub(crate) async fn add(&self, name: u64, amount: f64, ttl_ms: f64) -> CounterOutcome {
        let deadline = Instant::now() + self.call_timeout;
        let Some(addr) = self.addr.get() else { return CounterOutcome::Rejected };
        let path = format!("/counters/{name:016x}?by={amount:.6}&expire_ms={}", ttl_ms.max(1.0) as u64);
        let request = Request::post(path).header(HOST, addr.to_string()).body(Full::new(Bytes::new()));
        let Ok(request) = request else { return CounterOutcome::Rejected };
        let Some(mut pooled) = self.acquire(addr, deadline).await else { return CounterOutcome::Rejected };
        let write_status = pooled.connection.write_status();
        let response = timeout_at(deadline, pooled.connection.exchange(request, MAX_BODY_BYTES)).await;
        let Ok(Ok(response)) = response else {
            return outcome_without_response(write_status.any_written());
        };
        let outcome = response_outcome(response.status(), response.body());
        // What follows a response that cannot be understood may be the rest of it, and would be read as the
        // response to the next call. So such a connection is closed.
        if !matches!(outcome, CounterOutcome::Unanswered) {
            self.release(addr, pooled);
        }
        outcome
    }

    /// Returns an idle connection or else a new one, or `None` if none comes up by `deadline` or too many are
    /// open.
    async fn acquire(&self, addr: SocketAddr, deadline: Instant) -> Option<PooledConnection> {
        if let Some(pooled) = self.take_idle() {
            return Some(pooled);
        }
        let permit = self.budget.try_acquire()?;
        PooledConnection::connect(addr, permit, deadline).await
    }

    fn take_idle(&self) -> Option<PooledConnection> {
        let allows_reuse = |_since| true;
        self.idle.borrow_mut().take(allows_reuse, HttpConnection::is_usable)
    }

    fn release(&self, addr: SocketAddr, mut pooled: PooledConnection) {
        if self.addr.get() == Some(addr) && pooled.connection.is_usable() {
            self.idle.borrow_mut().put(pooled);
        }
    }
}

/// The outcome of a call that was answered with this status and body. A total that cannot be read leaves
/// open what the counter has; a status by which it rejects says that nothing was added.
fn response_outcome(status: StatusCode, body: &[u8]) -> CounterOutcome {
    let text = std::str::from_utf8(body).ok();
    let total = text.and_then(|text| text.trim().parse::<f64>().ok()).filter(|total| total.is_finite());
    match (status, total) {
        (StatusCode::OK, Some(total)) => CounterOutcome::Total(total),
        // The amount was added, but the new total is unknown.
        (StatusCode::OK, None) => CounterOutcome::Unanswered,
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND, _) => {
            CounterOutcome::Rejected
        }
        _ => CounterOutcome::Unanswered,
    }
}

/// The outcome of a call that brought no response. `any_written`: at least one byte of the request was
/// written.
///
/// One byte is enough for the counter to have received the request, since the kernel may have sent the
/// rest. If this counted as rejected, units that were added would count as free.
fn outcome_without_response(any_written: bool) -> CounterOutcome {
    if any_written {
        CounterOutcome::Unanswered
    } else {
        CounterOutcome::Rejected
    }
}

#[cfg(test)]
mod tests;
