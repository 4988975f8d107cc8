//! The actions that a gateway asks its host program to execute.
use crate::id::{EndpointId, GatewayIndex, RequestId};

/// An action for the host program, which executes actions in the order in which it gets them.
///
/// A good response needs no action: the host program passes it on to the client, and reports the end of its
/// attempt with [`Outcome::Ok`](crate::Outcome::Ok).
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request's next attempt. The attempts of a request are numbered from 0 in the order of these
    /// actions.
    Send {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The endpoint to send the attempt to.
        endpoint: EndpointId,
        /// Time-out of the attempt, in milliseconds.
        timeout_ms: f64,
    },
    /// Give the client the final response that its request is rejected. A retry by the client does no harm:
    /// either the request never ran, or running it again does no harm.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// The `Retry-After` of the response, in milliseconds from now; `None` for a response without one.
        /// The response has status 429 if there is one, even of 0, and status 503 otherwise.
        retry_after_ms: Option<f64>,
    },
    /// Give the client the final response that its request failed. Either the request may have run, or it was
    /// not sent because it is invalid: its class or plan is not in the settings, or its id is that of an
    /// active request.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number among those of its request, from 0.
        attempt: u32,
    },
    /// Send a message to another gateway.
    SendPeerMessage {
        /// The gateway that receives the message.
        to: GatewayIndex,
        /// The message's text, at most 256 bytes.
        body: String,
    },
    /// Set a timer. [`Event::Timer`](crate::Event::Timer) comes in when it is due.
    SetTimer {
        /// When the timer is due, in milliseconds on the clock of the events.
        at_ms: f64,
        /// The token that the event carries.
        token: u64,
    },
    /// Add to a count of the quota counter service.
    AddToCounter {
        /// The name of the count.
        name: u64,
        /// The units to add. If they are below 0, units are given back; 0 only reads the count.
        amount: f64,
        /// Time to live of the count if this call creates it, in milliseconds.
        ttl_ms: f64,
    },
}
