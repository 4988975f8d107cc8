//! The gossip message: fleet-wide means, observations of endpoints, and quota requests, responses and
//! releases.
use crate::messages::base64_digits::{put, take, MAX_TWO_DIGITS};
use crate::messages::observation_code::Observation;
use crate::messages::quota_message::{QuotaRelease, QuotaRequest, QuotaResponse};

/// First character of every gossip message.
const VERSION: char = 'w';

/// Steps of the wire for an attempt in flight, a unit of watermark, and a response a second.
const STOCK_STEPS: f64 = 64.0;
const WATERMARK_STEPS: f64 = 32.0;
const RATE_STEPS: f64 = 32.0;

/// A message between gateways of a large fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct GossipMessage {
    /// Fleet-wide means as the sender has them.
    pub means: MeansOnWire,
    /// Quota requests to the receiver as the owner of the quotas.
    pub requests: Vec<QuotaRequest>,
    /// Responses to the receiver's quota requests.
    pub responses: Vec<QuotaResponse>,
    /// Requests that the receiver had granted or kept waiting and that have ended.
    pub releases: Vec<QuotaRelease>,
    /// What the sender observed of endpoints.
    pub observations: Vec<Observation>,
}

/// Fleet-wide means of one gateway, in the steps of the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct MeansOnWire {
    stock: u32,
    watermark: u32,
    rate: u32,
}

impl MeansOnWire {
    /// Means of a gateway's attempts in flight, its watermark, and its good responses a second.
    pub(crate) fn new(stock: f64, watermark: f64, responses_per_second: f64) -> Self {
        MeansOnWire {
            stock: (stock * STOCK_STEPS).round() as u32,
            watermark: (watermark * WATERMARK_STEPS).round() as u32,
            rate: (responses_per_second * RATE_STEPS).round() as u32,
        }
    }

    /// Mean attempts in flight of a gateway.
    pub(crate) fn stock(&self) -> f64 {
        f64::from(self.stock) / STOCK_STEPS
    }

    /// Mean watermark.
    pub(crate) fn watermark(&self) -> f64 {
        f64::from(self.watermark) / WATERMARK_STEPS
    }

    /// Mean good responses of a gateway a second.
    pub(crate) fn responses_per_second(&self) -> f64 {
        f64::from(self.rate) / RATE_STEPS
    }

    /// Adds the means' digits to a message.
    fn encode(&self, text: &mut String) {
        put(text, self.stock.min(MAX_TWO_DIGITS), 2);
        put(text, self.watermark.min(MAX_TWO_DIGITS), 2);
        put(text, self.rate.min(MAX_TWO_DIGITS), 2);
    }

    /// Reads the means from a message; `None` where their digits are not all there.
    fn decode(bytes: &mut std::str::Bytes<'_>) -> Option<Self> {
        Some(MeansOnWire { stock: take(bytes, 2)?, watermark: take(bytes, 2)?, rate: take(bytes, 2)? })
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
        let mut text = String::with_capacity(64);
        text.push(VERSION);
        self.means.encode(&mut text);
        for request in &self.requests {
            text.push('a');
            request.encode(&mut text);
        }
        for response in &self.responses {
            text.push('r');
            response.encode(&mut text);
        }
        for release in &self.releases {
            text.push('e');
            release.encode(&mut text);
        }
        for observation in &self.observations {
            text.push('s');
            observation.encode(&mut text);
        }
        text
    }

    /// Reads a text; `None` where any of it is not of this format.
    pub(crate) fn decode(text: &str) -> Option<Self> {
        let mut bytes = text.bytes();
        if bytes.next()? != VERSION as u8 {
            return None;
        }
        let mut message =
            GossipMessage { means: MeansOnWire::decode(&mut bytes)?, ..GossipMessage::default() };
        while let Some(kind) = bytes.next() {
            match kind {
                b'a' => message.requests.push(QuotaRequest::decode(&mut bytes)?),
                b'r' => message.responses.push(QuotaResponse::decode(&mut bytes)?),
                b'e' => message.releases.push(QuotaRelease::decode(&mut bytes)?),
                b's' => message.observations.push(Observation::decode(&mut bytes)?),
                _ => return None,
            }
        }
        Some(message)
    }
}
