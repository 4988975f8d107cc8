//! A weighted fair queue: one flow per customer, ordered by virtual finish time.
//!
//! The virtual finish time of a request is its size divided by its flow's weight, added to the later of two
//! times: the virtual finish time of the request enqueued before it in the flow, and the queue's virtual
//! time. The caller selects one of the heads of all flows and dequeues it, which sets the queue's virtual
//! time to that request's virtual finish time.
use crate::id::{CustomerKey, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    /// The request, whose record the caller holds.
    id: RequestId,
    /// The virtual finish time that was computed when the request was enqueued, in the caller's unit of size
    /// divided by its unit of weight.
    virtual_finish: f64,
    /// The size with which the request was enqueued, in the caller's unit.
    size: f64,
}

/// One customer's queued requests, in order of arrival.
#[derive(Debug, Default)]
struct Flow {
    /// The queued requests, of which the first is the head of the flow.
    requests: VecDeque<QueuedRequest>,
    /// Virtual finish time of the request that was enqueued last.
    last_finish: f64,
    /// Sum of the sizes of the queued requests.
    size: f64,
}

/// The oldest request of a flow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowHead {
    /// The customer's key, which names the flow.
    pub(crate) key: CustomerKey,
    /// The request.
    pub(crate) id: RequestId,
    /// The request's virtual finish time. Of the heads that may be sent, the caller sends the one with the
    /// smallest first.
    pub(crate) virtual_finish: f64,
}

impl FlowHead {
    /// Returns whether this head's virtual finish time is before that of another one.
    pub(crate) fn precedes(&self, other: &FlowHead) -> bool {
        self.virtual_finish < other.virtual_finish
    }
}

/// Queued requests: one flow per customer, ordered by virtual finish time.
#[derive(Debug, Default)]
pub(crate) struct VirtualFinishQueue {
    /// Each customer's flow. A customer without queued requests has none.
    flows: BTreeMap<CustomerKey, Flow>,
    /// Number of queued requests of all flows.
    len: usize,
    /// Virtual finish time of the request that was dequeued last.
    virtual_time: f64,
}

impl VirtualFinishQueue {
    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the sum of the sizes of a customer's queued requests, in the unit of the sizes that were
    /// passed to `enqueue`.
    pub(crate) fn queued_size(&self, key: CustomerKey) -> f64 {
        self.flows.get(&key).map_or(0.0, |flow| flow.size)
    }

    /// Returns whether requests of a customer are queued.
    pub(crate) fn has_requests_of(&self, key: CustomerKey) -> bool {
        self.flows.contains_key(&key)
    }

    /// Adds a request to the end of its customer's flow. From a flow of twice the `weight`, twice the size is
    /// dequeued in the same virtual time.
    pub(crate) fn enqueue(&mut self, key: CustomerKey, id: RequestId, size: f64, weight: f64) {
        let flow = self.flows.entry(key).or_default();
        let virtual_finish = self.virtual_time.max(flow.last_finish) + size / weight;
        flow.last_finish = virtual_finish;
        flow.size += size;
        flow.requests.push_back(QueuedRequest { id, virtual_finish, size });
        self.len += 1;
    }

    /// Returns the oldest request of each flow, ordered by customer key.
    pub(crate) fn heads(&self) -> Vec<FlowHead> {
        let head = |(key, flow): (&CustomerKey, &Flow)| {
            let first = flow.requests.front()?;
            Some(FlowHead { key: *key, id: first.id, virtual_finish: first.virtual_finish })
        };
        self.flows.iter().filter_map(head).collect()
    }

    /// Removes a request from any position of its flow. A flow without requests is removed, and its last
    /// virtual finish time is forgotten.
    pub(crate) fn remove(&mut self, key: CustomerKey, id: RequestId) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let position = flow.requests.iter().position(|queued| queued.id == id);
        if let Some(removed) = position.and_then(|at| flow.requests.remove(at)) {
            self.len -= 1;
            flow.size -= removed.size;
        }
        if flow.requests.is_empty() {
            self.flows.remove(&key);
        }
    }

    /// Removes a head that is to be sent, and sets the virtual time to its virtual finish time.
    pub(crate) fn dequeue(&mut self, head: FlowHead) {
        self.virtual_time = head.virtual_finish;
        self.remove(head.key, head.id);
    }
}
