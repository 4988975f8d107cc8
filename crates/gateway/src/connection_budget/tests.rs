//! The tests of the permits for connections.
use super::*;

#[test]
fn permits_are_given_up_to_the_limit_and_given_back_when_dropped() {
    let budget = ConnectionBudget::new(2);
    let first = budget.try_acquire();
    let second = budget.try_acquire();
    assert!(first.is_some() && second.is_some() && budget.is_exhausted());
    assert!(budget.try_acquire().is_none());
    drop(first);
    assert!(!budget.is_exhausted());
    assert!(budget.try_acquire().is_some());
}
