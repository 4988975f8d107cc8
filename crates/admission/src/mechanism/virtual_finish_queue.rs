//! A weighted fair queue ordered by virtual finish time.
use crate::id::RequestId;
use std::collections::{BTreeMap, VecDeque};

/// A customer's held requests, first come first.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    pub(crate) queue: VecDeque<(RequestId, f64)>,
    pub(crate) last_finish: f64,
    pub(crate) units: f64,
}

/// Queued requests: one flow a customer, ordered by virtual finish time.
#[derive(Debug, Default)]
pub(crate) struct VirtualFinishQueue {
    pub(crate) flows: BTreeMap<u64, Flow>,
    pub(crate) len: usize,
    pub(crate) virtual_time: f64,
}
