//! Binds the addresses that the process listens on, and waits for one that cannot be bound yet.
use crate::logging::target;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long the start waits for an address. A process that was killed may hold it until the kernel has closed
/// all its sockets, and so may a connection of another process that happens to use the port.
const MAX_WAIT: Duration = Duration::from_secs(8);
/// The pause between two attempts to bind an address.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Binds `addr` by calling `bind`, and tries again for [`MAX_WAIT`] if that fails for a reason that may pass.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub(crate) async fn bind_when_free<T, F>(addr: SocketAddr, bind: impl Fn(SocketAddr) -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let give_up_at = Instant::now() + MAX_WAIT;
    let mut is_logged = false;
    loop {
        let error = match bind(addr).await {
            Ok(socket) => return Ok(socket),
            Err(error) => error,
        };
        if !may_pass(&error) || Instant::now() >= give_up_at {
            return Err(error);
        }
        if !is_logged {
            tracing::warn!(
                target: target::LIFECYCLE,
                %addr,
                %error,
                "cannot listen yet; trying again for 8 s"
            );
            is_logged = true;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Returns whether an address that could not be bound may become free, or the resource that was lacking.
fn may_pass(error: &io::Error) -> bool {
    !matches!(error.kind(), io::ErrorKind::PermissionDenied | io::ErrorKind::InvalidInput)
}

#[cfg(test)]
mod tests;
