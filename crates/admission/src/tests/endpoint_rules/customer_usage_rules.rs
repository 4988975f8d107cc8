//! What attempts take of their customer's limits at this gateway.
use crate::id::GatewayIndex;
use crate::messages::quota_message::QuotaRequestNumber;
use crate::policy::customer_usage::{
    usage_at_attempt_end, usage_at_attempt_start, AttemptEndInput, AttemptStartInput, ExcessCharge,
};
use crate::state::QuotaState;

const WITHIN_QUOTA: QuotaState = QuotaState::LocalBucket { within_quota: true };
const OVER_QUOTA: QuotaState = QuotaState::LocalBucket { within_quota: false };

/// A quota granted by another gateway.
fn granted() -> QuotaState {
    QuotaState::GrantedByOwner { owner: GatewayIndex(1), number: QuotaRequestNumber::default(), ample: false }
}

#[test]
fn a_starting_attempt_takes_a_slot_and_the_first_one_the_units() {
    let first =
        AttemptStartInput { quota: WITHIN_QUOTA, is_first: true, has_quota: true, has_open_limit: false };
    let retry = AttemptStartInput { is_first: false, ..first };
    let uncounted = AttemptStartInput { quota: QuotaState::AdmittedUncounted, ..first };
    // Whether it takes a slot, consumes ceiling and quota, and is reported.
    let rows = [
        (first, [true, true, true, true]),
        (AttemptStartInput { has_quota: false, ..first }, [true, true, false, true]),
        (AttemptStartInput { quota: OVER_QUOTA, ..first }, [true, true, false, false]),
        (uncounted, [true, true, false, true]),
        (retry, [true, false, false, false]),
        (AttemptStartInput { has_open_limit: true, ..retry }, [true, false, false, true]),
        (AttemptStartInput { quota: granted(), ..first }, [false, false, false, false]),
    ];
    for (input, expected) in rows {
        let usage = usage_at_attempt_start(&input);
        let found = [usage.takes_slot, usage.consumes_ceiling, usage.consumes_quota, usage.triggers_report];
        assert_eq!(found, expected, "{input:?}");
    }
}

#[test]
fn an_ended_attempt_is_charged_what_its_true_units_exceed_the_estimate_by() {
    let ended = AttemptEndInput {
        quota: WITHIN_QUOTA,
        has_quota: true,
        has_open_limit: false,
        estimated_units: 2.0,
        true_units: Some(5.0),
        max_units: 64.0,
    };
    let local = |excess_units| ExcessCharge::LocalBucket { excess_units };
    let request = |excess_units| ExcessCharge::Request { excess_units };
    let owner = AttemptEndInput { quota: granted(), ..ended };
    let counter = AttemptEndInput { quota: QuotaState::AdmittedByCounter { ample: false }, ..ended };
    // The input, whether it frees a slot, where the units are charged, and whether it is reported.
    let rows = [
        (ended, true, local(3.0), true),
        (AttemptEndInput { true_units: Some(1.5), ..ended }, true, local(-0.5), true),
        (AttemptEndInput { true_units: None, ..ended }, true, local(0.0), false),
        (AttemptEndInput { true_units: None, has_open_limit: true, ..ended }, true, local(0.0), true),
        (AttemptEndInput { true_units: Some(64.5), ..ended }, true, local(0.0), false),
        (AttemptEndInput { has_quota: false, ..ended }, true, local(0.0), false),
        (AttemptEndInput { quota: OVER_QUOTA, ..ended }, true, local(0.0), false),
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
