//! A line of output: the actions of each gateway that takes any.

use super::ids::{EndpointAddress, HexId};
use serde::Serialize;

/// A line of output.
#[derive(Default, Serialize)]
pub(crate) struct Reply {
    /// The actions of each gateway that takes any.
    pub(crate) parts: Vec<ReplyPart>,
}

/// The actions of one gateway.
#[derive(Serialize)]
pub(crate) struct ReplyPart {
    /// The simulator's id of the gateway.
    #[serde(rename = "gatewayId")]
    pub(crate) gateway_id: String,
    /// The actions, in the order in which they are to be executed.
    #[serde(rename = "outbox")]
    pub(crate) messages: Vec<OutputMessage>,
}

/// A message that asks the simulator to execute an action. Fields are written in the order in which they are
/// declared.
#[derive(Debug, PartialEq, Serialize)]
#[serde(tag = "msg")]
pub(crate) enum OutputMessage {
    /// Starts an attempt.
    #[serde(rename = "Route")]
    Send {
        /// The id of the request.
        #[serde(rename = "job")]
        request: HexId,
        /// The timeout of the attempt, in milliseconds.
        #[serde(rename = "tryForMs")]
        timeout_ms: f64,
        /// The endpoint that the attempt is sent to.
        #[serde(rename = "host")]
        endpoint: EndpointAddress,
    },
    /// Sends the final response of a rejected request. A retry by the client does no harm.
    #[serde(rename = "Decline")]
    Reject {
        /// The id of the request.
        #[serde(rename = "job")]
        request: HexId,
        /// The `Retry-After` of the response, in milliseconds from now.
        #[serde(rename = "retryAfterMs", skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<f64>,
    },
    /// Sends the final response of a failed request, which may have run.
    #[serde(rename = "Error")]
    Fail {
        /// The id of the request.
        #[serde(rename = "job")]
        request: HexId,
    },
    /// Cancels an attempt.
    #[serde(rename = "Recall")]
    Cancel {
        /// The id of the request.
        #[serde(rename = "job")]
        request: HexId,
        /// The number of the attempt among those of the request, from 0.
        #[serde(rename = "sendNo")]
        attempt: u32,
    },
    /// Sends a message to another gateway, or to all others.
    #[serde(rename = "Announce")]
    SendPeerMessage {
        /// The number of the gateway that the message is sent to, or -1 for all other gateways.
        #[serde(rename = "target")]
        to: i64,
        /// The text of the message.
        #[serde(rename = "data")]
        body: String,
    },
    /// Sets a timer.
    #[serde(rename = "WakeMe")]
    SetTimer {
        /// The time at which the timer is due, in milliseconds on the simulator's clock.
        #[serde(rename = "momentMs")]
        at_ms: f64,
        /// The token that the timer's event will carry.
        #[serde(rename = "name")]
        token: u64,
    },
    /// Adds to a count of the quota counter.
    #[serde(rename = "PostAmount")]
    AddToCounter {
        /// The name of the count.
        #[serde(rename = "book")]
        name: u64,
        /// The units to add. 0 only reads the count.
        #[serde(rename = "n")]
        amount: f64,
        /// The time to live of the count if this call creates it, in milliseconds.
        #[serde(rename = "ttlMs")]
        ttl_ms: f64,
    },
}
