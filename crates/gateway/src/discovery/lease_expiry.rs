//! Reports when the lease on the list runs out.
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Calls `on_expired` once each time that the lease runs out, until the sender of `expires_at` is dropped.
///
/// A renewal at the very moment of expiry counts: the channel is polled before the clock.
pub(super) async fn report_lease_expiry(
    mut expires_at: watch::Receiver<Instant>,
    mut on_expired: impl FnMut(),
) {
    loop {
        let until = *expires_at.borrow_and_update();
        tokio::select! {
            biased;
            changed = expires_at.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            () = sleep_until(until) => on_expired(),
        }
        if expires_at.changed().await.is_err() {
            return;
        }
    }
}
