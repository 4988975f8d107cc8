//! An HTTP/1.1 client connection that carries one request at a time, for endpoints, discovery and the quota
//! counter.
//!
//! The connection and the request are driven by the same future. Dropping that future closes the socket at
//! once, so no request outlives its attempt, and nothing is ever sent again.
mod idle_check;
mod observed_stream;
#[cfg(test)]
mod tests;

pub(crate) use self::idle_check::IdleCheck;
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

/// The maximum size of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long a response may take to arrive once it has begun. Endpoints write a response in one go, so one
/// that is incomplete after this time will never be completed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Why an exchange brought no complete response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// The connection broke or ended.
    #[error("the connection was lost")]
    ConnectionLost,
    /// The connection stayed up, but the response is malformed, incomplete or too large.
    #[error("the response is invalid")]
    InvalidResponse,
}

/// An established connection.
pub(crate) struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<http1::Connection<TokioIo<ObservedStream>, Full<Bytes>>>>,
    stream: Rc<RefCell<TcpStream>>,
    state: Rc<ExchangeState>,
}

/// Shows whether any byte of a connection's current request has been written, even after its exchange was
/// dropped. A partly written request counts as written, because it may have been processed.
pub(crate) struct WriteStatus(Rc<ExchangeState>);

impl WriteStatus {
    /// Whether a byte has been written.
    pub(crate) fn any_written(&self) -> bool {
        self.0.request_begun.get()
    }
}

impl HttpConnection {
    /// Establishes a connection.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the connection cannot be established.
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

    /// Returns a handle that shows whether the current request was written.
    pub(crate) fn write_status(&self) -> WriteStatus {
        WriteStatus(self.state.clone())
    }

    /// Whether the connection can carry another request; see [`check_idle`](Self::check_idle).
    pub(crate) fn is_usable(&mut self) -> bool {
        self.check_idle() == IdleCheck::Usable
    }

    /// Looks at a connection that carries no request.
    ///
    /// The runtime may not have noticed yet what the far end did, so this also looks at the socket itself.
    pub(crate) fn check_idle(&mut self) -> IdleCheck {
        let mut cx = Context::from_waker(Waker::noop());
        self.state.response_begun.set(false);
        let is_ready = self.driver.as_mut().poll(&mut cx).is_pending() && self.sender.is_ready();
        let unread = SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        // hyper may have read surplus bytes during this poll, and would report them as an error only in the
        // next.
        IdleCheck::new(is_ready, self.state.response_begun.get(), &unread)
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives or it exceeds a limit. The connection cannot be used again then.
    /// Dropping the future closes nothing by itself: the connection must be dropped with it.
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
                return Poll::Ready(response.ok_or_else(|| exchange_error(state)));
            }
            // The driver writes the queued request, and reads a response that the second poll below picks up.
            // Once it has ended, it must not be polled again.
            if !driver_ended {
                driver_ended = driver.as_mut().poll(cx).is_ready();
            }
            if let Poll::Ready(response) = response.as_mut().poll(cx) {
                return Poll::Ready(response.ok_or_else(|| exchange_error(state)));
            }
            if driver_ended {
                return Poll::Ready(Err(exchange_error(state)));
            }
            watchdog.poll(cx, state).map(Err)
        })
        .await
    }
}

/// Reads a response with its body. Returns `None` if it cannot be read or is too large.
async fn read_response(
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    max_body_bytes: usize,
) -> Option<Response<Bytes>> {
    let (head, body) = response.await.ok()?.into_parts();
    // A body whose declared length is too large is not read at all.
    if body.size_hint().lower() > max_body_bytes as u64 {
        return None;
    }
    let body = Limited::new(body, max_body_bytes).collect().await.ok()?;
    Some(Response::from_parts(head, body.to_bytes()))
}

fn exchange_error(state: &ExchangeState) -> ExchangeError {
    match state.connection_lost.get() {
        true => ExchangeError::ConnectionLost,
        false => ExchangeError::InvalidResponse,
    }
}

/// Limits the duration of a response once it has begun, and the number of interim responses before it.
#[derive(Default)]
struct ResponseWatchdog {
    interim_seen: u32,
    timeout: Option<Pin<Box<Sleep>>>,
}

impl ResponseWatchdog {
    /// Returns the error once a limit is exceeded.
    fn poll(&mut self, cx: &mut Context<'_>, state: &ExchangeState) -> Poll<ExchangeError> {
        let interim = state.interim_responses.load(Relaxed);
        if interim > self.interim_seen {
            // Only an interim response has arrived: the final one has not begun.
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
