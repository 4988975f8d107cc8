//! Reports when the lease on the endpoint list expires.
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Calls `on_expired` once for each expiry of the lease, and returns when the sender of `expires_at` is
/// dropped.
///
/// A renewal at the moment of expiry is in time: the channel is polled before the timer, so that a lease that
/// was renewed in time is never reported as expired.
pub(super) async fn report_lease_expiry(
    mut expires_at: watch::Receiver<Instant>,
    mut on_expired: impl FnMut(),
) {
    loop {
        let until = *expires_at.borrow_and_update();
        // Both branches are cancellation safe: `changed` leaves an unseen value marked as changed, and the
        // next iteration starts the sleep again from the current lease.
        tokio::select! {
            biased;
            changed = expires_at.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            () = sleep_until(until) => on_expired(),
        }
        // Without waiting for the next renewal, the same expiry would be reported again.
        if expires_at.changed().await.is_err() {
            return;
        }
    }
}
