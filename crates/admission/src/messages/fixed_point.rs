//! Figures in whole steps, as messages carry them.
use crate::messages::base64_digits::{max_value, put_at_most, take};
use std::str::Bytes;

/// A figure of 0 or more in whole steps: `STEPS` of them make 1, and it has `DIGITS` digits in a message. A
/// figure that is too large counts as the largest that the digits carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct FixedPoint<const STEPS: u32, const DIGITS: u32>(u32);

/// A fraction of 0 to 1 in one digit.
pub(crate) type SixtyThirds = FixedPoint<63, 1>;

impl<const STEPS: u32, const DIGITS: u32> FixedPoint<STEPS, DIGITS> {
    /// Digits of the figure in a message.
    pub(crate) const LEN: u32 = DIGITS;

    /// The figure 1.
    pub(crate) const ONE: Self = FixedPoint(STEPS);

    /// One step, the smallest figure above 0.
    pub(crate) const ONE_STEP: Self = FixedPoint(1);

    /// The step nearest to a figure.
    pub(crate) fn nearest(figure: f64) -> Self {
        Self::of_steps((figure * f64::from(STEPS)).round() as u32)
    }

    /// The highest step that is not above a figure.
    pub(crate) fn at_most(figure: f64) -> Self {
        Self::of_steps((figure * f64::from(STEPS)) as u32)
    }

    /// So many steps, as far as the digits carry them.
    fn of_steps(steps: u32) -> Self {
        FixedPoint(steps.min(max_value(DIGITS)))
    }

    /// The larger of two figures.
    pub(crate) fn max(self, other: Self) -> Self {
        FixedPoint(self.0.max(other.0))
    }

    /// The number of steps.
    pub(crate) fn steps(self) -> u32 {
        self.0
    }

    /// The figure.
    pub(crate) fn value(self) -> f64 {
        f64::from(self.0) / f64::from(STEPS)
    }

    /// Adds the figure's digits to a message.
    pub(crate) fn encode(self, text: &mut String) {
        put_at_most(text, self.0, DIGITS);
    }

    /// Reads a figure from a message; `None` where its digits are not all there.
    pub(crate) fn decode(bytes: &mut Bytes<'_>) -> Option<Self> {
        take(bytes, DIGITS).map(FixedPoint)
    }
}
