//! Parses the endpoint list from discovery's JSON into the endpoints that the admission library and the
//! upstream pool use.
use crate::logging::target;
use irishinge_admission::{EndpointEntry, EndpointId, EndpointState, MachineKindIndex, ZoneIndex};
use irishinge_settings::Names;
use serde::Deserialize;
use std::hash::Hasher;
use std::net::SocketAddr;
use thiserror::Error;

/// An update of the endpoint list, in discovery's JSON format: either the complete list or only the changes
/// to it. `known` in the configuration, the complete list that was cached before a restart, has the same
/// format.
#[derive(Deserialize)]
pub(crate) struct EndpointListUpdate {
    /// The version number of the list after this update. A newer list has a greater one.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the update has the complete list rather than the changes since a revision.
    #[serde(default, rename = "all")]
    pub is_complete: bool,
    /// The entries of the endpoints. They are parsed one by one, so that a malformed entry does not make the
    /// others unusable.
    #[serde(rename = "targets")]
    entries: Vec<serde_json::Value>,
}

/// The entry of one endpoint in discovery's JSON format.
#[derive(Deserialize)]
struct JsonEndpointEntry {
    /// The unique name of the endpoint, which is the same at every gateway.
    uid: String,
    /// The address that the endpoint listens on.
    #[serde(rename = "endpoint")]
    addr: SocketAddr,
    /// The name of the endpoint's zone.
    #[serde(default, rename = "az")]
    zone: String,
    /// The name of the kind of machine that the endpoint runs on.
    #[serde(default, rename = "model")]
    machine_kind: String,
    /// The endpoint's cell, a group of endpoints that may share their memory of idempotency keys.
    #[serde(default, rename = "pod_group")]
    cell: u64,
    /// One of `up`, `draining` and `removed`.
    state: String,
    /// When the endpoint started, in Unix milliseconds, or 0 if that is unknown.
    #[serde(default, rename = "boot_ms")]
    started_at_ms: f64,
}

/// The reason for which an entry of the list is ignored.
#[derive(Debug, Error)]
enum EndpointEntryError {
    /// The entry is not an object, or a field is missing or has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The state is none of the three that the gateway knows.
    #[error("unknown state {0:?}, expected \"up\", \"draining\" or \"removed\"")]
    UnknownState(String),
}

/// An endpoint from a list of discovery.
pub(crate) struct DiscoveredEndpoint {
    /// The endpoint's entry in the list that is passed to the admission library.
    pub entry: EndpointEntry,
    /// The address that the endpoint listens on.
    pub addr: SocketAddr,
}

impl EndpointListUpdate {
    /// Returns whether the update has no entries.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the endpoints of the update. `now_ms` is the current time in Unix milliseconds.
    ///
    /// An entry that is malformed or has an unknown state is logged and skipped. If the list is complete, its
    /// endpoint then counts as absent, and nothing is sent to it.
    pub(crate) fn endpoints(self, names: &Names, now_ms: f64) -> Vec<DiscoveredEndpoint> {
        let parse = |(index, entry): (usize, &serde_json::Value)| {
            let endpoint = JsonEndpointEntry::parse(entry).and_then(|e| e.into_endpoint(names, now_ms));
            if let Err(error) = &endpoint {
                let uid = &entry["uid"];
                tracing::warn!(
                    target: target::DISCOVERY,
                    reason = %error,
                    "endpoint list entry ignored: malformed or in an unknown state: index {index}, uid {uid}"
                );
            }
            endpoint.ok()
        };
        self.entries.iter().enumerate().filter_map(parse).collect()
    }
}

impl JsonEndpointEntry {
    /// Parses an entry of the list.
    fn parse(entry: &serde_json::Value) -> Result<Self, EndpointEntryError> {
        Ok(Self::deserialize(entry)?)
    }

    /// Converts the entry to an endpoint. `names` gives the indexes of the zone and the kind of machine.
    fn into_endpoint(self, names: &Names, now_ms: f64) -> Result<DiscoveredEndpoint, EndpointEntryError> {
        let state = match self.state.as_str() {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Gone,
            _ => return Err(EndpointEntryError::UnknownState(self.state)),
        };
        let has_start_time = self.started_at_ms.is_finite() && self.started_at_ms > 0.0;
        let entry = EndpointEntry {
            id: endpoint_id(&self.uid),
            // Zones that the settings do not name share one index, the one after the last name. The same
            // goes for kinds of machines.
            zone: names.zone_index(&self.zone).unwrap_or(ZoneIndex(names.zones.len())),
            kind: names
                .machine_kind_index(&self.machine_kind)
                .unwrap_or(MachineKindIndex(names.machine_kinds.len())),
            cell: self.cell,
            state,
            // Discovery's clock may be ahead of the gateway's. If an endpoint had a start time in the future,
            // slow start would compute a negative capacity.
            started_at_ms: has_start_time.then(|| self.started_at_ms.min(now_ms)),
        };
        Ok(DiscoveredEndpoint { entry, addr: self.addr })
    }
}

/// Returns an endpoint's id: the FNV-1a hash of its uid. The id must be the same at every gateway, because
/// messages between gateways identify endpoints by it. The address would not do, because it may differ
/// between gateways.
fn endpoint_id(uid: &str) -> EndpointId {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(uid.as_bytes());
    EndpointId(hasher.finish())
}
