//! Consequences of the end of a request for its client and for its customer's quota.
use crate::id::GatewayIndex;
use crate::messages::quota_message::QuotaRequestNumber;
use crate::policy::request_end::final_response::{final_response, FinalResponse};
use crate::policy::request_end::quota_settlement::{settlement_at_end, EndedRequest, QuotaSettlement};
use crate::settings::{DedupGroup, Idempotency};
use crate::state::QuotaState;

#[test]
fn request_fails_only_if_a_retry_could_run_it_twice() {
    let key = |group| Idempotency::IdempotencyKey { group, window_ms: 1000.0 };
    let cases = [
        (false, Idempotency::NonIdempotent, FinalResponse::Reject),
        (true, Idempotency::NonIdempotent, FinalResponse::Fail),
        (true, Idempotency::Idempotent, FinalResponse::Reject),
        (true, key(DedupGroup::All), FinalResponse::Reject),
        (true, key(DedupGroup::Zone), FinalResponse::Fail),
    ];
    for (may_have_run, idempotency, expected) in cases {
        assert_eq!(final_response(may_have_run, idempotency), expected, "{idempotency:?}");
    }
}

#[test]
fn owner_is_sent_a_release_if_its_count_would_be_wrong() {
    let (owner, number) = (GatewayIndex(3), QuotaRequestNumber::default());
    let release = |additional_units| QuotaSettlement::Release { owner, number, additional_units };
    let granted = |ample| EndedRequest {
        quota: QuotaState::GrantedByOwner { owner, number, ample },
        is_unsent: false,
        units: 2.0,
        excess_units: 0.0,
        has_concurrency_limit: false,
    };
    let ended = |quota| EndedRequest { quota, ..granted(false) };
    let cases = [
        (granted(false), QuotaSettlement::Nothing),
        (EndedRequest { is_unsent: true, ..granted(true) }, release(-2.0)),
        (EndedRequest { excess_units: 0.5, ..granted(false) }, release(0.5)),
        (EndedRequest { excess_units: 0.5, ..granted(true) }, QuotaSettlement::Nothing),
        (EndedRequest { has_concurrency_limit: true, ..granted(true) }, release(0.0)),
        (
            ended(QuotaState::QueuedAtOwner { owner, number }),
            QuotaSettlement::Withdraw { owner, number, additional_units: -2.0 },
        ),
        (ended(QuotaState::AdmittedByCounter { ample: true }), QuotaSettlement::SettleWithCounter),
        (ended(QuotaState::AwaitingCounter), QuotaSettlement::Nothing),
        (ended(QuotaState::LocalBucket { within_quota: true }), QuotaSettlement::Nothing),
    ];
    for (ended, expected) in cases {
        assert_eq!(settlement_at_end(&ended), expected, "{ended:?}");
    }
}
