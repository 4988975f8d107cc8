//! Updates of the endpoint list, as the wire has them.

use super::ids::EndpointAddress;
use serde::Deserialize;

/// An update of the endpoint list.
#[derive(Deserialize)]
pub(crate) struct EndpointListMessage {
    /// How much of the list the entries are.
    pub(super) kind: EndpointListKind,
    /// The entries.
    #[serde(rename = "hosts")]
    pub(super) entries: Vec<EndpointEntryMessage>,
}

/// How much of the endpoint list a message holds.
#[derive(Deserialize)]
pub(super) enum EndpointListKind {
    #[serde(rename = "patch")]
    Changes,
    #[serde(rename = "whole")]
    Complete,
    #[serde(rename = "stale_copy")]
    Cached,
    #[serde(rename = "broken")]
    Failed,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub(super) struct EndpointEntryMessage {
    /// The endpoint.
    #[serde(rename = "host")]
    pub(super) endpoint: EndpointAddress,
    /// The name of its zone.
    #[serde(rename = "area")]
    pub(super) zone: String,
    /// The name of its machine's kind.
    #[serde(rename = "familyType")]
    pub(super) machine_kind: String,
    /// Its cell: endpoints that share their memory of idempotency keys.
    #[serde(rename = "stripe")]
    pub(super) cell: u64,
    /// Its state.
    #[serde(rename = "health")]
    pub(super) state: EndpointStateMessage,
    /// Absent, or 0, for an endpoint that started long ago.
    #[serde(rename = "bornMs")]
    pub(super) started_at_ms: Option<f64>,
}

/// What the list says of an endpoint.
#[derive(Deserialize)]
pub(super) enum EndpointStateMessage {
    #[serde(rename = "IN")]
    Ready,
    #[serde(rename = "LAME")]
    Draining,
    #[serde(rename = "OUT")]
    Gone,
}
