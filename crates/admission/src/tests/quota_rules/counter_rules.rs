//! Counter mode: which requests the counter is called for, what its totals decide, and how counts are
//! corrected.
use super::is_close;
use crate::event::CounterOutcome;
use crate::id::RequestId;
use crate::policy::quota_counter::count_catch_up::{catch_up_units, is_duplicate_catch_up};
use crate::policy::quota_counter::count_decision::{
    assumed_tokens, decide_by_count, decide_over_quota, is_certainly_over_quota,
};
use crate::policy::quota_counter::count_settlement::{
    consumed_units, may_call_immediately, settlement_units,
};
use crate::policy::quota_counter::counter_sampling::{
    refund_units, sample_request, sampling_fraction_after, SampleInput,
};
use crate::settings::PlanSettings;
use crate::state::{CatchUp, CountedRequest, QuotaState};
use crate::tests::plan_builder::{paying_plan, quota_plan};

/// With a fraction of 0, a gateway would not notice that the counter responds again.
#[test]
fn sampling_fraction_rises_with_each_total_and_falls_without() {
    let cases = [
        (CounterOutcome::Total(9.0), 0.5, 0.51),
        (CounterOutcome::Total(9.0), 0.995, 1.0),
        (CounterOutcome::Rejected, 0.4, 0.34),
        (CounterOutcome::Unanswered, 0.4, 0.34),
        (CounterOutcome::Unanswered, 0.055, 0.05),
        (CounterOutcome::Rejected, 0.05, 0.05),
    ];
    for (outcome, fraction, expected) in cases {
        assert!(is_close(sampling_fraction_after(outcome, fraction), expected), "{outcome:?} {fraction}");
    }
}

#[test]
fn sampled_request_counts_for_up_to_three_and_client_retry_for_one() {
    // Sampling fraction, whether it is a client's retry, draw, expected units to add; a request of 2 units.
    let cases = [
        (1.0, false, 0.99, Some(2.0)),
        (0.5, false, 0.49, Some(4.0)),
        (0.5, false, 0.5, None),
        (0.05, false, 0.04, Some(6.0)),
        (0.05, true, 0.99, Some(2.0)),
    ];
    for (sampling_fraction, is_client_retry, draw, expected) in cases {
        let input = SampleInput { sampling_fraction, is_client_retry, draw, units: 2.0 };
        assert_eq!(sample_request(input), expected, "{input:?}");
    }
}

#[test]
fn sampled_refund_counts_for_up_to_three() {
    let cases = [(1.0, 0.99, 2.0), (0.5, 0.49, 4.0), (0.5, 0.5, 0.0), (0.05, 0.3, 6.0), (0.05, 0.34, 0.0)];
    for (fraction, draw, expected) in cases {
        assert!(is_close(refund_units(2.0, fraction, draw), expected), "{fraction} {draw}");
    }
}

/// The quota is ample above half the burst, and only a plan that allows it and has no hard ceiling may exceed
/// it.
#[test]
fn count_admits_request_if_tokens_suffice() {
    let paying = paying_plan(2.0, 8.0);
    let ceiling = PlanSettings { ceiling_rate_per_second: 1.0, ..paying_plan(2.0, 8.0) };
    let over = |may_exceed| QuotaState::OverQuota { may_exceed };
    let cases = [
        (&paying, 4.1, QuotaState::AdmittedByCounter { ample: true }),
        (&paying, 4.0, QuotaState::AdmittedByCounter { ample: false }),
        (&paying, 3.0, QuotaState::AdmittedByCounter { ample: false }),
        (&paying, 2.9, over(true)),
        (&ceiling, 2.9, over(false)),
        (&quota_plan(2.0, 8.0), 2.9, over(false)),
    ];
    for (plan, tokens, expected) in cases {
        assert_eq!(decide_by_count(plan, 3.0, tokens), expected, "{plan:?} {tokens}");
    }
    assert_eq!(decide_over_quota(&paying), over(true));
}

#[test]
fn missing_total_is_replaced_by_last_known_tokens_or_full_burst() {
    assert_eq!([None, Some(1.5)].map(|seen| assumed_tokens(8.0, seen)), [8.0, 1.5]);
    assert_eq!(
        [None, Some(1.5), Some(1.4)].map(|seen| is_certainly_over_quota(seen, 1.5)),
        [false, false, true]
    );
}

/// An idle customer would otherwise save up far more than its burst.
#[test]
fn count_catches_up_if_it_lags_by_over_a_quarter_of_the_burst() {
    assert_eq!(
        [7.0, 10.0, 10.03125, 88.0].map(|t| catch_up_units(8.0, t)),
        [None, None, Some(2.03125), Some(80.0)]
    );
}

/// Two gateways that see the same lag both catch up the count. One of them must take its catch-up back, or
/// the customer's requests are rejected until the rate has made up for it.
#[test]
fn catch_up_is_duplicate_if_others_added_over_half_of_it() {
    let catch_up = CatchUp { units: 80.0, seen_total: 5.0 };
    assert_eq!(
        [85.0, 125.0, 125.1, 165.0].map(|t| is_duplicate_catch_up(catch_up, t)),
        [false, false, true, true]
    );
}

#[test]
fn request_not_admitted_consumes_only_represented_units() {
    let request = CountedRequest { id: RequestId(1), units: 2.0, added_units: 6.0 };
    assert_eq!([true, false].map(|admitted| consumed_units(request, admitted)), [6.0, 4.0]);
}

#[test]
fn true_units_are_settled_unless_quota_is_ample() {
    let admitted = |ample| QuotaState::AdmittedByCounter { ample };
    assert_eq!([false, true].map(|ample| settlement_units(admitted(ample), 1.5)), [1.5, 0.0]);
    assert_eq!(settlement_units(QuotaState::AdmittedUncounted, 1.5), 0.0);
}

/// Otherwise a counter that rejects calls would be called again and again for the same correction.
#[test]
fn rejected_call_is_not_repeated_for_corrections_alone() {
    let cases = [(false, false, true), (false, true, true), (true, true, true), (true, false, false)];
    for (is_rejected, has_queued_calls, expected) in cases {
        assert_eq!(may_call_immediately(is_rejected, has_queued_calls), expected);
    }
}
