//! The counts message: what each gateway of a small fleet sends every other.
use crate::messages::base64_digits::{put, take, MAX_ONE_DIGIT, MAX_TWO_DIGITS};

/// First character of every counts message.
const VERSION: char = 'h';

/// Bytes of the message's head, and of each entry with the character that marks it.
const HEAD_LEN: usize = 10;
const COUNT_LEN: usize = 10;
const CEILING_REQUEST_LEN: usize = 5;
const CEILING_TRANSFER_LEN: usize = 8;

/// Bytes that all entries of one customer take at most.
pub(crate) const MAX_CUSTOMER_LEN: usize = COUNT_LEN + CEILING_REQUEST_LEN + CEILING_TRANSFER_LEN;

/// Sequence numbers have 12 bits.
pub(crate) const SEQUENCE_MASK: u32 = 0xfff;

/// Consumed units are counted in quarters, of which the message has the low 18 bits.
const QUARTERS: f64 = 4.0;
const CONSUMED_MASK: u32 = 0x3_ffff;

/// Steps of the wire for a unit of watermark.
const WATERMARK_STEPS: f64 = 16.0;

/// What a gateway reports of one customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CountEntry {
    /// The customer's tag, 24 bits.
    pub tag: u32,
    /// Units consumed since the sender's start.
    pub consumed: ConsumedUnits,
    /// What the quota holds as the sender sees it.
    pub fill: QuotaFill,
    /// Attempts the sender has in flight for the customer; the wire has 63 at most.
    pub in_flight: u32,
}

/// Units of a hard ceiling that a gateway gives to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CeilingTransfer {
    /// The customer's tag, 24 bits.
    pub tag: u32,
    quarter_units: u32,
}

impl CeilingTransfer {
    /// A transfer of units, rounded down to quarters: no more may arrive than was taken off.
    pub(crate) fn new(tag: u32, units: f64) -> Self {
        CeilingTransfer { tag, quarter_units: (units * QUARTERS) as u32 }
    }

    /// Units given.
    pub(crate) fn units(&self) -> f64 {
        f64::from(self.quarter_units) / QUARTERS
    }
}

/// Units consumed since a gateway's start: the low 18 bits of the quarters, so that the count wraps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ConsumedUnits(u32);

impl ConsumedUnits {
    /// The count of units consumed.
    pub(crate) fn new(units: f64) -> Self {
        ConsumedUnits((units * QUARTERS).round() as i64 as u32 & CONSUMED_MASK)
    }

    /// Units consumed since an earlier count. More than half the range means that some were given back.
    pub(crate) fn units_since(self, earlier: ConsumedUnits) -> f64 {
        let range = f64::from(CONSUMED_MASK + 1) / QUARTERS;
        let units = f64::from(self.0.wrapping_sub(earlier.0) & CONSUMED_MASK) / QUARTERS;
        if units >= range / 2.0 {
            units - range
        } else {
            units
        }
    }
}

/// What a quota holds, in 63rds of its burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaFill(u32);

impl QuotaFill {
    /// The highest step that is not above a fraction of the burst.
    pub(crate) fn at_most(fraction: f64) -> Self {
        QuotaFill((fraction.clamp(0.0, 1.0) * f64::from(MAX_ONE_DIGIT)) as u32)
    }

    /// The fraction of the burst.
    pub(crate) fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(MAX_ONE_DIGIT)
    }
}

/// A message between gateways of a small fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct CountsMessage {
    /// Tells this start of the sender from earlier ones, 18 bits.
    pub incarnation: u32,
    /// The message's sequence number to this receiver, 12 bits.
    pub sequence: u32,
    /// Attempts that the sender has in flight; the wire has 4095 at most.
    pub stock: u32,
    /// The sender's watermark.
    pub watermark: WatermarkOnWire,
    /// Customers that the sender consumed units of or has attempts in flight for.
    pub counts: Vec<CountEntry>,
    /// Tags of customers of whose ceiling the sender requests units.
    pub ceiling_requests: Vec<u32>,
    /// Units of ceilings that the sender gives to the receiver.
    pub ceiling_transfers: Vec<CeilingTransfer>,
}

/// A watermark in 16ths, as the message has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct WatermarkOnWire(u32);

impl WatermarkOnWire {
    /// The highest step that is not above a watermark.
    pub(crate) fn at_most(watermark: f64) -> Self {
        WatermarkOnWire((watermark * WATERMARK_STEPS) as u32)
    }

    /// The watermark.
    pub(crate) fn watermark(self) -> f64 {
        f64::from(self.0) / WATERMARK_STEPS
    }
}

impl CountsMessage {
    /// Length of the text in bytes.
    pub(crate) fn len(&self) -> usize {
        HEAD_LEN
            + COUNT_LEN * self.counts.len()
            + CEILING_REQUEST_LEN * self.ceiling_requests.len()
            + CEILING_TRANSFER_LEN * self.ceiling_transfers.len()
    }

    /// Whether the message says nothing of any customer.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == HEAD_LEN
    }

    /// The message as text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::with_capacity(self.len());
        text.push(VERSION);
        put(&mut text, self.incarnation, 3);
        put(&mut text, self.sequence, 2);
        put(&mut text, self.stock.min(MAX_TWO_DIGITS), 2);
        put(&mut text, self.watermark.0.min(MAX_TWO_DIGITS), 2);
        for count in &self.counts {
            text.push('q');
            put(&mut text, count.tag, 4);
            put(&mut text, count.consumed.0, 3);
            put(&mut text, count.fill.0.min(MAX_ONE_DIGIT), 1);
            put(&mut text, count.in_flight.min(MAX_ONE_DIGIT), 1);
        }
        for tag in &self.ceiling_requests {
            text.push('n');
            put(&mut text, *tag, 4);
        }
        for transfer in &self.ceiling_transfers {
            text.push('g');
            put(&mut text, transfer.tag, 4);
            put(&mut text, transfer.quarter_units, 3);
        }
        text
    }

    /// Reads a text; `None` where any of it is not of this format.
    pub(crate) fn decode(text: &str) -> Option<Self> {
        let mut bytes = text.bytes();
        if bytes.next()? != VERSION as u8 {
            return None;
        }
        let mut message = CountsMessage {
            incarnation: take(&mut bytes, 3)?,
            sequence: take(&mut bytes, 2)?,
            stock: take(&mut bytes, 2)?,
            watermark: WatermarkOnWire(take(&mut bytes, 2)?),
            ..CountsMessage::default()
        };
        while let Some(kind) = bytes.next() {
            match kind {
                b'q' => message.counts.push(CountEntry::decode(&mut bytes)?),
                b'n' => message.ceiling_requests.push(take(&mut bytes, 4)?),
                b'g' => message
                    .ceiling_transfers
                    .push(CeilingTransfer { tag: take(&mut bytes, 4)?, quarter_units: take(&mut bytes, 3)? }),
                _ => return None,
            }
        }
        Some(message)
    }
}

impl CountEntry {
    /// Reads a count from a message; `None` where its digits are not all there.
    fn decode(bytes: &mut std::str::Bytes<'_>) -> Option<Self> {
        Some(CountEntry {
            tag: take(bytes, 4)?,
            consumed: ConsumedUnits(take(bytes, 3)?),
            fill: QuotaFill(take(bytes, 1)?),
            in_flight: take(bytes, 1)?,
        })
    }
}
