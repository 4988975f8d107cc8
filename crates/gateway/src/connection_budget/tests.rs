//! The tests of the permits for connections.
use super::*;

/// A permit that is not returned would lower the limit for good, and one too many would exceed the
/// process's descriptors. Expected: permits up to the limit, and a new one for each that is dropped.
#[test]
fn permits_are_limited_and_returned_on_drop() {
    let budget = ConnectionBudget::new(2);
    let first = budget.try_acquire();
    let second = budget.try_acquire();
    assert!(first.is_some() && second.is_some() && budget.is_exhausted());
    assert!(budget.try_acquire().is_none());
    drop(first);
    assert!(!budget.is_exhausted());
    assert!(budget.try_acquire().is_some());
}
