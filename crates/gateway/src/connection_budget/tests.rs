//! Tests of the permits for connections.
use super::*;

/// A permit that is not returned would lower the limit permanently, and a permit beyond the limit would
/// exceed the file descriptors of the process. Expected: permits are given up to the limit, and one more for
/// each that is dropped.
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
