//! The test of the report that the lease on the list has expired.
use crate::discovery::lease_expiry::report_lease_expiry;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// A lease is repeatedly renewed at the moment of its expiry, then shortened, then left to expire. If a lease
/// that was renewed in time were reported as expired, a healthy gateway would stop sending. If an expiry were
/// not reported, the gateway would send to endpoints of a list that is too old. Expected, in simulated time:
/// one report for each expiry, and none after a renewal in time.
#[tokio::test(start_paused = true)]
async fn lease_expiry_is_reported_once_until_renewal() {
    let second = Duration::from_secs(1);
    let mut until = Instant::now() + second;
    let (renew, expires_at) = watch::channel(until);
    let reported = Arc::new(AtomicUsize::new(0));
    let counted = reported.clone();
    tokio::spawn(report_lease_expiry(expires_at, move || _ = counted.fetch_add(1, Relaxed)));
    for _ in 0..10 {
        sleep_until(until).await;
        until += second;
        renew.send_replace(until);
    }
    tokio::task::yield_now().await;
    assert_eq!(reported.load(Relaxed), 0);
    // The lease is shortened.
    renew.send_replace(until - second / 2);
    sleep_until(until - second / 4).await;
    assert_eq!(reported.load(Relaxed), 1);
    sleep(100 * second).await;
    assert_eq!(reported.load(Relaxed), 1);
    renew.send_replace(Instant::now() + second);
    sleep(2 * second).await;
    assert_eq!(reported.load(Relaxed), 2);
}
