//! In which order queued requests are dispatched, and whether their customers' limits permit them.
pub(crate) mod customer_limits;
pub(crate) mod dispatch_order;
pub(crate) mod flow_weight;
