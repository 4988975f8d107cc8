//! Reports when the lease on the list runs out.
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Calls `on_expired` once each time that the lease runs out, until the sender of `expires_at` is dropped.
///
/// A renewal at the moment of expiry counts: the channel is polled before the clock, so that a lease which
/// was renewed in time is never reported as expired.
pub(super) async fn report_lease_expiry(
    mut expires_at: watch::Receiver<Instant>,
    mut on_expired: impl FnMut(),
) {
    loop {
        let until = *expires_at.borrow_and_update();
        // Nothing is lost on cancellation: `changed` leaves an unseen value marked as changed, and the
        // sleep is set up again from the present lease.
        tokio::select! {
            biased;
            changed = expires_at.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
            () = sleep_until(until) => on_expired(),
        }
        // An expired lease is reported once, so the next renewal is awaited first.
        if expires_at.changed().await.is_err() {
            return;
        }
    }
}
