//! The endpoint list as discovery writes it, and its endpoints as the admission library and the pool take
//! them.
use crate::logging::target;
use irishinge_admission::{EndpointEntry, EndpointId, EndpointState, MachineKindIndex, ZoneIndex};
use irishinge_settings::Names;
use serde::Deserialize;
use std::hash::Hasher;
use std::net::SocketAddr;
use thiserror::Error;

/// The endpoint list, or the changes to it, in discovery's JSON. The configuration's `known`, the list that
/// was cached before a restart, has the same form.
#[derive(Deserialize)]
pub(crate) struct EndpointList {
    /// The version of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether this is the complete list and not only the changes to it.
    #[serde(default, rename = "all")]
    pub is_complete: bool,
    /// Parsed one by one, so that a malformed record does not spoil the others.
    #[serde(rename = "targets")]
    records: Vec<serde_json::Value>,
}

/// One endpoint in discovery's JSON.
#[derive(Deserialize)]
struct EndpointRecord {
    uid: String,
    #[serde(rename = "endpoint")]
    addr: SocketAddr,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "model")]
    machine_kind: String,
    #[serde(default, rename = "pod_group")]
    cell: u64,
    state: String,
    /// When it started, in Unix milliseconds; 0 where that is not known.
    #[serde(default, rename = "boot_ms")]
    started_at_ms: f64,
}

/// Why a record of the list cannot be used.
#[derive(Debug, Error)]
enum EndpointRecordError {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("unknown state: {0}")]
    UnknownState(String),
}

/// An endpoint that discovery has named.
pub(crate) struct DiscoveredEndpoint {
    /// What the admission library knows of it.
    pub entry: EndpointEntry,
    /// Where it listens.
    pub addr: SocketAddr,
}

impl EndpointList {
    /// Whether the list names no endpoint.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The endpoints of the list, at `now_ms` in Unix milliseconds.
    ///
    /// A record that cannot be used is logged and left out. Its endpoint then counts as absent from a
    /// complete list, and nothing is sent to it.
    pub(crate) fn endpoints(self, names: &Names, now_ms: f64) -> Vec<DiscoveredEndpoint> {
        let parse = |record| match EndpointRecord::parse(record).and_then(|r| r.into_endpoint(names, now_ms))
        {
            Ok(endpoint) => Some(endpoint),
            Err(error) => {
                tracing::warn!(
                    target: target::DISCOVERY,
                    reason = %error,
                    "endpoint entry ignored: it cannot be read"
                );
                None
            }
        };
        self.records.into_iter().filter_map(parse).collect()
    }
}

impl EndpointRecord {
    fn parse(record: serde_json::Value) -> Result<Self, EndpointRecordError> {
        Ok(serde_json::from_value(record)?)
    }

    fn into_endpoint(self, names: &Names, now_ms: f64) -> Result<DiscoveredEndpoint, EndpointRecordError> {
        let state = match self.state.as_str() {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Gone,
            _ => return Err(EndpointRecordError::UnknownState(self.state)),
        };
        let has_start = self.started_at_ms.is_finite() && self.started_at_ms > 0.0;
        let entry = EndpointEntry {
            id: endpoint_id(&self.uid),
            // All zones and kinds that the settings do not name get the same index, the one after the last
            // name.
            zone: names.zone_index(&self.zone).unwrap_or(ZoneIndex(names.zones.len())),
            kind: names
                .machine_kind_index(&self.machine_kind)
                .unwrap_or(MachineKindIndex(names.machine_kinds.len())),
            cell: self.cell,
            state,
            // Discovery's clock may be ahead of ours. With a start in the future, slow start would compute a
            // negative capacity.
            started_at_ms: has_start.then(|| self.started_at_ms.min(now_ms)),
        };
        Ok(DiscoveredEndpoint { entry, addr: self.addr })
    }
}

/// The FNV-1a hash of the uid. An endpoint's id must be the same at every gateway, since messages between
/// gateways name endpoints by it; its address may differ.
fn endpoint_id(uid: &str) -> EndpointId {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(uid.as_bytes());
    EndpointId(hasher.finish())
}
