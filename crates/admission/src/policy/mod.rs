//! The rules that make a gateway's decisions, each with its constants in a file of its own.
//!
//! A rule is a function of its inputs: it does not see `Gateway`. The methods of `Gateway` in `lifecycle` and
//! `coordination` gather the inputs, call the rule and apply its result.
//!
//! Many rules come in two versions, for broadcast mode and for a large fleet. "Large fleet" means every mode
//! but broadcast, that is, gossip, counter and isolated mode, whatever the fleet's size.
pub(crate) mod admission;
pub(crate) mod ample_quota;
pub(crate) mod band;
pub(crate) mod coordination_choice;
pub(crate) mod customer_retention;
pub(crate) mod customer_usage;
pub(crate) mod observation;
pub(crate) mod outlier;
pub(crate) mod over_quota_use;
pub(crate) mod peer_messages;
pub(crate) mod queue;
pub(crate) mod quota_counter;
pub(crate) mod quota_owner;
pub(crate) mod request_end;
pub(crate) mod response_time;
pub(crate) mod retry;
pub(crate) mod selection;
pub(crate) mod slow_start;
pub(crate) mod upkeep;
