//! Gossip mode: which gateway owns a quota, what the owner decides, and what a gateway does without a
//! response.
use super::is_close;
use crate::id::{CustomerKey, GatewayIndex};
use crate::messages::quota_message::{QuotaVerdict, SamplingFraction};
use crate::policy::quota_owner::ceiling_fraction::{ceiling_fraction_by_ranking, even_ceiling_fraction};
use crate::policy::quota_owner::fallback_decision::{decide_without_owner, WithoutOwnerInput};
use crate::policy::quota_owner::owner_sampling::{
    sampling_fraction_at_age, wanted_sampling_fraction, QuotaDemand,
};
use crate::policy::quota_owner::owner_selection::{select_owner, suspected_until_ms};
use crate::policy::quota_owner::owner_verdict::{
    decide_quota_request, grant_extension_ms, has_free_slot, verdict_to_send, OwnedQuota,
};
use crate::policy::quota_owner::quota_request_route::{
    grant_useful_until_ms, response_wait_ms, route_after_missed_response, route_quota_request,
    QuotaRouteInput,
};
use crate::policy::quota_owner::unit_bounds::{bounded_release_units, bounded_request_units};
use crate::settings::PlanSettings;
use crate::state::{GatewaySet, QuotaExpectation, QuotaRoute, QuotaState, RankedGateway};
use crate::tests::plan_builder::{paying_plan, quota_plan};

#[test]
fn verdict_checks_ceiling_then_quota_then_slots() {
    let quota = quota_plan(10.0, 40.0);
    let ceiling = PlanSettings { ceiling_rate_per_second: 5.0, ..paying_plan(10.0, 40.0) };
    let slots = PlanSettings { concurrency_limit: 3, ..quota_plan(0.0, 0.0) };
    // Plan, quota tokens, ceiling tokens, granted and waiting requests, expected verdict; a request of 2
    // units.
    let cases = [
        (&quota, 2.0, 0.0, 9, 9, QuotaVerdict::Granted),
        (&quota, 1.9, 0.0, 0, 0, QuotaVerdict::Refused),
        (&paying_plan(10.0, 40.0), 1.9, 0.0, 0, 0, QuotaVerdict::OverQuotaAllowed),
        (&ceiling, 2.0, 2.0, 0, 0, QuotaVerdict::Granted),
        (&ceiling, 2.0, 1.9, 0, 0, QuotaVerdict::Refused),
        (&ceiling, 1.9, 1.9, 0, 0, QuotaVerdict::Refused),
        (&slots, 0.0, 0.0, 2, 0, QuotaVerdict::Granted),
        (&slots, 0.0, 0.0, 3, 0, QuotaVerdict::Queued),
        // Four requests may wait for each of the three slots.
        (&slots, 0.0, 0.0, 3, 11, QuotaVerdict::Queued),
        (&slots, 0.0, 0.0, 3, 12, QuotaVerdict::Refused),
    ];
    for (plan, quota_tokens, ceiling_tokens, granted_requests, waiting_requests, expected) in cases {
        let owned = OwnedQuota { quota_tokens, ceiling_tokens, granted_requests, waiting_requests };
        assert_eq!(decide_quota_request(plan, owned, 2.0), expected, "{plan:?} {owned:?}");
    }
}

#[test]
fn grant_is_ample_above_half_the_burst_without_slots() {
    let quota = quota_plan(10.0, 40.0);
    let slots = PlanSettings { concurrency_limit: 3, ..quota_plan(10.0, 40.0) };
    let cases = [
        (&quota, QuotaVerdict::Granted, 20.1, QuotaVerdict::GrantedAmple),
        (&quota, QuotaVerdict::Granted, 20.0, QuotaVerdict::Granted),
        (&slots, QuotaVerdict::Granted, 40.0, QuotaVerdict::Granted),
        (&quota_plan(0.0, 40.0), QuotaVerdict::Granted, 40.0, QuotaVerdict::Granted),
        (&quota, QuotaVerdict::Queued, 40.0, QuotaVerdict::Queued),
    ];
    for (plan, verdict, tokens_left, expected) in cases {
        assert_eq!(verdict_to_send(plan, verdict, tokens_left), expected, "{verdict:?} {tokens_left}");
    }
}

/// The fraction stays between a twentieth and 1.
#[test]
fn wanted_sampling_covers_one_and_a_half_times_grants_or_plan_rate() {
    // Units requested and granted per second, expected fraction; a plan with a rate of 4 units per second.
    let cases = [(6.0, 4.0, 1.0), (12.0, 4.0, 0.5), (12.0, 0.0, 0.5), (12.0, 6.0, 0.75), (1000.0, 4.0, 0.05)];
    for (requested_per_second, granted_per_second, expected) in cases {
        let demand = QuotaDemand { requested_per_second, granted_per_second, plan_rate_per_second: 4.0 };
        assert!(is_close(wanted_sampling_fraction(demand), expected), "{demand:?}");
    }
}

/// The owner doesn't see the requests that are not sampled, so the fraction must rise again by itself.
#[test]
fn sampling_fraction_returns_to_1_within_3_s() {
    for (age_ms, expected) in [(0.0, 0.2), (1500.0, 0.6), (3000.0, 1.0), (9000.0, 1.0)] {
        assert!(is_close(sampling_fraction_at_age(0.2, age_ms), expected), "{age_ms}");
    }
}

#[test]
fn owner_is_lowest_ranked_gateway_that_is_not_suspected() {
    let ranking =
        || [(30, 5), (10, 6), (20, 7)].map(|(rank, n)| RankedGateway { rank, gateway: GatewayIndex(n) });
    let this_gateway = GatewayIndex(9);
    let owner = |suspected: &[usize]| {
        select_owner(ranking().into_iter(), |g| suspected.contains(&g.0), this_gateway).0
    };
    assert_eq!([owner(&[]), owner(&[6]), owner(&[6, 7]), owner(&[5, 6, 7])], [6, 7, 5, 9]);
}

/// If gateways ranked differently, several of them would each grant the customer's whole quota.
#[test]
fn every_gateway_selects_the_same_owner() {
    let (set, key) = (GatewaySet::new(GatewayIndex(90), 20, 100), CustomerKey(7));
    let owners = set.members().map(|gateway| select_owner(set.rendezvous_ranking(key), |_| false, gateway));
    let owners: Vec<GatewayIndex> = owners.collect();
    assert!(owners.iter().all(|owner| *owner == owners[0]), "{owners:?}");
    assert_eq!(set.ranking_position(key, owners[0]), 0);
}

/// One lost datagram must not move a quota to another owner. After a second missed response, the gateway is
/// taken to be down.
#[test]
fn gateway_is_suspected_for_2500_ms_after_two_missed_responses() {
    assert_eq!([1, 2, 3].map(|missed| suspected_until_ms(missed, 100.0)), [None, Some(2600.0), Some(2600.0)]);
}

#[test]
fn quota_request_is_sent_if_sampled_and_a_message_token_is_left() {
    let (all, half) = (SamplingFraction::ALL, SamplingFraction::nearest(0.5));
    let without_owner = QuotaRoute::WithoutOwner;
    // Whether this gateway owns the quota, resends, sampling fraction, draw, message tokens, expected route.
    let cases = [
        (true, 0, half, 0.9, 0.0, QuotaRoute::ToOwner),
        (false, 0, half, 0.4, 1.0, QuotaRoute::ToOwner),
        (false, 0, half, 0.9, 1.0, without_owner(QuotaExpectation::Over)),
        (false, 1, half, 0.9, 1.0, QuotaRoute::ToOwner),
        (false, 0, half, 0.4, 0.9, without_owner(QuotaExpectation::Over)),
        (false, 0, all, 0.9, 0.9, without_owner(QuotaExpectation::Within)),
        (false, 0, all, 1.0, 1.0, QuotaRoute::ToOwner),
    ];
    for (owns_quota, resends, sampling, draw, message_tokens, expected) in cases {
        let input = QuotaRouteInput { owns_quota, resends, sampling, draw, message_tokens };
        assert_eq!(route_quota_request(input), expected, "{input:?}");
    }
}

#[test]
fn quota_request_is_resent_at_most_three_times_and_above_half_the_tokens() {
    let without_owner = QuotaRoute::WithoutOwner(QuotaExpectation::Within);
    let cases = [
        (0, 21.1, QuotaRoute::ToOwner),
        (2, 21.1, QuotaRoute::ToOwner),
        (3, 21.1, without_owner),
        (0, 21.0, without_owner),
    ];
    for (resends, tokens, expected) in cases {
        assert_eq!(route_after_missed_response(resends, tokens, 42.0), expected, "{resends} {tokens}");
    }
}

#[test]
fn response_wait_is_at_least_60_ms_and_grant_extension_two_objectives() {
    // A tenth of the shortest objective, but at least 60 ms.
    assert_eq!([500.0, 600.0, 1000.0].map(response_wait_ms), [60.0, 60.0, 100.0]);
    // 0.8 mean response times before the objective or the deadline, whichever is earlier.
    assert!(is_close(grant_useful_until_ms(900.0, 2000.0, 50.0), 860.0));
    assert!(is_close(grant_useful_until_ms(900.0, 700.0, 50.0), 660.0));
    // As long as an attempt may take: two objectives.
    assert_eq!(grant_extension_ms(1500.0), 3000.0);
}

#[test]
fn without_owner_bucket_decides_below_credit_threshold_if_no_ceiling() {
    let own_bucket = QuotaState::LocalBucket { within_quota: true };
    let over_quota = QuotaState::OverQuota { may_exceed: false };
    let cases = [
        (QuotaExpectation::Within, true, 0.0, own_bucket),
        (QuotaExpectation::Over, true, 0.0, over_quota),
        (QuotaExpectation::Within, false, 0.0, over_quota),
        (QuotaExpectation::Within, true, 0.1, over_quota),
    ];
    for (expectation, is_below_credit_threshold, ceiling_rate_per_second, expected) in cases {
        let input = WithoutOwnerInput { expectation, is_below_credit_threshold, ceiling_rate_per_second };
        assert_eq!(decide_without_owner(input), expected, "{input:?}");
    }
}

/// A corrupt message must not empty a quota, nor fill it although nothing was consumed.
#[test]
fn quota_message_units_are_limited_to_one_request() {
    assert_eq!([3.0, 63.0].map(|units| bounded_request_units(units, 4.0)), [3.0, 4.0]);
    assert_eq!([-9.0, 3.0, 9.0].map(|units| bounded_release_units(units, 4.0)), [-4.0, 3.0, 4.0]);
    assert_eq!(bounded_request_units(9.0, 0.0), 1.0, "a message may always carry one unit");
}

#[test]
fn plan_without_slots_has_no_free_slot() {
    let slots = PlanSettings { concurrency_limit: 3, ..quota_plan(0.0, 0.0) };
    assert_eq!([2, 3].map(|granted| has_free_slot(&slots, granted)), [true, false]);
    assert!(!has_free_slot(&quota_plan(1.0, 1.0), 0));
}

/// An owner that doesn't respond may still be running. It and its successor then both spend, together at most
/// the ceiling.
#[test]
fn ceiling_fractions_add_up_to_one() {
    assert_eq!(ceiling_fraction_by_ranking(1, 0), 1.0);
    assert_eq!([0, 1, 2, 3].map(|position| ceiling_fraction_by_ranking(4, position)), [0.6, 0.4, 0.0, 0.0]);
    assert_eq!([1, 4].map(even_ceiling_fraction), [1.0, 0.25]);
}
