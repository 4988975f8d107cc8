//! Exponential backoff with full jitter: each pause is drawn uniformly between zero and a window, which
//! widens with failed calls and narrows with successful ones.
use std::time::Duration;

/// The factor by which [`Backoff::widen`] multiplies the window.
const WIDENING_FACTOR: f64 = 1.7;
/// The factor by which [`Backoff::narrow`] multiplies the window when a list is received. If a list reset the
/// window instead, a fleet larger than discovery can serve would call at full rate again after each list, and
/// discovery's queue would stay full.
const NARROWING_FACTOR: f64 = 0.75;

/// A backoff window between two bounds, and the random numbers for drawing pauses from it.
pub(super) struct Backoff {
    /// The window at the start and after a reset, which is also the narrowest.
    initial_window: Duration,
    /// The widest window.
    max_window: Duration,
    /// The current window.
    window: Duration,
    /// The source of jitter.
    random: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff whose window starts at `initial_window`. Each gateway needs a different seed:
    /// gateways with the same seed would draw the same pauses and call at the same times.
    pub(super) fn new(initial_window: Duration, max_window: Duration, seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        Backoff { initial_window, max_window, window: initial_window, random }
    }

    /// Returns the initial window, which is also the narrowest.
    pub(super) fn initial_window(&self) -> Duration {
        self.initial_window
    }

    /// Returns the current window.
    pub(super) fn window(&self) -> Duration {
        self.window
    }

    /// Widens the window, at most to the maximum.
    pub(super) fn widen(&mut self) {
        self.window = self.window.mul_f64(WIDENING_FACTOR).min(self.max_window);
    }

    /// Narrows the window, at most to the initial one.
    pub(super) fn narrow(&mut self) {
        self.window = self.window.mul_f64(NARROWING_FACTOR).max(self.initial_window);
    }

    /// Resets the window to the initial one.
    pub(super) fn reset(&mut self) {
        self.window = self.initial_window;
    }

    /// Draws a pause between zero and `window`, which need not be the current window.
    pub(super) fn draw_pause(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.random.f64())
    }
}
