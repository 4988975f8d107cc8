//! A limit on the memory that requests, or responses, take together.
use bytes::Bytes;
use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::sync::Notify;

/// What must stay free of the budget for requests that need less, so that clients that stop within large
/// requests leave room for small ones.
struct ReservedForSmaller {
    /// The number of bytes from which this applies to a request.
    min_bytes: usize,
    /// The fraction of the budget that must stay free.
    free_fraction: f64,
}

/// The reservations, the largest requests first.
const RESERVATIONS: [ReservedForSmaller; 2] = [
    ReservedForSmaller { min_bytes: 8 * 1024, free_fraction: 0.25 },
    ReservedForSmaller { min_bytes: 2 * 1024, free_fraction: 0.15 },
];

/// A budget of bytes that are kept in memory, such as those of requests or of responses.
pub(crate) struct ByteBudget {
    /// What the permits share.
    shared: Arc<Shared>,
    /// The maximum number of bytes whose permits have not been returned.
    limit: usize,
    /// The number of callers that wait for a permit.
    waiting: Cell<usize>,
    /// Notified when a caller begins to wait for a permit.
    wait_began: Notify,
}

/// What a budget and its permits share. A permit may be dropped with bytes that hyper keeps, which have to be
/// `Send`.
#[derive(Debug, Default)]
struct Shared {
    /// The number of bytes whose permits have not been returned.
    used: AtomicUsize,
    /// Notified when a permit is returned.
    returned: Notify,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        ByteBudget { shared: Arc::default(), limit, waiting: Cell::new(0), wait_began: Notify::new() }
    }

    /// Returns a permit for `length` bytes, or `None` if they do not fit.
    pub(crate) fn try_acquire(&self, length: usize) -> Option<BytePermit> {
        let reservation = RESERVATIONS.iter().find(|reservation| length >= reservation.min_bytes);
        let reserved = reservation.map_or(0.0, |found| self.limit as f64 * found.free_fraction);
        let used = self.used() + length;
        if used + reserved as usize > self.limit {
            return None;
        }
        self.shared.used.store(used, Relaxed);
        Some(BytePermit { shared: self.shared.clone(), length })
    }

    /// Returns a permit for `length` bytes, and waits until they fit.
    ///
    /// This method is cancel safe: a permit that nobody takes is not acquired.
    pub(crate) async fn acquire(&self, length: usize) -> BytePermit {
        if let Some(permit) = self.try_acquire(length) {
            return permit;
        }
        let _waiting = WaitingCaller::new(&self.waiting);
        self.wait_began.notify_one();
        loop {
            // Created before the attempt, so that a permit that is returned after it is noticed.
            let returned = self.shared.returned.notified();
            if let Some(permit) = self.try_acquire(length) {
                return permit;
            }
            returned.await;
        }
    }

    /// Waits until a caller waits for a permit.
    pub(crate) async fn has_waiting_caller(&self) {
        while self.waiting.get() == 0 {
            self.wait_began.notified().await;
        }
    }

    /// Returns the number of bytes whose permits have not been returned.
    pub(crate) fn used(&self) -> usize {
        self.shared.used.load(Relaxed)
    }
}

/// Counts a caller that waits for a permit, until it is dropped.
struct WaitingCaller<'a>(&'a Cell<usize>);

impl<'a> WaitingCaller<'a> {
    /// Counts one more caller in `waiting`.
    fn new(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        WaitingCaller(waiting)
    }
}

impl Drop for WaitingCaller<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A permit for a number of bytes. Dropping the permit returns it to its budget.
#[derive(Debug)]
pub(crate) struct BytePermit {
    /// The count of the budget.
    shared: Arc<Shared>,
    /// The number of bytes of this permit.
    length: usize,
}

impl BytePermit {
    /// Returns the number of bytes of the permit.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    /// Returns the part of the permit that is beyond `length` bytes to the budget.
    pub(crate) fn shrink_to(&mut self, length: usize) {
        let excess = self.length.saturating_sub(length);
        self.length -= excess;
        self.shared.give_back(excess);
    }

    /// Returns `data` as bytes that hold the permit until the last copy of them is dropped.
    pub(crate) fn attach(self, data: Vec<u8>) -> Bytes {
        Bytes::from_owner(PermittedBytes { data, _permit: self })
    }
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        self.shared.give_back(self.length);
    }
}

impl Shared {
    /// Counts `length` bytes less, and wakes the callers that wait for a permit.
    fn give_back(&self, length: usize) {
        self.used.fetch_sub(length, Relaxed);
        self.returned.notify_waiters();
    }
}

/// Bytes with the permit for them.
struct PermittedBytes {
    /// The bytes.
    data: Vec<u8>,
    /// The permit, which is returned to its budget when the bytes are dropped.
    _permit: BytePermit,
}

impl AsRef<[u8]> for PermittedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

#[cfg(test)]
mod tests;
