//! Customers and their quotas: buckets, ceilings, grants, and calls to the quota counter.
mod counter_account;
mod customer_record;
mod customer_table;
mod grant_ledger;
mod pending_quota_requests;
mod quota_state;

pub(crate) use counter_account::{
    CatchUp, CountedRequest, CounterAccount, CounterCall, CounterCalls, CounterEpoch,
};
pub(crate) use customer_record::{Customer, PeerCount, ReportedConsumption};
pub(crate) use customer_table::CustomerTable;
pub(crate) use grant_ledger::{Grant, QuotaGrants};
pub(crate) use pending_quota_requests::{QuotaExpectation, QuotaRequests, QuotaRoute};
pub(crate) use quota_state::{OwnBucketCheck, QuotaDecision, QuotaState};
