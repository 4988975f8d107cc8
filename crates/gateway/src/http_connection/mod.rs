//! An HTTP/1.1 client connection that carries one request at a time, for endpoints, discovery and the quota
//! counter.
//!
//! The same future drives the connection and the request. Dropping that future together with the connection
//! closes the socket at once, so no request outlives its attempt. A connection never sends a request twice,
//! and carries the next one only some time after a response ([`reuse_delay`]).
mod exchange_error;
mod exchange_state;
mod idle_check;
mod response_body;
mod response_limits;
mod response_watchdog;
mod reuse_delay;
#[cfg(test)]
mod tests;
mod write_permission;

pub(crate) use self::exchange_error::ExchangeError;
use self::exchange_state::ExchangeState;
pub(crate) use self::idle_check::IdleCheck;
use self::response_body::read_body;
pub(crate) use self::response_body::BodyLimit;
use self::response_watchdog::ResponseWatchdog;
use self::reuse_delay::ReuseDelay;
pub(crate) use self::reuse_delay::REUSE_DELAY;
pub(crate) use self::write_permission::{always_permitted, WriteProgress};
use crate::observed_stream::ObservedStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
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
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The maximum size of a response's head (status line and headers), in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// hyper's connection over a stream that records the progress of the exchange.
type Driver = http1::Connection<TokioIo<ObservedStream<ExchangeState>>, Full<Bytes>>;

/// An established connection to a server.
pub(crate) struct HttpConnection {
    /// hyper's handle for sending requests.
    sender: http1::SendRequest<Full<Bytes>>,
    /// hyper's connection, which writes requests and reads responses while it is polled.
    driver: Pin<Box<Driver>>,
    /// The address of the server.
    server_addr: SocketAddr,
    /// The socket, shared with `driver`.
    stream: Rc<RefCell<TcpStream>>,
    /// The progress of the current exchange.
    state: Rc<ExchangeState>,
    /// How long the connection may not carry another request.
    reuse_delay: ReuseDelay,
}

/// A handle that shows whether any byte of a connection's current request has been written, even after the
/// future of its exchange was dropped. A partly written request counts as written, because the server may
/// have processed it.
pub(crate) struct WriteStatus(Rc<ExchangeState>);

impl WriteStatus {
    /// Returns whether any byte of the request has been written.
    pub(crate) fn any_written(&self) -> bool {
        self.0.any_bytes_written.get()
    }
}

impl HttpConnection {
    /// Establishes a connection to `addr`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, or hyper's, if the connection cannot be established.
    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(RefCell::new(stream));
        let state = Rc::<ExchangeState>::default();
        let io = TokioIo::new(ObservedStream::new(stream.clone(), state.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let reuse_delay = ReuseDelay::default();
        Ok(HttpConnection { sender, driver: Box::pin(driver), server_addr: addr, stream, state, reuse_delay })
    }

    /// Returns the address of the server.
    pub(crate) fn server_addr(&self) -> SocketAddr {
        self.server_addr
    }

    /// Returns a handle that shows whether any byte of the current request has been written.
    pub(crate) fn write_status(&self) -> WriteStatus {
        WriteStatus(self.state.clone())
    }

    /// Returns whether the reuse delay after the last response has passed, so that an exchange would begin at
    /// once.
    pub(crate) fn is_reuse_delay_over(&self) -> bool {
        self.reuse_delay.is_over(Instant::now())
    }

    /// Checks the connection, which must have no request in progress.
    ///
    /// The runtime may not have reported yet that the server has closed the connection or sent bytes, so this
    /// method also inspects the socket itself.
    pub(crate) fn check_idle(&mut self) -> IdleCheck {
        let mut cx = Context::from_waker(Waker::noop());
        self.state.any_bytes_read.set(false);
        let is_ready = self.driver.as_mut().poll(&mut cx).is_pending() && self.sender.is_ready();
        let unread = SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()]);
        // hyper may have read surplus bytes during this poll, and would report them as an error only
        // during the next one.
        IdleCheck::new(is_ready, self.state.any_bytes_read.get(), &unread)
    }

    /// Sends a request and waits for the complete response. The request is written only once the reuse delay
    /// after the previous response has passed.
    ///
    /// `may_write` is asked right before each write, because a reason against the request may arise while it
    /// waits: before its first byte, and again before each further part if the server reads slowly.
    ///
    /// # Errors
    ///
    /// Fails with [`ExchangeError::WriteNotPermitted`] if `may_write` returned `false` before the request was
    /// passed to hyper; the connection can carry another request then. Fails with
    /// another error if no complete response arrives or if the response exceeds a limit. The connection must
    /// not be used again then. Dropping the future does not close the connection; the connection must be
    /// dropped too.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        body_limit: impl Into<BodyLimit<'_>>,
        may_write: impl Fn(WriteProgress) -> bool,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.state.reset();
        self.wait_for_reuse().await?;
        if !may_write(WriteProgress::NothingWritten) {
            return Err(ExchangeError::WriteNotPermitted);
        }
        let response = self.send_and_receive(request, body_limit.into(), may_write).await?;
        self.reuse_delay.begin(Instant::now());
        // If the option is not supported, acknowledgements may be late, which is no error of this exchange.
        let _ = self.stream.borrow().set_quickack(true);
        Ok(response)
    }

    /// Waits until the reuse delay after the last response has passed.
    ///
    /// This method is cancel safe: it changes nothing.
    pub(crate) async fn reuse_delay_over(&self) {
        self.reuse_delay.wait().await;
    }

    /// Waits until the reuse delay after the last response has passed, and checks the connection.
    /// [`exchange`](Self::exchange) does so too; this method is for callers that time their exchange without
    /// the wait.
    ///
    /// # Errors
    ///
    /// Fails if the connection was closed meanwhile or has received surplus bytes. It must not be used again
    /// then.
    pub(crate) async fn wait_for_reuse(&mut self) -> Result<(), ExchangeError> {
        if self.is_reuse_delay_over() {
            return Ok(());
        }
        self.reuse_delay_over().await;
        match self.check_idle() {
            IdleCheck::Usable => Ok(()),
            IdleCheck::SurplusBytes => Err(ExchangeError::SurplusBytes),
            IdleCheck::Closed => Err(ExchangeError::ConnectionLost),
        }
    }

    /// Writes a request and reads the complete response.
    async fn send_and_receive(
        &mut self,
        mut request: Request<Full<Bytes>>,
        body_limit: BodyLimit<'_>,
        may_write: impl Fn(WriteProgress) -> bool,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let interim_responses = self.state.interim_responses.clone();
        on_informational(&mut request, move |_| {
            interim_responses.fetch_add(1, Relaxed);
        });
        let (driver, state) = (&mut self.driver, &self.state);
        let mut response = pin!(read_response(self.sender.send_request(request), body_limit, state));
        let mut driver_ended = false;
        let mut watchdog = ResponseWatchdog::default();
        poll_fn(|cx| {
            if let Poll::Ready(response) = response.as_mut().poll(cx) {
                return Poll::Ready(response.ok_or_else(|| ExchangeError::from_state(state)));
            }
            // Only the driver writes, so nothing can come between this question and the write.
            if state.unfinished_write().is_some_and(|progress| !may_write(progress)) {
                return Poll::Ready(Err(ExchangeError::WriteInterrupted));
            }
            // The driver writes the queued request, and reads a response that the second poll of `response`
            // below returns. The driver must not be polled again once it has ended.
            if !driver_ended {
                driver_ended = driver.as_mut().poll(cx).is_ready();
            }
            if let Poll::Ready(response) = response.as_mut().poll(cx) {
                return Poll::Ready(response.ok_or_else(|| ExchangeError::from_state(state)));
            }
            if driver_ended {
                return Poll::Ready(Err(ExchangeError::from_state(state)));
            }
            watchdog.poll(cx, state).map(Err)
        })
        .await
    }
}

/// Reads a response with its body. Returns `None` if it cannot be read or is too large.
async fn read_response(
    response: impl Future<Output = hyper::Result<Response<Incoming>>>,
    body_limit: BodyLimit<'_>,
    state: &ExchangeState,
) -> Option<Response<Bytes>> {
    let (head, body) = response.await.ok()?.into_parts();
    let body = read_body(body, body_limit, state).await?;
    Some(Response::from_parts(head, body))
}
