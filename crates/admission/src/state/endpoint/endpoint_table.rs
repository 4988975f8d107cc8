//! The endpoints of the list.
use crate::event::{EndpointEntry, ListUpdateKind};
use crate::id::EndpointId;
use crate::mechanism::splitmix64::{short_tag, SplitMix64};
use crate::state::{Endpoint, EndpointSmoothing};
use std::collections::{BTreeMap, BTreeSet};

/// The endpoints of the list, and those no longer listed at which this gateway still has attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    /// The record of each endpoint.
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// The id of each endpoint, by the tag that represents it in messages.
    id_by_tag: BTreeMap<u32, EndpointId>,
    /// The list is too old to be used.
    list_expired: bool,
    /// The times over which the response time and send rate of each endpoint are smoothed.
    smoothing: EndpointSmoothing,
}

impl EndpointTable {
    /// Creates a table without endpoints.
    pub(crate) fn new(smoothing: EndpointSmoothing) -> Self {
        EndpointTable { smoothing, ..EndpointTable::default() }
    }

    /// Applies an update of the list. An endpoint starts to warm up with a random fraction of a token.
    /// Otherwise all gateways would send it their first attempt at the same time.
    pub(crate) fn apply_list(
        &mut self,
        kind: ListUpdateKind,
        entries: Vec<EndpointEntry>,
        now_ms: f64,
        random: &mut SplitMix64,
    ) {
        if kind == ListUpdateKind::Failed {
            return;
        }
        self.list_expired = false;
        if kind != ListUpdateKind::Changes {
            self.mark_unlisted_gone(&entries);
        }
        for entry in entries {
            let tokens = if entry.started_at_ms.is_some() { random.next_fraction() } else { 0.0 };
            match self.by_id.get_mut(&entry.id) {
                Some(endpoint) => endpoint.update(entry, now_ms, tokens),
                None => {
                    self.by_id.insert(entry.id, Endpoint::new(entry, now_ms, tokens, self.smoothing));
                }
            }
        }
        self.by_id.retain(|_, endpoint| !endpoint.is_gone() || !endpoint.in_flight().is_empty());
        self.id_by_tag = self.by_id.keys().map(|id| (short_tag(id.0), *id)).collect();
    }

    /// Marks the list as too old to be used, until the next update that is not `ListUpdateKind::Failed`. The
    /// endpoints are kept.
    pub(crate) fn expire_list(&mut self) {
        self.list_expired = true;
    }

    /// Marks the endpoints that are not in a complete list as no longer listed.
    fn mark_unlisted_gone(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
        for (id, endpoint) in &mut self.by_id {
            if !listed.contains(id) {
                endpoint.mark_gone();
            }
        }
    }

    /// Returns whether the list is too old to be used.
    fn is_list_expired(&self) -> bool {
        self.list_expired
    }

    /// Returns the number of known endpoints. Draining ones count, and so do those no longer listed at which
    /// this gateway still has attempts in flight.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns all endpoints, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_id.values()
    }

    /// Returns the endpoints that new attempts may be sent to: those that are ready, or none if the list has
    /// expired.
    pub(crate) fn available(&self) -> impl Iterator<Item = &Endpoint> {
        self.ready().filter(|_| !self.is_list_expired())
    }

    /// Returns the endpoints at which the list permits new attempts.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Endpoint> {
        self.iter().filter(|endpoint| endpoint.is_ready())
    }

    /// Returns the endpoint with the given id.
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    /// Returns the endpoint with the given id, for modification.
    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    /// Returns the endpoint with the given tag, for modification.
    pub(crate) fn get_by_tag_mut(&mut self, tag: u32) -> Option<&mut Endpoint> {
        self.by_id.get_mut(self.id_by_tag.get(&tag)?)
    }

    /// Removes an endpoint if it is no longer listed and has no attempt of this gateway in flight.
    pub(crate) fn remove_if_finished(&mut self, id: EndpointId) {
        if self.get(id).is_some_and(|endpoint| endpoint.is_gone() && endpoint.in_flight().is_empty()) {
            self.by_id.remove(&id);
        }
    }
}
