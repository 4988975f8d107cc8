//! Changes of a customer's usage at this gateway when an attempt starts or ends.
use crate::id::GatewayIndex;
use crate::messages::quota_message::QuotaRequestNumber;
use crate::policy::customer_usage::{
    usage_at_attempt_end, usage_at_attempt_start, AttemptEndInput, AttemptStartInput, ExcessCharge,
};
use crate::state::QuotaState;

const WITHIN_QUOTA: QuotaState = QuotaState::LocalBucket { within_quota: true };
const LOCAL_OVER_QUOTA: QuotaState = QuotaState::LocalBucket { within_quota: false };

/// Returns the state of a request that another gateway granted as the owner of its quota.
fn granted() -> QuotaState {
    QuotaState::GrantedByOwner { owner: GatewayIndex(1), number: QuotaRequestNumber::default(), ample: false }
}

#[test]
fn attempt_start_takes_a_slot_and_the_first_attempt_the_units() {
    let first = AttemptStartInput {
        quota: WITHIN_QUOTA,
        is_first: true,
        has_quota: true,
        has_concurrency_limit: false,
    };
    let retry = AttemptStartInput { is_first: false, ..first };
    let uncounted = AttemptStartInput { quota: QuotaState::AdmittedUncounted, ..first };
    // The input, and whether the attempt takes a slot, consumes ceiling and quota, and triggers a report.
    let rows = [
        (first, [true, true, true, true]),
        (AttemptStartInput { has_quota: false, ..first }, [true, true, false, true]),
        (AttemptStartInput { quota: LOCAL_OVER_QUOTA, ..first }, [true, true, false, false]),
        (uncounted, [true, true, false, true]),
        (retry, [true, false, false, false]),
        (AttemptStartInput { has_concurrency_limit: true, ..retry }, [true, false, false, true]),
        (AttemptStartInput { quota: granted(), ..first }, [false, false, false, false]),
    ];
    for (input, expected) in rows {
        let usage = usage_at_attempt_start(&input);
        let found = [usage.takes_slot, usage.consumes_ceiling, usage.consumes_quota, usage.triggers_report];
        assert_eq!(found, expected, "{input:?}");
    }
}

#[test]
fn attempt_end_charges_the_true_units_minus_the_estimate() {
    let ended = AttemptEndInput {
        quota: WITHIN_QUOTA,
        has_quota: true,
        has_concurrency_limit: false,
        estimated_units: 2.0,
        true_units: Some(5.0),
        max_units: 64.0,
    };
    let local = |excess_units| ExcessCharge::LocalBucket { excess_units };
    let request = |excess_units| ExcessCharge::Request { excess_units };
    let owner = AttemptEndInput { quota: granted(), ..ended };
    let counter = AttemptEndInput { quota: QuotaState::AdmittedByCounter { ample: false }, ..ended };
    // The input, whether a slot is freed, where the units are charged, and whether a report is triggered.
    let rows = [
        (ended, true, local(3.0), true),
        (AttemptEndInput { true_units: Some(1.5), ..ended }, true, local(-0.5), true),
        (AttemptEndInput { true_units: None, ..ended }, true, local(0.0), false),
        (AttemptEndInput { true_units: None, has_concurrency_limit: true, ..ended }, true, local(0.0), true),
        (AttemptEndInput { true_units: Some(64.5), ..ended }, true, local(0.0), false),
        (AttemptEndInput { has_quota: false, ..ended }, true, local(0.0), false),
        (AttemptEndInput { quota: LOCAL_OVER_QUOTA, ..ended }, true, local(0.0), false),
        (counter, true, request(3.0), false),
        (owner, false, request(3.0), false),
    ];
    for (input, frees_slot, charge, triggers_report) in rows {
        let usage = usage_at_attempt_end(&input);
        assert_eq!(usage.frees_slot, frees_slot, "{input:?}");
        assert_eq!(usage.charge, charge, "{input:?}");
        assert_eq!(usage.triggers_report, triggers_report, "{input:?}");
    }
}
