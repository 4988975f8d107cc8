//! State of customers and their quotas: token buckets, hard ceilings, grants, and calls to the quota counter.
mod counter_call_queue;
mod counter_call_table;
mod counter_epoch;
mod customer_record;
mod customer_reports;
mod customer_table;
mod pending_quota_requests;
mod quota_grants;
mod quota_state;

pub(crate) use counter_call_queue::{CatchUp, CountedRequest, CounterCall, CounterCallQueue};
pub(crate) use counter_call_table::CounterCalls;
pub(crate) use counter_epoch::CounterEpoch;
pub(crate) use customer_record::Customer;
pub(crate) use customer_reports::{PeerCount, ReportedConsumption};
pub(crate) use customer_table::CustomerTable;
pub(crate) use pending_quota_requests::{PendingQuotaRequests, QuotaExpectation, QuotaRoute};
pub(crate) use quota_grants::{QuotaGrants, QuotaRequestRecord};
pub(crate) use quota_state::{LocalBucketCheck, QuotaDecision, QuotaState};
