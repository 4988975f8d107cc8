//! Customers and their quotas: buckets, ceilings, grants, and calls to the quota counter.
mod counter_account;
mod counter_call_table;
mod counter_epoch;
mod customer_record;
mod customer_reports;
mod customer_table;
mod grant_ledger;
mod pending_quota_requests;
mod quota_state;

pub(crate) use counter_account::{CatchUp, CountedRequest, CounterAccount, CounterCall};
pub(crate) use counter_call_table::CounterCalls;
pub(crate) use counter_epoch::CounterEpoch;
pub(crate) use customer_record::Customer;
pub(crate) use customer_reports::{PeerCount, ReportedConsumption};
pub(crate) use customer_table::CustomerTable;
pub(crate) use grant_ledger::{Grant, QuotaGrants};
pub(crate) use pending_quota_requests::{QuotaExpectation, QuotaRequests, QuotaRoute};
pub(crate) use quota_state::{LocalBucketCheck, QuotaDecision, QuotaState};
