//! The hosts' addresses and states, the pool of idle connections, and single attempts.
#[cfg(test)]
mod tests;

use crate::clock::duration_from_ms;
use crate::discovery::DiscoveredEndpoint;
use crate::http_connection::{ExchangeError, HttpConnection, WriteStatus};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use irishinge_admission::{EndpointId, EndpointState, ListKind, Outcome};
use irishinge_settings::SocketSettings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Bodies, either way, hold this much at most.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// An idle connection is let go after this part of the time after which its host would close it: a request
/// that crosses the host's closing ends as a reset, and may have run. Letting go sooner costs a large fleet a
/// handshake each time: its gateways come to a host once in seconds.
const IDLE_PART: f64 = 0.8;
/// A second copy of an answer may come some milliseconds behind it, and would be taken for the answer to a request that
/// had been written by then. Once a connection has brought more than its answer, for so long each one rests for
/// so long after an answer. Resting always would cost a large fleet handshakes.
const WARY: Duration = Duration::from_secs(60);
const REST: Duration = Duration::from_millis(15);
/// How often idle connections are looked over.
pub(crate) const REAP_INTERVAL: Duration = Duration::from_millis(1000);

/// A client's call as it goes on to hosts.
pub(crate) struct UpstreamRequest {
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// `Host`, as the client gave it.
    pub host: HeaderValue,
    /// `X-Call-Id`, unchanged.
    pub call_id: HeaderValue,
    /// `Idempotency-Key`, unchanged.
    pub idempotency_key: Option<HeaderValue>,
    /// The body's type.
    pub content_type: Option<HeaderValue>,
    /// The body, unchanged.
    pub body: Bytes,
}

/// How an attempt ended.
pub(crate) struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The host's whole answer, where there is one.
    pub answer: Option<Response<Bytes>>,
}

impl AttemptResult {
    /// An end that brought no answer.
    pub(crate) fn without_answer(outcome: Outcome) -> Self {
        AttemptResult { outcome, answer: None }
    }

    /// The true units, where the answer tells them.
    pub(crate) fn true_units(&self) -> Option<f64> {
        let text = self.header("x-settled")?;
        text.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v > 0.0)
    }

    /// The host's load report, where the answer carries one.
    pub(crate) fn load(&self) -> Vec<(String, f64)> {
        let report = self.header("x-load-report").map(serde_json::from_str::<BTreeMap<String, f64>>);
        report.and_then(Result::ok).into_iter().flatten().collect()
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.answer.as_ref()?.headers().get_all(name).iter();
        // One that is there twice says nothing.
        values.next().filter(|_| values.next().is_none())?.to_str().ok()
    }
}

struct Idle {
    link: HttpConnection,
    permit: Permit,
    since: Instant,
}

struct Host {
    addr: SocketAddr,
    state: EndpointState,
    /// The most recently used last.
    idle: Vec<Idle>,
}

/// A connection's place in the budget of descriptors, given back when dropped.
struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Until when hosts' answers are not trusted to be all that comes.
#[derive(Default)]
struct ReuseDelay(Cell<Option<Instant>>);

impl ReuseDelay {
    fn begin(&self, now: Instant) {
        self.0.set(Some(now + WARY));
    }

    /// Whether a connection that had its answer at `since` may carry another request.
    fn rested(&self, since: Instant, now: Instant) -> bool {
        self.0.get().is_none_or(|until| now >= until) || now >= since + REST
    }
}

/// All hosts this gateway knows.
pub(crate) struct UpstreamPool {
    table: RefCell<HashMap<EndpointId, Host>>,
    /// Nothing is sent by the list from then on.
    list_until: Cell<Option<Instant>>,
    connections: Rc<Cell<usize>>,
    most_connections: usize,
    connect_timeout: Duration,
    idle_most: Duration,
    wary: ReuseDelay,
}

impl UpstreamPool {
    /// No hosts yet; `most_connections` bounds the connections to all of them.
    pub(crate) fn new(settings: &SocketSettings, most_connections: usize) -> Self {
        UpstreamPool {
            table: RefCell::default(),
            list_until: Cell::default(),
            connections: Rc::default(),
            most_connections,
            connect_timeout: duration_from_ms(settings.connect_timeout_ms),
            idle_most: duration_from_ms(settings.conn_idle_ms * IDLE_PART),
            wary: ReuseDelay::default(),
        }
    }

    /// Whether any host takes work.
    pub(crate) fn any_ready(&self) -> bool {
        self.table.borrow().values().any(|h| h.state == EndpointState::Ready)
    }

    /// Takes news of the list in. Idle connections to hosts that take no more work are closed.
    pub(crate) fn on_list(&self, kind: ListKind, listed: &[DiscoveredEndpoint]) {
        let mut table = self.table.borrow_mut();
        if kind != ListKind::Changes {
            table.retain(|id, _| listed.iter().any(|l| l.entry.id == *id));
        }
        for DiscoveredEndpoint { entry, addr } in listed {
            if entry.state == EndpointState::Gone {
                table.remove(&entry.id);
                continue;
            }
            let host = table.entry(entry.id).or_insert_with(|| Host {
                addr: *addr,
                state: entry.state,
                idle: Vec::new(),
            });
            if entry.state != EndpointState::Ready || host.addr != *addr {
                host.idle.clear();
            }
            (host.addr, host.state) = (*addr, entry.state);
        }
    }

    /// The list holds until then.
    pub(crate) fn list_holds(&self, until: Instant) {
        self.list_until.set(Some(until));
    }

    fn list_expired(&self) -> bool {
        self.list_until.get().is_some_and(|until| Instant::now() >= until)
    }

    /// Closes the idle connections to a host.
    pub(crate) fn close_idle(&self, endpoint: EndpointId) {
        if let Some(host) = self.table.borrow_mut().get_mut(&endpoint) {
            host.idle.clear();
        }
    }

    /// Closes idle connections that have grown old or that their host has closed.
    pub(crate) fn reap(&self) {
        for host in self.table.borrow_mut().values_mut() {
            host.idle.retain_mut(|i| i.since.elapsed() < self.idle_most && self.is_usable(&mut i.link));
        }
    }

    /// The address of a host that takes work.
    fn ready_addr(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let table = self.table.borrow();
        table.get(&endpoint).filter(|h| h.state == EndpointState::Ready).map(|h| h.addr)
    }

    fn take_idle(&self, endpoint: EndpointId) -> Option<(HttpConnection, Permit)> {
        let mut table = self.table.borrow_mut();
        let host = table.get_mut(&endpoint)?;
        loop {
            // The most recently used of those that have rested.
            let at = host.idle.iter().rposition(|i| self.wary.rested(i.since, Instant::now()))?;
            let mut idle = host.idle.remove(at);
            if idle.since.elapsed() < self.idle_most && self.is_usable(&mut idle.link) {
                return Some((idle.link, idle.permit));
            }
        }
    }

    /// Whether a connection may carry another request, now or once it has rested.
    fn is_usable(&self, link: &mut HttpConnection) -> bool {
        let usable = link.is_usable();
        if link.brought_more() {
            self.wary.begin(Instant::now());
        }
        usable
    }

    /// Keeps a connection with nothing on it for the next request, where its host takes any.
    fn keep(&self, endpoint: EndpointId, addr: SocketAddr, mut link: HttpConnection, permit: Permit) {
        if let Some(host) = self.table.borrow_mut().get_mut(&endpoint) {
            if host.state == EndpointState::Ready && host.addr == addr && self.is_usable(&mut link) {
                host.idle.push(Idle { link, permit, since: Instant::now() });
            }
        }
    }

    /// A place for one more connection; where there is none, the longest idle one makes room.
    fn permit(&self) -> Option<Permit> {
        if self.connections.get() >= self.most_connections {
            let mut table = self.table.borrow_mut();
            let oldest = table.values_mut().filter(|h| !h.idle.is_empty()).min_by_key(|h| h.idle[0].since)?;
            oldest.idle.remove(0);
        }
        self.connections.set(self.connections.get() + 1);
        Some(Permit(self.connections.clone()))
    }

    /// Makes one attempt, until `until` at the latest. When its connection is up, `wanted` is asked whether the request
    /// is still to be sent.
    pub(crate) async fn attempt(
        &self,
        endpoint: EndpointId,
        call: &UpstreamRequest,
        until: Instant,
        wanted: impl Fn() -> bool,
    ) -> AttemptResult {
        let written = Cell::new(None);
        match timeout_at(until, self.attempt_untimed(endpoint, call, until, wanted, &written)).await {
            Ok(ended) => ended,
            Err(_) => {
                AttemptResult::without_answer(match written.take().is_some_and(|w: WriteStatus| w.any()) {
                    true => Outcome::TimedOut,
                    false => Outcome::ConnectFailed,
                })
            }
        }
    }

    async fn attempt_untimed(
        &self,
        endpoint: EndpointId,
        call: &UpstreamRequest,
        until: Instant,
        wanted: impl Fn() -> bool,
        written: &Cell<Option<WriteStatus>>,
    ) -> AttemptResult {
        let never_ran = || AttemptResult::without_answer(Outcome::ConnectFailed);
        let Some(addr) = self.ready_addr(endpoint) else { return never_ran() };
        let (mut link, permit) = match self.take_idle(endpoint) {
            Some(pooled) => pooled,
            None => {
                let Some(permit) = self.permit() else { return never_ran() };
                match timeout(self.connect_timeout, HttpConnection::connect(addr)).await {
                    Ok(Ok(link)) => (link, permit),
                    _ => return never_ran(),
                }
            }
        };
        // The list may have changed while the connection came up: nothing new goes to a host that drains. And the
        // client may have left, or have its answer from elsewhere, where attempts may not be called off.
        if self.list_expired() {
            self.keep(endpoint, addr, link, permit);
            return AttemptResult::without_answer(Outcome::TooLate);
        }
        if self.ready_addr(endpoint) != Some(addr) || !wanted() {
            self.keep(endpoint, addr, link, permit);
            return never_ran();
        }
        written.set(Some(link.written()));
        let answer = match link.exchange(call.request(until), MAX_BODY_BYTES).await {
            Ok(answer) => answer,
            Err(_) if !link.written().any() => return never_ran(),
            Err(ExchangeError::ConnectionLost) => return AttemptResult::without_answer(Outcome::Reset),
            // The host is up and has answered, if with nothing that can be read.
            Err(ExchangeError::InvalidResponse) => return AttemptResult::without_answer(Outcome::Error),
        };
        self.keep(endpoint, addr, link, permit);
        let rejected = answer.headers().get("x-rejected").is_some_and(|v| v == "1");
        let outcome = match answer.status() {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Overloaded,
            _ => Outcome::Error,
        };
        AttemptResult { outcome, answer: Some(answer) }
    }
}

impl UpstreamRequest {
    fn request(&self, until: Instant) -> Request<Full<Bytes>> {
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert("x-call-id", self.call_id.clone());
        if let Some(key) = &self.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if let Some(kind) = &self.content_type {
            headers.insert(CONTENT_TYPE, kind.clone());
        }
        if let Ok(budget) = HeaderValue::from_str(&format!("{left:.3}")) {
            headers.insert("x-budget", budget);
        }
        request
    }
}
