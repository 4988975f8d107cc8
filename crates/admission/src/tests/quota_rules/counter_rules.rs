//! Counter mode: for which requests the counter is called, what its totals decide, and how counts are
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

/// Were the fraction ever 0, a gateway would not notice that the counter responds again.
#[test]
fn the_sampling_fraction_rises_with_totals_and_falls_without_down_to_a_twentieth() {
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
fn a_sampled_request_stands_for_up_to_three_and_a_repeat_for_itself() {
    // Sampling fraction, client's retry, draw; a request of 2 units.
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
fn a_refund_stands_for_up_to_three() {
    let cases = [(1.0, 0.99, 2.0), (0.5, 0.49, 4.0), (0.5, 0.5, 0.0), (0.05, 0.3, 6.0), (0.05, 0.34, 0.0)];
    for (fraction, draw, expected) in cases {
        assert!(is_close(refund_units(2.0, fraction, draw), expected), "{fraction} {draw}");
    }
}

#[test]
fn a_count_admits_what_it_has_tokens_for_and_is_ample_above_half_the_burst() {
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
fn without_a_total_a_customer_has_what_it_had_at_most_or_a_full_burst() {
    assert_eq!([None, Some(1.5)].map(|seen| assumed_tokens(8.0, seen)), [8.0, 1.5]);
    assert_eq!(
        [None, Some(1.5), Some(1.4)].map(|seen| is_certainly_over_quota(seen, 1.5)),
        [false, false, true]
    );
}

/// An idle customer would otherwise save up far more than its burst.
#[test]
fn a_count_is_raised_where_it_lags_by_more_than_a_quarter_of_the_burst() {
    assert_eq!(
        [7.0, 10.0, 10.03125, 88.0].map(|t| catch_up_units(8.0, t)),
        [None, None, Some(2.03125), Some(80.0)]
    );
}

/// Two gateways that see the same lag both raise the count; one of them must take its raise back, or the
/// customer is rejected until the rate has made up for it.
#[test]
fn a_raise_is_doubled_where_others_added_more_than_half_as_much() {
    let raise = CatchUp { units: 80.0, seen_total: 5.0 };
    assert_eq!(
        [85.0, 125.0, 125.1, 165.0].map(|t| is_duplicate_catch_up(raise, t)),
        [false, false, true, true]
    );
}

#[test]
fn a_request_that_is_not_admitted_consumes_only_for_those_it_stands_for() {
    let request = CountedRequest { id: RequestId(1), units: 2.0, added_units: 6.0 };
    assert_eq!([true, false].map(|admitted| consumed_units(request, admitted)), [6.0, 4.0]);
}

#[test]
fn true_units_are_settled_only_while_tokens_are_few() {
    let admitted = |ample| QuotaState::AdmittedByCounter { ample };
    assert_eq!([false, true].map(|ample| settlement_units(admitted(ample), 1.5)), [1.5, 0.0]);
    assert_eq!(settlement_units(QuotaState::AdmittedUncounted, 1.5), 0.0);
}

/// A counter that rejects calls would be called again and again for the same correction.
#[test]
fn a_rejecting_counter_is_not_called_at_once_for_corrections_alone() {
    let cases = [(false, false, true), (false, true, true), (true, true, true), (true, false, false)];
    for (is_rejected, has_queued_calls, expected) in cases {
        assert_eq!(may_call_immediately(is_rejected, has_queued_calls), expected);
    }
}
