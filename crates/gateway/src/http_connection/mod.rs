//! One HTTP/1.1 client connection that carries one request at a time: to an endpoint, to discovery or to the quota
//! counter.
//!
//! Connection and request are driven by the same future, so that dropping it closes the socket at once: no request can
//! outlive its attempt, and nothing is sent again.
mod observed_stream;

use self::observed_stream::{ExchangeState, ObservedStream};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::ext::on_informational;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// A response's head must fit this.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// An endpoint writes a response in one go: one that has begun and is not whole after this will never be.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interim (1xx) responses ahead of one response, at most.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Why an exchange brought no whole response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// The connection broke or ended.
    #[error("the connection was lost")]
    ConnectionLost,
    /// What arrived is not a response, or not one within the bounds, and nothing but that ended the exchange.
    #[error("the response is invalid")]
    InvalidResponse,
}

/// A connection that is up.
pub(crate) struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<http1::Connection<TokioIo<ObservedStream>, Full<Bytes>>>>,
    stream: Rc<RefCell<TcpStream>>,
    state: Rc<ExchangeState>,
}

/// Says whether a byte of a connection's present request has been written, also after the exchange was given up. A
/// partly written request counts as written: when in doubt, it may have been processed.
pub(crate) struct WriteStatus(Rc<ExchangeState>);

impl WriteStatus {
    /// Whether a byte has been written.
    pub(crate) fn any_written(&self) -> bool {
        self.0.request_begun.get()
    }
}

impl HttpConnection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// What the operating system says of the connection.
    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(RefCell::new(stream));
        let state = Rc::<ExchangeState>::default();
        let io = TokioIo::new(ObservedStream::new(stream.clone(), state.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        Ok(HttpConnection { sender, driver: Box::pin(driver), stream, state })
    }

    /// What says whether the present request was written.
    pub(crate) fn write_status(&self) -> WriteStatus {
        WriteStatus(self.state.clone())
    }

    /// Whether the connection can carry another request: the far end may have closed it meanwhile, or sent more than
    /// belonged to its last response, which would be taken for the next one. The runtime may not have noticed either
    /// yet, so the socket itself is asked too.
    pub(crate) fn is_usable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.state.response_begun.set(false);
        let idle = self.driver.as_mut().poll(&mut cx).is_pending() && self.sender.is_ready();
        // hyper may have read bytes in this very turn that it would complain of in the next.
        let waiting = SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        let surplus = self.state.response_begun.get() || matches!(waiting, Ok(1));
        self.state.surplus_received.set(surplus);
        idle && !surplus && matches!(waiting, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether what made the connection unusable when that was last asked was more than belonged to its response.
    pub(crate) fn received_surplus(&self) -> bool {
        self.state.surplus_received.get()
    }

    /// Sends a request and waits for the whole response.
    ///
    /// # Errors
    ///
    /// When no whole response arrives, or one beyond the bounds. The connection is then of no further use.
    pub(crate) async fn exchange(
        &mut self,
        mut request: Request<Full<Bytes>>,
        max_body_bytes: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.state.reset();
        let interim_responses = self.state.interim_responses.clone();
        on_informational(&mut request, move |_| {
            interim_responses.fetch_add(1, Relaxed);
        });
        let mut response = pin!(read_response(self.sender.send_request(request), max_body_bytes));
        let (driver, state) = (&mut self.driver, &self.state);
        let mut driver_ended = false;
        let mut watchdog = ResponseWatchdog::default();
        poll_fn(|cx| {
            if let Poll::Ready(response) = response.as_mut().poll(cx) {
                return Poll::Ready(response.ok_or_else(|| failure(state)));
            }
            // The driver writes what the request queued, and a response that it reads is taken up in the same turn.
            // Once it has ended, it must not be polled again.
            if !driver_ended {
                driver_ended = driver.as_mut().poll(cx).is_ready();
            }
            if let Poll::Ready(response) = response.as_mut().poll(cx) {
                return Poll::Ready(response.ok_or_else(|| failure(state)));
            }
            if driver_ended {
                return Poll::Ready(Err(failure(state)));
            }
            watchdog.poll(cx, state).map(Err)
        })
        .await
    }
}

/// Reads a response with its body; none where it cannot be read or is too large.
async fn read_response(
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    max_body_bytes: usize,
) -> Option<Response<Bytes>> {
    let (head, body) = response.await.ok()?.into_parts();
    // A body whose announced length is too large is not waited for.
    if body.size_hint().lower() > max_body_bytes as u64 {
        return None;
    }
    let body = Limited::new(body, max_body_bytes).collect().await.ok()?;
    Some(Response::from_parts(head, body.to_bytes()))
}

fn failure(state: &ExchangeState) -> ExchangeError {
    match state.connection_ended.get() {
        true => ExchangeError::ConnectionLost,
        false => ExchangeError::InvalidResponse,
    }
}

/// Bounds how long a response that has begun may take, and how many interim responses may precede it.
#[derive(Default)]
struct ResponseWatchdog {
    interim_seen: u32,
    timeout: Option<Pin<Box<Sleep>>>,
}

impl ResponseWatchdog {
    /// Ready with the error when a bound is passed.
    fn poll(&mut self, cx: &mut Context<'_>, state: &ExchangeState) -> Poll<ExchangeError> {
        let interim = state.interim_responses.load(Relaxed);
        if interim > self.interim_seen {
            // What arrived was an interim response; the final one has not begun.
            self.interim_seen = interim;
            self.timeout = None;
            state.response_begun.set(false);
        }
        if interim > MAX_INTERIM_RESPONSES {
            return Poll::Ready(ExchangeError::InvalidResponse);
        }
        if !state.response_begun.get() {
            return Poll::Pending;
        }
        let timeout = self.timeout.get_or_insert_with(|| Box::pin(sleep(RESPONSE_TIMEOUT)));
        timeout.as_mut().poll(cx).map(|()| ExchangeError::InvalidResponse)
    }
}
