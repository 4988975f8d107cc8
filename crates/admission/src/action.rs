//! Actions that a gateway asks its host program to carry out.
use crate::id::{EndpointId, GatewayIndex, RequestId};

/// What a gateway asks its host program to do, in the order given.
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
    /// Final answer: rejected. Trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client may try again, in milliseconds from now; `None`: no advice.
        retry_after_ms: Option<f64>,
    },
    /// Final answer: failed. The request may have run.
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
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a message to a peer.
    SendPeerMessage {
        /// The peer's number; `None`: all.
        to: Option<GatewayIndex>,
        /// Up to 256 bytes.
        body: String,
    },
    /// Ask for a timer event at a time.
    SetTimer {
        /// The time, in milliseconds.
        at_ms: f64,
        /// The token that the event will carry.
        token: u64,
    },
    /// Add to a counter of the quota counter service.
    AddToCounter {
        /// The counter's name.
        name: u64,
        /// What to add; 0 only reads.
        amount: f64,
        /// How long a new counter is kept, in milliseconds.
        ttl_ms: f64,
    },
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe {
        /// On or off.
        active: bool,
    },
    /// Ask for the whole endpoint list once.
    FetchList,
    /// Write a line to the log.
    Log {
        /// The line.
        line: String,
    },
}
