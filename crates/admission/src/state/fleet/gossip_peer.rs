//! Gossip mode: whether another gateway responds.

/// Another gateway in gossip mode, where each may own customers' quotas.
#[derive(Debug, Default)]
pub(crate) struct GossipPeer {
    /// Quota requests to it in a row that got no response in time.
    missed_responses: u32,
    /// Until when it is sent no quota requests, in ms.
    suspected_until_ms: f64,
}

impl GossipPeer {
    /// Whether the peer is sent no quota requests now.
    pub(crate) fn is_suspected(&self, now_ms: f64) -> bool {
        now_ms < self.suspected_until_ms
    }

    /// Records a message: the peer is alive.
    pub(crate) fn record_message(&mut self) {
        *self = GossipPeer::default();
    }

    /// Records that the peer did not respond to a quota request in time, and returns how many responses in a
    /// row it has missed.
    pub(crate) fn record_missed_response(&mut self) -> u32 {
        self.missed_responses += 1;
        self.missed_responses
    }

    /// Has the peer suspected to be down until a time.
    pub(crate) fn suspect(&mut self, until_ms: f64) {
        self.suspected_until_ms = until_ms;
    }
}
