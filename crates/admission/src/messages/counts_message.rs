//! The counts message, which each gateway sends to every other in broadcast mode.
use crate::messages::base64_digits::{max_value, put, put_saturating, take};
use crate::messages::fixed_point::{FixedPoint, SixtyThirds};
use crate::messages::message_entry::{put_entries, take_entry, take_message_type, MessageEntry};
use std::str::Bytes;

/// First character of every counts message, which tells it from a gossip message.
const MESSAGE_TYPE: u8 = b'h';

/// Digits of the sender's incarnation.
const INCARNATION_DIGITS: u32 = 3;

/// Digits of a sequence number.
const SEQUENCE_DIGITS: u32 = 2;

/// Digits of the sender's attempts in flight at the endpoints that its band counts.
const SENDER_IN_FLIGHT_DIGITS: u32 = 2;

/// Digits of a customer's tag.
const TAG_DIGITS: u32 = 4;

/// Digits of the units consumed of a customer's quota.
const CONSUMED_DIGITS: u32 = 3;

/// Digits of the attempts in flight for a customer.
const IN_FLIGHT_DIGITS: u32 = 1;

/// Digits of the units of a ceiling that are transferred.
const TRANSFER_DIGITS: u32 = 3;

/// Bytes of the message's header: message type, incarnation, sequence number, attempts in flight and
/// watermark.
const HEADER_LEN: usize =
    1 + (INCARNATION_DIGITS + SEQUENCE_DIGITS + SENDER_IN_FLIGHT_DIGITS + FixedPointWatermark::LEN) as usize;

/// Bytes of a customer's count with its marker.
const COUNT_LEN: usize = 1 + (TAG_DIGITS + CONSUMED_DIGITS + SixtyThirds::LEN + IN_FLIGHT_DIGITS) as usize;

/// Bytes of a ceiling request with its marker.
const CEILING_REQUEST_LEN: usize = 1 + TAG_DIGITS as usize;

/// Bytes of a ceiling transfer with its marker.
const CEILING_TRANSFER_LEN: usize = 1 + (TAG_DIGITS + TRANSFER_DIGITS) as usize;

/// The most bytes that the entries of one customer take up together.
pub(crate) const MAX_CUSTOMER_LEN: usize = COUNT_LEN + CEILING_REQUEST_LEN + CEILING_TRANSFER_LEN;

/// Mask of sequence numbers, which have 12 bits.
const SEQUENCE_MASK: u32 = max_value(SEQUENCE_DIGITS);

/// Half the range of sequence numbers. A number is newer than another if it is ahead of it by no more than
/// this, and older if it is ahead by more.
const MAX_SEQUENCE_LEAD: u32 = SEQUENCE_MASK / 2;

/// Mask of incarnations, which have 18 bits.
const INCARNATION_MASK: u32 = max_value(INCARNATION_DIGITS);

/// Number of quarter units in a unit; messages carry units in quarters.
pub(crate) const QUARTERS_PER_UNIT: f64 = 4.0;

/// Mask of the quarter units consumed, of which the message carries the low 18 bits.
const CONSUMED_MASK: u32 = max_value(CONSUMED_DIGITS);

/// Returns a gateway's incarnation for a hash of its seed, reduced to the bits that a message carries.
pub(crate) fn incarnation(hash: u64) -> u32 {
    (hash & u64::from(INCARNATION_MASK)) as u32
}

/// Returns the sequence number after this one. After the largest, numbers restart at 0.
pub(crate) fn next_sequence(sequence: u32) -> u32 {
    (sequence + 1) & SEQUENCE_MASK
}

/// Returns whether a sequence number is newer than `last` of the same sender, although numbers restart at 0.
pub(crate) fn is_newer_sequence(sequence: u32, last: u32) -> bool {
    let lead = sequence.wrapping_sub(last) & SEQUENCE_MASK;
    lead > 0 && lead <= MAX_SEQUENCE_LEAD
}

/// A gateway's count of one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CountEntry {
    /// Tag of the customer, 24 bits.
    pub tag: u32,
    /// Units that the sender has taken from its own bucket of the quota since it created the customer's
    /// record.
    pub consumed: ConsumedUnits,
    /// The tokens that the sender's bucket of the quota holds, as a fraction of the burst.
    pub fill: QuotaFill,
    /// Attempts of the sender in flight for the customer that take a slot at the sender; a message carries 63
    /// at most.
    pub in_flight: u32,
}

/// A request to the receiver for units of a customer's hard ceiling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CeilingRequest {
    /// Tag of the customer, 24 bits.
    pub tag: u32,
}

/// A transfer of units of a customer's hard ceiling from the sender to the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CeilingTransfer {
    /// Tag of the customer, 24 bits.
    pub tag: u32,
    /// Quarters of a unit that are transferred.
    quarter_units: u32,
}

impl CeilingTransfer {
    /// Creates a transfer of units, rounded down to quarters, so that no more arrives than the sender gave
    /// up.
    pub(crate) fn new(tag: u32, units: f64) -> Self {
        CeilingTransfer { tag, quarter_units: (units * QUARTERS_PER_UNIT) as u32 }
    }

    /// Returns the units transferred.
    pub(crate) fn units(&self) -> f64 {
        f64::from(self.quarter_units) / QUARTERS_PER_UNIT
    }
}

/// Units that a gateway has taken from its own bucket of a customer's quota since it created the customer's
/// record, as the low 18 bits of their quarters. The count wraps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ConsumedUnits(u32);

impl ConsumedUnits {
    /// Creates the count of these units, rounded to the nearest quarter.
    pub(crate) fn new(units: f64) -> Self {
        ConsumedUnits((units * QUARTERS_PER_UNIT).round() as i64 as u32 & CONSUMED_MASK)
    }

    /// Returns the units consumed since an earlier count. A difference of half the range or more means that
    /// units were given back.
    pub(crate) fn units_since(self, earlier: ConsumedUnits) -> f64 {
        let range = f64::from(CONSUMED_MASK + 1) / QUARTERS_PER_UNIT;
        let units = f64::from(self.0.wrapping_sub(earlier.0) & CONSUMED_MASK) / QUARTERS_PER_UNIT;
        if units >= range / 2.0 {
            units - range
        } else {
            units
        }
    }
}

/// Tokens of a quota as a fraction of its burst, in 63rds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaFill(SixtyThirds);

impl QuotaFill {
    /// Returns the highest 63rd that is not above a fraction of the burst.
    pub(crate) fn at_most(fraction: f64) -> Self {
        QuotaFill(SixtyThirds::at_most(fraction))
    }

    /// Returns the fraction of the burst.
    pub(crate) fn fraction(self) -> f64 {
        self.0.value()
    }
}

/// A watermark in 16ths, as the message carries it.
pub(crate) type FixedPointWatermark = FixedPoint<16, 2>;

/// A message between gateways in broadcast mode.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct CountsMessage {
    /// Distinguishes this start of the sender from earlier ones, 18 bits.
    pub incarnation: u32,
    /// Sequence number of the message among those to this receiver, 12 bits.
    pub sequence: u32,
    /// Attempts that the sender has in flight at the endpoints that its band counts; a message carries 4095
    /// at most.
    pub in_flight: u32,
    /// Watermark of the sender.
    pub watermark: FixedPointWatermark,
    /// Counts of the customers that the sender consumed units of or has attempts in flight for.
    pub counts: Vec<CountEntry>,
    /// Requests for units of customers' ceilings.
    pub ceiling_requests: Vec<CeilingRequest>,
    /// Transfers of units of customers' ceilings to the receiver.
    pub ceiling_transfers: Vec<CeilingTransfer>,
}

impl CountsMessage {
    /// Returns the length of the encoded message in bytes.
    pub(crate) fn len(&self) -> usize {
        HEADER_LEN
            + COUNT_LEN * self.counts.len()
            + CEILING_REQUEST_LEN * self.ceiling_requests.len()
            + CEILING_TRANSFER_LEN * self.ceiling_transfers.len()
    }

    /// Returns whether the message has no entry of any customer.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == HEADER_LEN
    }

    /// Returns the message as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::with_capacity(self.len());
        text.push(char::from(MESSAGE_TYPE));
        put(&mut text, self.incarnation, INCARNATION_DIGITS);
        put(&mut text, self.sequence, SEQUENCE_DIGITS);
        put_saturating(&mut text, self.in_flight, SENDER_IN_FLIGHT_DIGITS);
        self.watermark.encode(&mut text);
        put_entries(&mut text, &self.counts);
        put_entries(&mut text, &self.ceiling_requests);
        put_entries(&mut text, &self.ceiling_transfers);
        text
    }

    /// Decodes a message; `None` if any part of the text is not in this format.
    pub(crate) fn decode(text: &str) -> Option<Self> {
        let mut bytes = text.bytes();
        take_message_type(&mut bytes, MESSAGE_TYPE)?;
        let mut message = CountsMessage {
            incarnation: take(&mut bytes, INCARNATION_DIGITS)?,
            sequence: take(&mut bytes, SEQUENCE_DIGITS)?,
            in_flight: take(&mut bytes, SENDER_IN_FLIGHT_DIGITS)?,
            watermark: FixedPointWatermark::decode(&mut bytes)?,
            ..CountsMessage::default()
        };
        while let Some(marker) = bytes.next() {
            match marker {
                CountEntry::MARKER => take_entry(&mut bytes, &mut message.counts)?,
                CeilingRequest::MARKER => take_entry(&mut bytes, &mut message.ceiling_requests)?,
                CeilingTransfer::MARKER => take_entry(&mut bytes, &mut message.ceiling_transfers)?,
                _ => return None,
            }
        }
        Some(message)
    }
}

impl MessageEntry for CountEntry {
    const MARKER: u8 = b'q';

    fn encode(&self, text: &mut String) {
        put(text, self.tag, TAG_DIGITS);
        put(text, self.consumed.0, CONSUMED_DIGITS);
        self.fill.0.encode(text);
        put_saturating(text, self.in_flight, IN_FLIGHT_DIGITS);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(CountEntry {
            tag: take(bytes, TAG_DIGITS)?,
            consumed: ConsumedUnits(take(bytes, CONSUMED_DIGITS)?),
            fill: QuotaFill(SixtyThirds::decode(bytes)?),
            in_flight: take(bytes, IN_FLIGHT_DIGITS)?,
        })
    }
}

impl MessageEntry for CeilingRequest {
    const MARKER: u8 = b'n';

    fn encode(&self, text: &mut String) {
        put(text, self.tag, TAG_DIGITS);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(CeilingRequest { tag: take(bytes, TAG_DIGITS)? })
    }
}

impl MessageEntry for CeilingTransfer {
    const MARKER: u8 = b'g';

    fn encode(&self, text: &mut String) {
        put(text, self.tag, TAG_DIGITS);
        put(text, self.quarter_units, TRANSFER_DIGITS);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(CeilingTransfer { tag: take(bytes, TAG_DIGITS)?, quarter_units: take(bytes, TRANSFER_DIGITS)? })
    }
}
