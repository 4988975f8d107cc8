//! The client of the quota counter, the service that counts the units used at all gateways. The client opens
//! a few connections, each of which carries one call at a time.
use crate::clock::duration_from_ms;
use crate::connection_budget::{BudgetedConnection, ConnectionBudget};
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

/// The maximum number of connections to the quota counter, for which the descriptor budget reserves
/// descriptors.
pub(crate) const MAX_CONNECTIONS: usize = 8;
/// The time after which idle connections are closed. It is short because the quota counter itself may close
/// them after 10 s or less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a response's body, in bytes. The body is one number.
const MAX_BODY_BYTES: usize = 256;

/// The client of the quota counter. Without an address, it rejects all calls.
pub(crate) struct QuotaCounterClient {
    /// The quota counter's address, or `None` if the fleet has no quota counter.
    addr: Cell<Option<SocketAddr>>,
    /// The timeout of a call, including the time to establish a connection.
    call_timeout: Duration,
    /// The limit on open connections.
    budget: ConnectionBudget,
    /// The open connections that carry no call.
    idle: RefCell<IdleConnections>,
}

impl QuotaCounterClient {
    /// Creates a client that has no connections yet, and whose calls time out after `timeout_ms`.
    pub(crate) fn new(addr: Option<SocketAddr>, timeout_ms: f64) -> Self {
        QuotaCounterClient {
            addr: Cell::new(addr),
            call_timeout: duration_from_ms(timeout_ms),
            budget: ConnectionBudget::new(MAX_CONNECTIONS),
            idle: RefCell::new(IdleConnections::new(IDLE_TIMEOUT)),
        }
    }

    /// Changes the address for future calls. Calls in flight are not affected; idle connections to the
    /// previous address are closed.
    pub(crate) fn set_addr(&self, addr: Option<SocketAddr>) {
        if self.addr.replace(addr) != addr {
            self.idle.borrow_mut().close_all();
        }
    }

    /// Closes idle connections that have timed out or that the quota counter has closed.
    pub(crate) fn close_stale_connections(&self) {
        self.idle.borrow_mut().close_stale();
    }

    /// Adds `amount` to the count with the name `name`, and returns the outcome with the count's new total. A
    /// count expires `ttl_ms` after the call that created it.
    pub(crate) async fn add(&self, name: u64, amount: f64, ttl_ms: f64) -> CounterOutcome {
        let deadline = Instant::now() + self.call_timeout;
        let Some(addr) = self.addr.get() else { return CounterOutcome::Rejected };
        let path = format!("/counters/{name:016x}?by={amount:.6}&expire_ms={}", ttl_ms.max(1.0) as u64);
        let request = Request::post(path).header(HOST, addr.to_string()).body(Full::new(Bytes::new()));
        let Ok(request) = request else { return CounterOutcome::Rejected };
        let Some(mut budgeted) = self.acquire(addr, deadline).await else { return CounterOutcome::Rejected };
        let write_status = budgeted.connection.write_status();
        // A call that begins after its deadline would be counted without its total being read.
        let may_write = |_| Instant::now() < deadline;
        let exchange = budgeted.connection.exchange(request, MAX_BODY_BYTES, may_write);
        let response = timeout_at(deadline, exchange).await;
        let Ok(Ok(response)) = response else {
            return outcome_without_response(write_status.any_written());
        };
        let outcome = response_outcome(response.status(), response.body());
        // After a response that cannot be interpreted, the connection is closed. Otherwise, bytes that still
        // follow could be read as the response to the next call.
        if !matches!(outcome, CounterOutcome::Unanswered) {
            self.release(addr, budgeted);
        }
        outcome
    }

    /// Returns an idle connection, or a new one if none may carry a call at once. At the limit on open
    /// connections, waits for an idle one that has just had a response. Returns `None` if there is none by
    /// `deadline`.
    async fn acquire(&self, addr: SocketAddr, deadline: Instant) -> Option<BudgetedConnection> {
        let reusable = self.idle.borrow_mut().take();
        if reusable.is_some() {
            return reusable;
        }
        if let Some(permit) = self.budget.try_acquire() {
            return BudgetedConnection::connect(addr, permit, deadline).await;
        }
        let delayed = self.idle.borrow_mut().take_delayed()?;
        let unchecked = timeout_at(deadline, delayed.reuse_delay_over()).await.ok()?;
        self.idle.borrow_mut().accept_unchecked(unchecked)
    }

    /// Keeps a connection for the next call if it is usable and the address has not changed, or else closes
    /// it.
    fn release(&self, addr: SocketAddr, budgeted: BudgetedConnection) {
        if self.addr.get() == Some(addr) {
            self.idle.borrow_mut().put(budgeted);
        }
    }
}

/// Returns the outcome of a call from the status and body of its response. If the total cannot be parsed,
/// it is unknown; if the status means that the call was rejected, nothing was added to the count.
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

/// Returns the outcome of a call that got no response. `any_written` says whether at least one byte of the
/// request was written.
///
/// If one byte was written, the quota counter may have received the whole request, because the kernel may
/// have sent the rest. If such a call counted as rejected, units that were added would count as free.
fn outcome_without_response(any_written: bool) -> CounterOutcome {
    if any_written {
        CounterOutcome::Unanswered
    } else {
        CounterOutcome::Rejected
    }
}

#[cfg(test)]
mod tests;
