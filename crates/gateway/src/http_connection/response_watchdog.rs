//! The limits on a response that arrives slowly or is preceded by interim responses.
use super::exchange_error::ExchangeError;
use super::exchange_state::ExchangeState;
use super::response_limits::{MAX_INTERIM_RESPONSES, RESPONSE_COMPLETION_TIMEOUT};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::Ordering::Relaxed;
use std::task::{Context, Poll};
use tokio::time::{sleep, Sleep};

/// Limits the time that a response may take once its first byte has arrived, and the number of interim
/// responses before it.
#[derive(Default)]
pub(super) struct ResponseWatchdog {
    /// The number of interim responses at the last poll.
    interim_seen: u32,
    /// The sleep until [`RESPONSE_COMPLETION_TIMEOUT`] after the first byte of the response; `None` before
    /// that byte, after an interim response and while there is no memory for the body.
    timeout: Option<Pin<Box<Sleep>>>,
}

impl ResponseWatchdog {
    /// Returns the error when a limit is exceeded.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, state: &ExchangeState) -> Poll<ExchangeError> {
        let interim = state.interim_responses.load(Relaxed);
        if interim > self.interim_seen {
            // The bytes that have arrived belong to an interim response; the final one has not begun.
            self.interim_seen = interim;
            self.timeout = None;
            state.any_bytes_read.set(false);
        }
        if interim > MAX_INTERIM_RESPONSES {
            return Poll::Ready(ExchangeError::InvalidResponse);
        }
        if state.awaits_memory.get() {
            self.timeout = None;
        }
        if state.awaits_memory.get() || !state.any_bytes_read.get() {
            return Poll::Pending;
        }
        let timeout = self.timeout.get_or_insert_with(|| Box::pin(sleep(RESPONSE_COMPLETION_TIMEOUT)));
        timeout.as_mut().poll(cx).map(|()| ExchangeError::InvalidResponse)
    }
}
