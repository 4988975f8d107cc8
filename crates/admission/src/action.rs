//! Actions that a gateway has its host program carry out.
use crate::id::{EndpointId, GatewayIndex, RequestId};

/// What a gateway has its host program do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt; a request's attempts are numbered from 0 in this order.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time-out of the attempt, in milliseconds.
        timeout_ms: f64,
    },
    /// Final response: rejected. A client's retry is harmless: either no attempt may have run, or running the
    /// request again does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// The `Retry-After` of the response, in milliseconds from now; `None`: no advice.
        retry_after_ms: Option<f64>,
    },
    /// Final response: failed. The request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Send a message to another gateway.
    SendPeerMessage {
        /// The other gateway.
        to: GatewayIndex,
        /// The message's text, up to 256 bytes.
        body: String,
    },
    /// Set a timer, whose [`Event::Timer`](crate::Event::Timer) comes in at the given time.
    SetTimer {
        /// The time, in milliseconds on the clock of the events.
        at_ms: f64,
        /// The token that the event will carry.
        token: u64,
    },
    /// Add to a count of the quota counter service.
    AddToCounter {
        /// The name of the count.
        name: u64,
        /// The units to add; 0 only reads.
        amount: f64,
        /// Time to live of a new count, in milliseconds.
        ttl_ms: f64,
    },
}
