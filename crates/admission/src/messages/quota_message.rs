//! Quota requests, responses and releases, which the owner of a customer's quota exchanges with the other
//! gateways that the customer's requests come through.
use crate::messages::base64_digits::{put, put_saturating, put_u64, take, take_u64, MAX_TWO_DIGITS};
use crate::messages::fixed_point::SixtyThirds;
use crate::messages::message_entry::MessageEntry;
use std::str::Bytes;

/// A request to the owner of a customer's quota for permission to send one of the customer's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaRequest {
    /// Full id of the customer.
    pub customer: u64,
    /// The customer's plan, an index into the settings. A message carries 63 at most: a higher index arrives
    /// as 63.
    pub plan: u32,
    /// Units of the request. A message carries 63 at most: more units arrive, and are charged, as 63.
    pub units: u32,
    /// Number of the first gateway that the customer's requests come through.
    pub first_gateway: u32,
    /// Number of gateways that the customer's requests come through. The others follow the first by number,
    /// and gateway 0 follows the last of the fleet.
    pub gateway_count: u32,
    /// Number of the quota request at its sender.
    pub number: QuotaRequestNumber,
    /// Time for which the request may wait at the owner for a grant; a later grant is of no use to the
    /// sender.
    pub wait_budget: WaitBudget,
    /// Fraction of the customer's requests for which the sender sends quota requests.
    pub sampling_fraction: SamplingFraction,
}

/// The owner's response to a quota request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaResponse {
    /// Number of the quota request at its sender.
    pub number: QuotaRequestNumber,
    /// The owner's decision.
    pub verdict: QuotaVerdict,
    /// Fraction of the customer's requests for which the owner wants quota requests.
    pub sampling_fraction: SamplingFraction,
}

/// A notice to the owner of a customer's quota that a request has ended for which the owner was sent a quota
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaRelease {
    /// Full id of the customer.
    pub customer: u64,
    /// Number of the quota request at its sender.
    pub number: QuotaRequestNumber,
    /// Units that the request consumed beyond those granted; below 0, units are given back.
    pub additional_units: QuarterUnits,
}

/// The decision of a quota's owner on a quota request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaVerdict {
    /// The request is within the quota.
    Granted,
    /// The request is within the quota, which is so full that the true units need not be reported.
    GrantedAmple,
    /// The request is within the quota, but all the customer's slots are taken, so the owner queues it.
    Queued,
    /// The request is over the quota, but its plan and the ceiling allow it while there is capacity.
    OverQuotaAllowed,
    /// The request is refused: it is over the quota or the ceiling, or too many requests wait for a slot
    /// already.
    Refused,
}

impl QuotaVerdict {
    /// Returns the code of the verdict in a message.
    fn code(self) -> u32 {
        match self {
            QuotaVerdict::Granted => 0,
            QuotaVerdict::Queued => 1,
            QuotaVerdict::Refused => 2,
            QuotaVerdict::OverQuotaAllowed => 3,
            QuotaVerdict::GrantedAmple => 4,
        }
    }

    /// Returns the verdict of a code; an unknown code grants nothing.
    fn from_code(code: u32) -> Self {
        match code {
            0 => QuotaVerdict::Granted,
            1 => QuotaVerdict::Queued,
            3 => QuotaVerdict::OverQuotaAllowed,
            4 => QuotaVerdict::GrantedAmple,
            _ => QuotaVerdict::Refused,
        }
    }
}

/// The number of a quota request at its sender. It has 12 bits, as many as a message carries, and restarts at
/// 0 after the largest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct QuotaRequestNumber(u32);

impl QuotaRequestNumber {
    /// Returns the number of the sender's next new quota request.
    pub(crate) fn next(self) -> Self {
        QuotaRequestNumber((self.0 + 1) & MAX_TWO_DIGITS)
    }

    /// Appends the number's digits to a message.
    fn encode(self, text: &mut String) {
        put(text, self.0, 2);
    }

    /// Reads a number from a message; `None` if a digit is missing or invalid.
    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        take(bytes, 2).map(QuotaRequestNumber)
    }
}

/// A fraction of requests in 63rds, which a message carries as one digit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SamplingFraction(SixtyThirds);

impl SamplingFraction {
    /// The fraction 1: all requests.
    pub(crate) const ALL: Self = SamplingFraction(SixtyThirds::ONE);

    /// Returns the 63rd nearest to a fraction of 0 to 1.
    pub(crate) fn nearest(fraction: f64) -> Self {
        SamplingFraction(SixtyThirds::nearest(fraction))
    }

    /// Returns the 63rd nearest to a fraction of 0 to 1, but at least one 63rd.
    pub(crate) fn nearest_above_zero(fraction: f64) -> Self {
        SamplingFraction(SixtyThirds::nearest(fraction).max(SixtyThirds::ONE_STEP))
    }

    /// Returns the highest 63rd that is not above a fraction of 0 to 1.
    pub(crate) fn at_most(fraction: f64) -> Self {
        SamplingFraction(SixtyThirds::at_most(fraction))
    }

    /// Returns the fraction, 0 to 1.
    pub(crate) fn fraction(self) -> f64 {
        self.0.value()
    }

    /// Returns the units of all requests, if the sampled fraction of them has `units`.
    pub(crate) fn extrapolate(self, units: f64) -> f64 {
        let sampled = self.0.max(SixtyThirds::ONE_STEP);
        units * f64::from(SixtyThirds::ONE.steps()) / f64::from(sampled.steps())
    }
}

/// The time for which a request may wait for a grant, in steps of 16 ms, 65 s at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitBudget(u32);

impl WaitBudget {
    /// Length of a step in ms.
    const STEP_MS: f64 = 16.0;

    /// Returns the time rounded down to whole steps.
    pub(crate) fn from_ms(ms: f64) -> Self {
        let steps = (ms.max(0.0) / Self::STEP_MS) as u32;
        WaitBudget(steps.min(MAX_TWO_DIGITS))
    }

    /// Returns the time in ms.
    pub(crate) fn ms(self) -> f64 {
        Self::STEP_MS * f64::from(self.0)
    }
}

/// Units in steps of a quarter; a message carries -512 to 511.75.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuarterUnits(i32);

impl QuarterUnits {
    /// Number of steps in a unit.
    const STEPS: f64 = 4.0;

    /// Added to the steps in a message, which carries no sign.
    const OFFSET: i32 = 2048;

    /// The most steps that a message carries.
    const MAX_ON_WIRE: i32 = MAX_TWO_DIGITS as i32 - Self::OFFSET;

    /// Returns the units rounded to the nearest step.
    pub(crate) fn nearest(units: f64) -> Self {
        QuarterUnits((units * Self::STEPS).round() as i32)
    }

    /// Returns the units.
    pub(crate) fn units(self) -> f64 {
        f64::from(self.0) / Self::STEPS
    }
}

impl MessageEntry for QuotaRequest {
    const MARKER: u8 = b'a';

    fn encode(&self, text: &mut String) {
        put_u64(text, self.customer);
        put_saturating(text, self.plan, 1);
        put_saturating(text, self.units, 1);
        put_saturating(text, self.first_gateway, 2);
        put_saturating(text, self.gateway_count, 2);
        self.number.encode(text);
        put_saturating(text, self.wait_budget.0, 2);
        self.sampling_fraction.0.encode(text);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(QuotaRequest {
            customer: take_u64(bytes)?,
            plan: take(bytes, 1)?,
            units: take(bytes, 1)?,
            first_gateway: take(bytes, 2)?,
            gateway_count: take(bytes, 2)?,
            number: QuotaRequestNumber::decode(bytes)?,
            wait_budget: WaitBudget(take(bytes, 2)?),
            sampling_fraction: SamplingFraction(SixtyThirds::decode(bytes)?),
        })
    }
}

impl MessageEntry for QuotaResponse {
    const MARKER: u8 = b'r';

    fn encode(&self, text: &mut String) {
        self.number.encode(text);
        put(text, self.verdict.code(), 1);
        self.sampling_fraction.0.encode(text);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(QuotaResponse {
            number: QuotaRequestNumber::decode(bytes)?,
            verdict: QuotaVerdict::from_code(take(bytes, 1)?),
            sampling_fraction: SamplingFraction(SixtyThirds::decode(bytes)?),
        })
    }
}

impl MessageEntry for QuotaRelease {
    const MARKER: u8 = b'e';

    fn encode(&self, text: &mut String) {
        put_u64(text, self.customer);
        self.number.encode(text);
        let quarters = self.additional_units.0.clamp(-QuarterUnits::OFFSET, QuarterUnits::MAX_ON_WIRE);
        put(text, (quarters + QuarterUnits::OFFSET) as u32, 2);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(QuotaRelease {
            customer: take_u64(bytes)?,
            number: QuotaRequestNumber::decode(bytes)?,
            additional_units: QuarterUnits(take(bytes, 2)? as i32 - QuarterUnits::OFFSET),
        })
    }
}
