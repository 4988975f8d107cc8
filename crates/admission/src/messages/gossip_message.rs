//! The gossip message: means over the fleet, observations of endpoints, and quota requests, responses and
//! releases.
use crate::messages::fixed_point::FixedPoint;
use crate::messages::message_entry::{put_entries, take_entry, take_version, MessageEntry};
use crate::messages::observation_code::Observation;
use crate::messages::quota_message::{QuotaRelease, QuotaRequest, QuotaResponse};
use std::str::Bytes;

/// First character of every gossip message.
const VERSION: u8 = b'w';

/// Bytes that the text of a message is given space for at first: enough for one quota message.
const USUAL_LEN: usize = 64;

/// A message between gateways in gossip mode.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct GossipMessage {
    /// Means over the fleet as the sender has them.
    pub means: MeansOnWire,
    /// Quota requests to the receiver as the owner of the quotas.
    pub requests: Vec<QuotaRequest>,
    /// Responses to the receiver's quota requests.
    pub responses: Vec<QuotaResponse>,
    /// Requests that the receiver granted or queued and that have ended.
    pub releases: Vec<QuotaRelease>,
    /// What the sender observed of endpoints.
    pub observations: Vec<Observation>,
}

/// Means over the fleet of one gateway's figures, in the steps of the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct MeansOnWire {
    /// Attempts in flight.
    in_flight: FixedPoint<64, 2>,
    /// The watermark.
    watermark: FixedPoint<32, 2>,
    /// Good responses per second.
    rate: FixedPoint<32, 2>,
}

impl MeansOnWire {
    /// Means of a gateway's attempts in flight, its watermark, and its good responses per second.
    pub(crate) fn new(in_flight: f64, watermark: f64, responses_per_second: f64) -> Self {
        MeansOnWire {
            in_flight: FixedPoint::nearest(in_flight),
            watermark: FixedPoint::nearest(watermark),
            rate: FixedPoint::nearest(responses_per_second),
        }
    }

    /// Mean attempts in flight of a gateway.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight.value()
    }

    /// Mean watermark.
    pub(crate) fn watermark(&self) -> f64 {
        self.watermark.value()
    }

    /// Mean good responses of a gateway per second.
    pub(crate) fn responses_per_second(&self) -> f64 {
        self.rate.value()
    }

    /// Adds the means' digits to a message.
    fn encode(&self, text: &mut String) {
        self.in_flight.encode(text);
        self.watermark.encode(text);
        self.rate.encode(text);
    }

    /// Reads the means from a message; `None` where their digits are not all there.
    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(MeansOnWire {
            in_flight: FixedPoint::decode(bytes)?,
            watermark: FixedPoint::decode(bytes)?,
            rate: FixedPoint::decode(bytes)?,
        })
    }
}

impl MessageEntry for Observation {
    const MARKER: u8 = b's';

    fn encode(&self, text: &mut String) {
        Observation::encode(self, text);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Observation::decode(bytes)
    }
}

impl GossipMessage {
    /// A message that carries one quota request.
    pub(crate) fn request(request: QuotaRequest) -> Self {
        GossipMessage { requests: vec![request], ..GossipMessage::default() }
    }

    /// A message that carries one response.
    pub(crate) fn response(response: QuotaResponse) -> Self {
        GossipMessage { responses: vec![response], ..GossipMessage::default() }
    }

    /// A message that carries one release.
    pub(crate) fn release(release: QuotaRelease) -> Self {
        GossipMessage { releases: vec![release], ..GossipMessage::default() }
    }

    /// The message as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::with_capacity(USUAL_LEN);
        text.push(char::from(VERSION));
        self.means.encode(&mut text);
        put_entries(&mut text, &self.requests);
        put_entries(&mut text, &self.responses);
        put_entries(&mut text, &self.releases);
        put_entries(&mut text, &self.observations);
        text
    }

    /// Reads a text; `None` where any of it is not of this format.
    pub(crate) fn decode(text: &str) -> Option<Self> {
        let mut bytes = text.bytes();
        take_version(&mut bytes, VERSION)?;
        let means = MeansOnWire::decode(&mut bytes)?;
        let mut message = GossipMessage { means, ..GossipMessage::default() };
        while let Some(marker) = bytes.next() {
            match marker {
                QuotaRequest::MARKER => take_entry(&mut bytes, &mut message.requests)?,
                QuotaResponse::MARKER => take_entry(&mut bytes, &mut message.responses)?,
                QuotaRelease::MARKER => take_entry(&mut bytes, &mut message.releases)?,
                Observation::MARKER => take_entry(&mut bytes, &mut message.observations)?,
                _ => return None,
            }
        }
        Some(message)
    }
}
