//! Exponential backoff with full jitter: a pause is drawn evenly between zero and a window, which failures
//! widen and lists narrow.
use std::time::Duration;

/// A rejected call widens the window by this factor.
const WIDENING_FACTOR: f64 = 1.7;
/// A list narrows the window by this factor. If it reset the window, a fleet larger than discovery can serve
/// would call at full rate again after each list, and discovery's queue would stay full.
const NARROWING_FACTOR: f64 = 0.75;

/// The window that pauses are drawn from.
pub(super) struct Backoff {
    initial_window: Duration,
    max_window: Duration,
    window: Duration,
    random: fastrand::Rng,
}

impl Backoff {
    /// A backoff that starts at `initial_window`. Each gateway needs a seed of its own: with the same seed
    /// all would draw the same pauses and call at the same times.
    pub(super) fn new(initial_window: Duration, max_window: Duration, seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        Backoff { initial_window, max_window, window: initial_window, random }
    }

    /// The first window, which is also the narrowest.
    pub(super) fn initial_window(&self) -> Duration {
        self.initial_window
    }

    /// The window as it is now.
    pub(super) fn window(&self) -> Duration {
        self.window
    }

    /// Widens the window, up to the greatest.
    pub(super) fn widen(&mut self) {
        self.window = self.window.mul_f64(WIDENING_FACTOR).min(self.max_window);
    }

    /// Narrows the window, down to the first.
    pub(super) fn narrow(&mut self) {
        self.window = self.window.mul_f64(NARROWING_FACTOR).max(self.initial_window);
    }

    /// Goes back to the first window.
    pub(super) fn reset(&mut self) {
        self.window = self.initial_window;
    }

    /// Draws a pause between zero and `window`.
    pub(super) fn draw_pause(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.random.f64())
    }
}
