//! How long the endpoint list may be used in outages and after rejections.
use super::{
    policy, reset_watch, schedule_for_polled_lists, silent_call, silent_watch, unreachable, LEASE_DURATION,
};
use crate::discovery::error::DiscoveryError;
use crate::discovery::list_lease::{
    CHANGE_KNOWN_AFTER, CHANGE_KNOWN_AFTER_ADDRESS_CHANGE, LEASE_MARGIN, MAX_REJECTION_RENEWAL,
    REJECTION_RENEWAL,
};
use crate::discovery::refresh_policy::CONNECT_TIMEOUT;
use crate::discovery::refresh_schedule::{CallPosition, CallTimes, RefreshSchedule, RESPONSE_ALLOWANCE};
use irishinge_settings::DiscoveryMode;
use std::time::Duration;
use tokio::time::Instant;

/// Discovery's machine goes down: the open watch gets no response, then nothing is reached any more. No
/// change is published meanwhile, and a gateway whose list expired would reject everything. Expected: the
/// lease stays valid at every moment of the outage, whatever the size of the fleet.
#[test]
fn lease_stays_valid_through_an_outage_of_any_length() {
    for gateways in [1, 300, 100_000] {
        let mut now = Instant::now();
        let mut schedule = schedule_for_polled_lists(gateways, 5, now);
        // The open watch falls silent first, since the machine has gone.
        let CallTimes { wait, response_timeout } = schedule.call_times(CallPosition::Later, now);
        now += wait + response_timeout;
        now += schedule.on_error(&silent_watch(), now);
        for _ in 0..1000 {
            let attempted_at = now;
            now += CONNECT_TIMEOUT;
            assert!(schedule.list_expires_at() > Some(now));
            now += schedule.on_error(&unreachable(attempted_at), now);
            assert!(schedule.list_expires_at() > Some(now));
        }
    }
}

/// A discovery that was reached may have published a change which the gateway did not get. If silence or a
/// reset renewed the lease, the gateway could send to a draining endpoint for ever. Expected: only a list,
/// a rejection, or an outage renews it, an expired lease only a list, and a new address shortens it. A
/// pushed list has no lease.
#[test]
fn lease_is_renewed_only_by_a_list_a_rejection_or_an_outage_in_which_nothing_is_reached() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let until = |errors: &[DiscoveryError], schedule: &mut RefreshSchedule| {
        errors.iter().for_each(|error| _ = schedule.on_error(error, later));
        schedule.list_expires_at().expect("a lease")
    };
    let down = || unreachable(later);
    let fresh = || schedule_for_polled_lists(300, 5, start);
    assert_eq!(until(&[down()], &mut fresh()), later + LEASE_DURATION);
    assert_eq!(until(&[reset_watch(), down()], &mut fresh()), later + LEASE_DURATION);
    assert_eq!(until(&[silent_call()], &mut fresh()), start + LEASE_DURATION);
    assert_eq!(until(&[silent_call(), down()], &mut fresh()), start + LEASE_DURATION);
    assert_eq!(until(&[DiscoveryError::Rejected], &mut fresh()), later + REJECTION_RENEWAL);
    let mut schedule = fresh();
    until(&[silent_call()], &mut schedule);
    schedule.on_list(Duration::ZERO, start);
    assert_eq!(until(&[down()], &mut schedule), later + LEASE_DURATION, "a list makes up for it");
    // An outage does not renew a lease that has expired.
    let mut schedule = schedule_for_polled_lists(300, 5, start - LEASE_DURATION);
    assert_eq!(until(&[down()], &mut schedule), start);
    // At a new address the lease is shorter, and never longer than it was.
    let mut schedule = fresh();
    schedule.on_address_change(later);
    assert_eq!(schedule.list_expires_at(), Some(later + CHANGE_KNOWN_AFTER_ADDRESS_CHANGE - LEASE_MARGIN));
    schedule.on_address_change(start + Duration::from_secs(4));
    assert_eq!(schedule.list_expires_at(), Some(later + CHANGE_KNOWN_AFTER_ADDRESS_CHANGE - LEASE_MARGIN));
    schedule.on_error(&DiscoveryError::Rejected, start + Duration::from_secs(4));
    assert_eq!(
        schedule.list_expires_at(),
        Some(later + CHANGE_KNOWN_AFTER_ADDRESS_CHANGE - LEASE_MARGIN),
        "rejections do not renew it either"
    );
    // A pushed list never expires.
    let mut schedule = RefreshSchedule::new(policy(DiscoveryMode::Pushed, 300, 2000.0), 5, start);
    schedule.on_address_change(start);
    schedule.on_error(&silent_call(), later);
    assert_eq!(schedule.list_expires_at(), None);
}

/// In an outage of ten seconds a proxy rejects calls, at once or after 2 s. Expected: the list stays valid,
/// calls stay frequent, and the first one after the outage is answered before a change must be acted on. In
/// an outage without end the list must expire, since a gateway cannot know whether discovery is only
/// overloaded and has changes.
#[test]
fn lease_is_renewed_by_rejections_for_as_long_as_an_outage_and_no_longer() {
    const MIN_GRACE: Duration = Duration::from_secs(2);
    const REJECTED_AFTER: [Duration; 2] = [Duration::from_millis(2), Duration::from_secs(2)];
    for (seed, rejected_after) in (0..200).flat_map(|seed| REJECTED_AFTER.map(|after| (seed, after))) {
        let start = Instant::now();
        let mut schedule = schedule_for_polled_lists(300, seed, start);
        let wait = schedule.call_times(CallPosition::Later, start).wait;
        let back = start + wait + Duration::from_secs(10);
        // The open watch is rejected first.
        let mut now = start + wait;
        now += schedule.on_error(&DiscoveryError::Rejected, now);
        while now < back {
            now += rejected_after;
            now += schedule.on_error(&DiscoveryError::Rejected, now);
            assert!(schedule.list_expires_at() > Some(now), "{:?}", now - start);
        }
        assert!(
            now + RESPONSE_ALLOWANCE < back + CHANGE_KNOWN_AFTER + MIN_GRACE - LEASE_MARGIN,
            "the list came {:?} after the return",
            now - back
        );
        while now < start + 2 * MAX_REJECTION_RENEWAL {
            now += rejected_after + schedule.on_error(&DiscoveryError::Rejected, now);
        }
        assert!(
            schedule.list_expires_at() <= Some(start + MAX_REJECTION_RENEWAL),
            "{:?}",
            schedule.list_expires_at().map(|u| u - start)
        );
    }
}
