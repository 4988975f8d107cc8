//! Gossip mode: whether another gateway responds.

/// Another gateway in gossip mode, in which each gateway may own customers' quotas.
#[derive(Debug, Default)]
pub(crate) struct GossipPeer {
    /// Number of consecutive quota requests to the peer that got no response in time.
    missed_responses: u32,
    /// Time until which the peer is suspected to be down and is sent no quota requests, in ms.
    suspected_until_ms: f64,
}

impl GossipPeer {
    /// Returns whether the peer is suspected to be down, so that it is sent no quota requests.
    pub(crate) fn is_suspected(&self, now_ms: f64) -> bool {
        now_ms < self.suspected_until_ms
    }

    /// Records a message from the peer, which shows that it is up.
    pub(crate) fn record_message(&mut self) {
        *self = GossipPeer::default();
    }

    /// Records that the peer did not respond to a quota request in time, and returns the number of
    /// consecutive responses that it has missed.
    pub(crate) fn record_missed_response(&mut self) -> u32 {
        self.missed_responses += 1;
        self.missed_responses
    }

    /// Marks the peer as suspected to be down until `until_ms`.
    pub(crate) fn suspect(&mut self, until_ms: f64) {
        self.suspected_until_ms = until_ms;
    }
}
