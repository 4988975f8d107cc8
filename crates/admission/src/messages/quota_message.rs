//! Quota requests, responses and releases: what passes between the owner of a customer's quota and the other
//! gateways that the customer's requests come through.
use crate::messages::base64_digits::{put, put_long, take, take_long, MAX_ONE_DIGIT, MAX_TWO_DIGITS};

/// Asks the owner of a customer's quota whether a request may be sent.
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
    /// How many gateways these are; the rest follow the first, counted round.
    pub gateways: u32,
    /// The quota request's number at its sender.
    pub number: QuotaRequestNumber,
    /// How long a response is of use.
    pub wait_budget: WaitBudget,
    /// Fraction of such requests that the sender asks about.
    pub sampling_fraction: SamplingFraction,
}

/// What the owner of a customer's quota decided on a quota request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaResponse {
    /// The quota request's number at its sender.
    pub number: QuotaRequestNumber,
    /// What was decided.
    pub verdict: QuotaVerdict,
    /// Fraction of such requests that the owner wants to be asked about.
    pub sampling_fraction: SamplingFraction,
}

/// Tells the owner of a customer's quota that a request it granted or kept waiting has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaRelease {
    /// The customer's full id.
    pub customer: u64,
    /// Number of the quota request.
    pub number: QuotaRequestNumber,
    /// What the request took beyond the units granted; below 0 gives some back.
    pub additional_units: QuarterUnits,
}

/// What the owner of a quota decides on a quota request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaVerdict {
    /// Within the quota.
    Granted,
    /// Within the quota, which is so full that the true units need not be reported.
    GrantedAmple,
    /// Within the quota, but all the customer's slots are taken: the request waits at the owner.
    Queued,
    /// Over the quota, but plan and ceiling let it go where there is room.
    OverQuotaAllowed,
    /// Over the quota or the ceiling.
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

/// A quota request's number at its sender. It has the 12 bits of the wire, and begins again at 0 after them.
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
    fn decode(bytes: &mut std::str::Bytes<'_>) -> Option<Self> {
        take(bytes, 2).map(QuotaRequestNumber)
    }
}

/// A fraction of requests, in 63rds as one digit holds them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SamplingFraction(u32);

impl SamplingFraction {
    /// All requests.
    pub(crate) const ALL: Self = SamplingFraction(MAX_ONE_DIGIT);

    /// The nearest 63rd to a fraction of 0 to 1.
    pub(crate) fn nearest(fraction: f64) -> Self {
        SamplingFraction((fraction * f64::from(MAX_ONE_DIGIT)).round() as u32)
    }

    /// The nearest 63rd to a fraction of 0 to 1, but one at least.
    pub(crate) fn nearest_above_zero(fraction: f64) -> Self {
        SamplingFraction(Self::nearest(fraction).0.max(1))
    }

    /// The highest 63rd that is not above a fraction of 0 to 1.
    pub(crate) fn at_most(fraction: f64) -> Self {
        SamplingFraction((fraction * f64::from(MAX_ONE_DIGIT)) as u32)
    }

    /// The fraction, 0 to 1.
    pub(crate) fn fraction(self) -> f64 {
        f64::from(self.0.min(MAX_ONE_DIGIT)) / f64::from(MAX_ONE_DIGIT)
    }

    /// Units of all requests, where the requests of the fraction have `units`.
    pub(crate) fn extrapolate(self, units: f64) -> f64 {
        units * f64::from(MAX_ONE_DIGIT) / f64::from(self.0.clamp(1, MAX_ONE_DIGIT))
    }
}

/// A span of time in steps of 16 ms, 65 s at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitBudget(u32);

impl WaitBudget {
    const STEP_MS: f64 = 16.0;

    /// The most steps that fit into a span.
    pub(crate) fn from_ms(ms: f64) -> Self {
        WaitBudget((ms.max(0.0) / Self::STEP_MS) as u32)
    }

    /// The span.
    pub(crate) fn ms(self) -> f64 {
        Self::STEP_MS * f64::from(self.0).min(f64::from(MAX_TWO_DIGITS))
    }
}

/// Units in steps of a quarter; the wire holds -512 to 511.75.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuarterUnits(i32);

impl QuarterUnits {
    const STEPS: f64 = 4.0;
    /// Added on the wire, which has no sign.
    const OFFSET: i32 = 2048;

    /// The nearest step.
    pub(crate) fn nearest(units: f64) -> Self {
        QuarterUnits((units * Self::STEPS).round() as i32)
    }

    /// The units.
    pub(crate) fn units(self) -> f64 {
        f64::from(self.0) / Self::STEPS
    }
}

impl QuotaRequest {
    /// Adds the request's digits to a message.
    pub(crate) fn encode(&self, text: &mut String) {
        put_long(text, self.customer);
        put(text, self.plan.min(MAX_ONE_DIGIT), 1);
        put(text, self.units.min(MAX_ONE_DIGIT), 1);
        put(text, self.first_gateway.min(MAX_TWO_DIGITS), 2);
        put(text, self.gateways.min(MAX_TWO_DIGITS), 2);
        self.number.encode(text);
        put(text, self.wait_budget.0.min(MAX_TWO_DIGITS), 2);
        put(text, self.sampling_fraction.0.min(MAX_ONE_DIGIT), 1);
    }

    /// Reads a request from a message; `None` where its digits are not all there.
    pub(crate) fn decode(bytes: &mut std::str::Bytes<'_>) -> Option<Self> {
        Some(QuotaRequest {
            customer: take_long(bytes)?,
            plan: take(bytes, 1)?,
            units: take(bytes, 1)?,
            first_gateway: take(bytes, 2)?,
            gateways: take(bytes, 2)?,
            number: QuotaRequestNumber::decode(bytes)?,
            wait_budget: WaitBudget(take(bytes, 2)?),
            sampling_fraction: SamplingFraction(take(bytes, 1)?),
        })
    }
}

impl QuotaResponse {
    /// Adds the response's digits to a message.
    pub(crate) fn encode(&self, text: &mut String) {
        self.number.encode(text);
        put(text, self.verdict.code(), 1);
        put(text, self.sampling_fraction.0.min(MAX_ONE_DIGIT), 1);
    }

    /// Reads a response from a message; `None` where its digits are not all there.
    pub(crate) fn decode(bytes: &mut std::str::Bytes<'_>) -> Option<Self> {
        Some(QuotaResponse {
            number: QuotaRequestNumber::decode(bytes)?,
            verdict: QuotaVerdict::from_code(take(bytes, 1)?),
            sampling_fraction: SamplingFraction(take(bytes, 1)?),
        })
    }
}

impl QuotaRelease {
    /// Adds the release's digits to a message.
    pub(crate) fn encode(&self, text: &mut String) {
        put_long(text, self.customer);
        self.number.encode(text);
        let max = MAX_TWO_DIGITS as i32 - QuarterUnits::OFFSET;
        let quarters = self.additional_units.0.clamp(-QuarterUnits::OFFSET, max);
        put(text, (quarters + QuarterUnits::OFFSET) as u32, 2);
    }

    /// Reads a release from a message; `None` where its digits are not all there.
    pub(crate) fn decode(bytes: &mut std::str::Bytes<'_>) -> Option<Self> {
        Some(QuotaRelease {
            customer: take_long(bytes)?,
            number: QuotaRequestNumber::decode(bytes)?,
            additional_units: QuarterUnits(take(bytes, 2)? as i32 - QuarterUnits::OFFSET),
        })
    }
}
