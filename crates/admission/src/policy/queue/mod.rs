//! In which order queued requests are dispatched, and what their customers' limits permit.
pub(crate) mod customer_limits;
pub(crate) mod dispatch_order;
pub(crate) mod flow_weight;
