//! Messages that update the endpoint list.

use super::ids::EndpointAddress;
use serde::Deserialize;

/// A message that updates the endpoint list.
#[derive(Deserialize)]
pub(crate) struct EndpointListMessage {
    /// The part of the list that the entries make up.
    pub(super) kind: WireListUpdateKind,
    /// The entries of the list.
    #[serde(rename = "hosts")]
    pub(super) entries: Vec<WireEndpointEntry>,
}

/// The part of the endpoint list that a message carries.
#[derive(Deserialize)]
pub(super) enum WireListUpdateKind {
    /// The entries that changed.
    #[serde(rename = "patch")]
    Changes,
    /// All entries. An endpoint that is not among them is gone.
    #[serde(rename = "whole")]
    Complete,
    /// All entries as cached before a restart of the gateway. They may be outdated.
    #[serde(rename = "stale_copy")]
    Cached,
    /// No part: a poll of the list failed, and the known entries stay.
    #[serde(rename = "broken")]
    Failed,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub(super) struct WireEndpointEntry {
    /// The address of the endpoint.
    #[serde(rename = "host")]
    pub(super) endpoint: EndpointAddress,
    /// The name of the endpoint's zone.
    #[serde(rename = "area")]
    pub(super) zone: String,
    /// The name of the kind of machine that the endpoint runs on.
    #[serde(rename = "familyType")]
    pub(super) machine_kind: String,
    /// The endpoint's cell: a group of endpoints that may share their memory of idempotency keys.
    #[serde(rename = "stripe")]
    pub(super) cell: u64,
    /// The state of the endpoint.
    #[serde(rename = "health")]
    pub(super) state: WireEndpointState,
    /// When the endpoint's process last started, in milliseconds on the simulator's clock. Absent or 0 if
    /// that was long ago.
    #[serde(rename = "bornMs")]
    pub(super) started_at_ms: Option<f64>,
}

/// The state of an endpoint according to the list.
#[derive(Deserialize)]
pub(super) enum WireEndpointState {
    /// The endpoint accepts requests.
    #[serde(rename = "IN")]
    Ready,
    /// The endpoint finishes requests in flight and must be sent no new ones.
    #[serde(rename = "LAME")]
    Draining,
    /// The endpoint was removed from the list and must be sent nothing.
    #[serde(rename = "OUT")]
    Gone,
}
