//! The gossip message: means over the fleet, observations of endpoints, and quota requests, responses and
//! releases.
use crate::messages::fixed_point::FixedPoint;
use crate::messages::message_entry::{put_entries, take_entry, take_message_type, MessageEntry};
use crate::messages::observation_code::Observation;
use crate::messages::quota_message::{QuotaRelease, QuotaRequest, QuotaResponse};
use std::str::Bytes;

/// First character of every gossip message, which tells it from a counts message.
const MESSAGE_TYPE: u8 = b'w';

/// Initial capacity of a message's text in bytes, enough for one quota message.
const USUAL_LEN: usize = 64;

/// A message between gateways in gossip mode.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct GossipMessage {
    /// Means over the fleet as the sender knows them.
    pub means: FixedPointMeans,
    /// Quota requests to the receiver, which owns the quotas.
    pub requests: Vec<QuotaRequest>,
    /// Responses to the receiver's quota requests.
    pub responses: Vec<QuotaResponse>,
    /// Releases of requests that have ended after the receiver was sent a quota request for them.
    pub releases: Vec<QuotaRelease>,
    /// The sender's observations of endpoints.
    pub observations: Vec<Observation>,
}

/// Values of one gateway, averaged over the gateways of the fleet and rounded to the steps that a message
/// carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct FixedPointMeans {
    /// Mean attempts in flight of a gateway, at the endpoints that its band counts.
    in_flight: FixedPoint<64, 2>,
    /// Mean watermark.
    watermark: FixedPoint<32, 2>,
    /// Mean good responses of a gateway per second.
    rate: FixedPoint<32, 2>,
}

impl FixedPointMeans {
    /// Creates the means, each rounded to its nearest step.
    pub(crate) fn new(in_flight: f64, watermark: f64, responses_per_second: f64) -> Self {
        FixedPointMeans {
            in_flight: FixedPoint::nearest(in_flight),
            watermark: FixedPoint::nearest(watermark),
            rate: FixedPoint::nearest(responses_per_second),
        }
    }

    /// Returns the mean attempts in flight of a gateway.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight.value()
    }

    /// Returns the mean watermark.
    pub(crate) fn watermark(&self) -> f64 {
        self.watermark.value()
    }

    /// Returns the mean good responses of a gateway per second.
    pub(crate) fn responses_per_second(&self) -> f64 {
        self.rate.value()
    }

    /// Appends the means' digits to a message.
    fn encode(&self, text: &mut String) {
        self.in_flight.encode(text);
        self.watermark.encode(text);
        self.rate.encode(text);
    }

    /// Reads the means from a message; `None` if a digit is missing or invalid.
    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(FixedPointMeans {
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
    /// Creates a message that carries one quota request.
    pub(crate) fn request(request: QuotaRequest) -> Self {
        GossipMessage { requests: vec![request], ..GossipMessage::default() }
    }

    /// Creates a message that carries one response.
    pub(crate) fn response(response: QuotaResponse) -> Self {
        GossipMessage { responses: vec![response], ..GossipMessage::default() }
    }

    /// Creates a message that carries one release.
    pub(crate) fn release(release: QuotaRelease) -> Self {
        GossipMessage { releases: vec![release], ..GossipMessage::default() }
    }

    /// Returns the message as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::with_capacity(USUAL_LEN);
        text.push(char::from(MESSAGE_TYPE));
        self.means.encode(&mut text);
        put_entries(&mut text, &self.requests);
        put_entries(&mut text, &self.responses);
        put_entries(&mut text, &self.releases);
        put_entries(&mut text, &self.observations);
        text
    }

    /// Decodes a message; `None` if any part of the text is not in this format.
    pub(crate) fn decode(text: &str) -> Option<Self> {
        let mut bytes = text.bytes();
        take_message_type(&mut bytes, MESSAGE_TYPE)?;
        let means = FixedPointMeans::decode(&mut bytes)?;
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
