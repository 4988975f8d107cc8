//! Quota requests, responses and releases: what passes between the owner of a customer's quota and the other
//! gateways that the customer's requests come through.
use crate::messages::base64_digits::{put, put_at_most, put_long, take, take_long, MAX_TWO_DIGITS};
use crate::messages::fixed_point::SixtyThirds;
use crate::messages::message_entry::MessageEntry;
use std::str::Bytes;

/// Requests from the owner of a customer's quota that a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaRequest {
    /// The customer's full id.
    pub customer: u64,
    /// Its plan, an index into the settings, 63 at most.
    pub plan: u32,
    /// Units of the request, 63 at most.
    pub units: u32,
    /// Number of the first gateway that the customer's requests come through.
    pub first_gateway: u32,
    /// How many gateways these are. The others follow the first, and gateway 0 follows the last of the fleet.
    pub gateways: u32,
    /// The quota request's number at its sender.
    pub number: QuotaRequestNumber,
    /// How long a response is of use.
    pub wait_budget: WaitBudget,
    /// Fraction of such requests for which the sender sends quota requests.
    pub sampling_fraction: SamplingFraction,
}

/// What the owner of a customer's quota decided on a quota request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaResponse {
    /// The quota request's number at its sender.
    pub number: QuotaRequestNumber,
    /// What was decided.
    pub verdict: QuotaVerdict,
    /// Fraction of such requests for which the owner wants quota requests.
    pub sampling_fraction: SamplingFraction,
}

/// Notifies the owner of a customer's quota that a request it granted or queued has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaRelease {
    /// The customer's full id.
    pub customer: u64,
    /// Number of the quota request.
    pub number: QuotaRequestNumber,
    /// What the request consumed beyond the units granted; below 0 some are given back.
    pub additional_units: QuarterUnits,
}

/// What the owner of a quota decides on a quota request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaVerdict {
    /// Within the quota.
    Granted,
    /// Within the quota, which is so full that the true units need not be reported.
    GrantedAmple,
    /// Within the quota, but all the customer's slots are taken: the request is queued at the owner.
    Queued,
    /// Over the quota, but plan and ceiling allow it while there is capacity.
    OverQuotaAllowed,
    /// Over the quota or the ceiling, or as many requests wait for a slot as may.
    OverQuota,
}

impl QuotaVerdict {
    /// The number that stands for it on the wire.
    fn code(self) -> u32 {
        match self {
            QuotaVerdict::Granted => 0,
            QuotaVerdict::Queued => 1,
            QuotaVerdict::OverQuota => 2,
            QuotaVerdict::OverQuotaAllowed => 3,
            QuotaVerdict::GrantedAmple => 4,
        }
    }

    /// The verdict of a code; an unknown one grants nothing.
    fn from_code(code: u32) -> Self {
        match code {
            0 => QuotaVerdict::Granted,
            1 => QuotaVerdict::Queued,
            3 => QuotaVerdict::OverQuotaAllowed,
            4 => QuotaVerdict::GrantedAmple,
            _ => QuotaVerdict::OverQuota,
        }
    }
}

/// A quota request's number at its sender. It has the 12 bits of the wire, and restarts at 0 after them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct QuotaRequestNumber(u32);

impl QuotaRequestNumber {
    /// The number of the sender's next new quota request.
    pub(crate) fn next(self) -> Self {
        QuotaRequestNumber((self.0 + 1) & MAX_TWO_DIGITS)
    }

    /// Adds the number's digits to a message.
    fn encode(self, text: &mut String) {
        put(text, self.0, 2);
    }

    /// Reads a number from a message; `None` where its digits are not all there.
    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        take(bytes, 2).map(QuotaRequestNumber)
    }
}

/// A fraction of requests, in 63rds as one digit carries them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SamplingFraction(SixtyThirds);

impl SamplingFraction {
    /// All requests.
    pub(crate) const ALL: Self = SamplingFraction(SixtyThirds::ONE);

    /// The nearest 63rd to a fraction of 0 to 1.
    pub(crate) fn nearest(fraction: f64) -> Self {
        SamplingFraction(SixtyThirds::nearest(fraction))
    }

    /// The nearest 63rd to a fraction of 0 to 1, but one at least.
    pub(crate) fn nearest_above_zero(fraction: f64) -> Self {
        SamplingFraction(SixtyThirds::nearest(fraction).max(SixtyThirds::ONE_STEP))
    }

    /// The highest 63rd that is not above a fraction of 0 to 1.
    pub(crate) fn at_most(fraction: f64) -> Self {
        SamplingFraction(SixtyThirds::at_most(fraction))
    }

    /// The fraction, 0 to 1.
    pub(crate) fn fraction(self) -> f64 {
        self.0.value()
    }

    /// Units of all requests, where the requests of the fraction have `units`.
    pub(crate) fn extrapolate(self, units: f64) -> f64 {
        let sampled = self.0.max(SixtyThirds::ONE_STEP);
        units * f64::from(SixtyThirds::ONE.steps()) / f64::from(sampled.steps())
    }
}

/// A span of time in steps of 16 ms, 65 s at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitBudget(u32);

impl WaitBudget {
    /// Length of a step in ms.
    const STEP_MS: f64 = 16.0;

    /// The most steps that fit into a span.
    pub(crate) fn from_ms(ms: f64) -> Self {
        let steps = (ms.max(0.0) / Self::STEP_MS) as u32;
        WaitBudget(steps.min(MAX_TWO_DIGITS))
    }

    /// The span.
    pub(crate) fn ms(self) -> f64 {
        Self::STEP_MS * f64::from(self.0)
    }
}

/// Units in steps of a quarter; the wire carries -512 to 511.75.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuarterUnits(i32);

impl QuarterUnits {
    /// Steps of a unit.
    const STEPS: f64 = 4.0;

    /// Added on the wire, which has no sign.
    const OFFSET: i32 = 2048;

    /// The most steps that the wire carries.
    const MAX_ON_WIRE: i32 = MAX_TWO_DIGITS as i32 - Self::OFFSET;

    /// The nearest step.
    pub(crate) fn nearest(units: f64) -> Self {
        QuarterUnits((units * Self::STEPS).round() as i32)
    }

    /// The units.
    pub(crate) fn units(self) -> f64 {
        f64::from(self.0) / Self::STEPS
    }
}

impl MessageEntry for QuotaRequest {
    const MARKER: u8 = b'a';

    fn encode(&self, text: &mut String) {
        put_long(text, self.customer);
        put_at_most(text, self.plan, 1);
        put_at_most(text, self.units, 1);
        put_at_most(text, self.first_gateway, 2);
        put_at_most(text, self.gateways, 2);
        self.number.encode(text);
        put_at_most(text, self.wait_budget.0, 2);
        self.sampling_fraction.0.encode(text);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(QuotaRequest {
            customer: take_long(bytes)?,
            plan: take(bytes, 1)?,
            units: take(bytes, 1)?,
            first_gateway: take(bytes, 2)?,
            gateways: take(bytes, 2)?,
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
        put_long(text, self.customer);
        self.number.encode(text);
        let quarters = self.additional_units.0.clamp(-QuarterUnits::OFFSET, QuarterUnits::MAX_ON_WIRE);
        put(text, (quarters + QuarterUnits::OFFSET) as u32, 2);
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        Some(QuotaRelease {
            customer: take_long(bytes)?,
            number: QuotaRequestNumber::decode(bytes)?,
            additional_units: QuarterUnits(take(bytes, 2)? as i32 - QuarterUnits::OFFSET),
        })
    }
}
