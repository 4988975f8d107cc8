//! A line of output: the actions of each gateway that took any.

use super::ids::{EndpointAddress, HexId};
use serde::Serialize;

/// A line of output.
#[derive(Default, Serialize)]
pub(crate) struct Reply {
    /// The actions, by gateway.
    pub(crate) parts: Vec<ReplyPart>,
}

/// One gateway's actions, in the order in which they are carried out.
#[derive(Serialize)]
pub(crate) struct ReplyPart {
    /// The simulator's id of the gateway.
    #[serde(rename = "gatewayId")]
    pub(crate) gateway_id: String,
    /// Its actions.
    #[serde(rename = "outbox")]
    pub(crate) messages: Vec<OutputMessage>,
}

/// An action as the wire has it. The order of fields is the order in which they are written.
#[derive(Debug, PartialEq, Serialize)]
#[serde(tag = "msg")]
pub(crate) enum OutputMessage {
    /// Start an attempt.
    #[serde(rename = "Route")]
    Send {
        #[serde(rename = "job")]
        request: HexId,
        #[serde(rename = "tryForMs")]
        timeout_ms: f64,
        #[serde(rename = "host")]
        endpoint: EndpointAddress,
    },
    /// Final response: rejected; a client's retry does no harm.
    #[serde(rename = "Decline")]
    Reject {
        #[serde(rename = "job")]
        request: HexId,
        #[serde(rename = "retryAfterMs", skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<f64>,
    },
    /// Final response: failed.
    #[serde(rename = "Error")]
    Fail {
        #[serde(rename = "job")]
        request: HexId,
    },
    /// Cancel an attempt.
    #[serde(rename = "Recall")]
    Cancel {
        #[serde(rename = "job")]
        request: HexId,
        #[serde(rename = "sendNo")]
        attempt: u32,
    },
    /// Send a message to another gateway, or with -1 to all others.
    #[serde(rename = "Announce")]
    SendPeerMessage {
        #[serde(rename = "target")]
        to: i64,
        #[serde(rename = "data")]
        body: String,
    },
    /// Set a timer.
    #[serde(rename = "WakeMe")]
    SetTimer {
        #[serde(rename = "momentMs")]
        at_ms: f64,
        #[serde(rename = "name")]
        token: u64,
    },
    /// Add to a counter of the quota counter service.
    #[serde(rename = "PostAmount")]
    AddToCounter {
        #[serde(rename = "book")]
        name: u64,
        #[serde(rename = "n")]
        amount: f64,
        #[serde(rename = "ttlMs")]
        time_to_live_ms: f64,
    },
}
