//! Calls to the counter: a few connections, each with one call at a time.
use crate::clock::duration_from_ms;
use crate::http_connection::HttpConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use irishinge_admission::CounterOutcome;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Connections at most: part of the descriptors that are neither clients' nor hosts'.
pub(crate) const MAX_CONNECTIONS: usize = 8;
/// The counter closes a connection that has stood idle for about 10 s or less.
const IDLE: Duration = Duration::from_secs(3);
/// An answer is a number.
const MAX_BODY_BYTES: usize = 256;

struct Idle {
    link: HttpConnection,
    place: Place,
    since: Instant,
}

/// A connection's place among the few, given back when dropped.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The counter, where there is one.
pub(crate) struct QuotaCounter {
    addr: Cell<Option<SocketAddr>>,
    limit: Duration,
    connections: Rc<Cell<usize>>,
    idle: RefCell<Vec<Idle>>,
}

impl QuotaCounter {
    /// No connections yet; a call is given up after `limit_ms`.
    pub(crate) fn new(addr: Option<SocketAddr>, limit_ms: f64) -> Self {
        QuotaCounter {
            addr: Cell::new(addr),
            limit: duration_from_ms(limit_ms),
            connections: Rc::default(),
            idle: RefCell::default(),
        }
    }

    /// Calls go to this address from now on; those that are out end where they are.
    pub(crate) fn move_to(&self, addr: Option<SocketAddr>) {
        if self.addr.replace(addr) != addr {
            self.idle.borrow_mut().clear();
        }
    }

    /// Closes connections that have stood idle for long.
    pub(crate) fn reap(&self) {
        self.idle.borrow_mut().retain_mut(|i| i.since.elapsed() < IDLE && i.link.is_usable());
    }

    /// Adds an amount to a named number.
    pub(crate) async fn call(&self, name: u64, amount: f64, ttl_ms: f64) -> CounterOutcome {
        let until = Instant::now() + self.limit;
        let Some(addr) = self.addr.get() else { return CounterOutcome::Rejected };
        let path = format!("/counters/{name:016x}?by={amount:.6}&expire_ms={}", ttl_ms.max(1.0) as u64);
        let request = Request::post(path).header(HOST, addr.to_string()).body(Full::new(Bytes::new()));
        let Ok(request) = request else { return CounterOutcome::Rejected };
        let Some((mut link, place)) = self.link(addr, until).await else { return CounterOutcome::Rejected };
        let written = link.written();
        let answer = timeout_at(until, link.exchange(request, MAX_BODY_BYTES)).await;
        let Ok(Ok(answer)) = answer else {
            // What was written, if only in part, may have been added, or may yet be.
            return if written.any() { CounterOutcome::Unanswered } else { CounterOutcome::Rejected };
        };
        let total = std::str::from_utf8(answer.body()).ok().and_then(|t| t.trim().parse::<f64>().ok());
        let outcome = match (answer.status(), total.filter(|t| t.is_finite())) {
            (StatusCode::OK, Some(total)) => CounterOutcome::Total(total),
            // Added, and nobody knows to what; the connection is of no further use.
            (StatusCode::OK, None) => return CounterOutcome::Unanswered,
            (StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND, _) => {
                CounterOutcome::Rejected
            }
            _ => return CounterOutcome::Unanswered,
        };
        if self.addr.get() == Some(addr) && link.is_usable() {
            self.idle.borrow_mut().push(Idle { link, place, since: Instant::now() });
        }
        outcome
    }

    /// A connection with no call on it; none where there is none in time.
    async fn link(&self, addr: SocketAddr, until: Instant) -> Option<(HttpConnection, Place)> {
        while let Some(mut idle) = { self.idle.borrow_mut().pop() } {
            if idle.since.elapsed() < IDLE && idle.link.is_usable() {
                return Some((idle.link, idle.place));
            }
        }
        if self.connections.get() >= MAX_CONNECTIONS {
            return None;
        }
        self.connections.set(self.connections.get() + 1);
        let place = Place(self.connections.clone());
        let link = timeout_at(until, HttpConnection::connect(addr)).await.ok()?.ok()?;
        Some((link, place))
    }
}
