//! The gateway's clock, which counts Unix milliseconds and is monotonic.
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that counts Unix milliseconds.
///
/// The clock is set to the system's time of day once, so that discovery's `boot_ms` can be compared with
/// it. After that it follows the system's monotonic clock, because the time of day may be set back.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    /// The start of the clock on the monotonic clock.
    start: Instant,
    /// The start of the clock in Unix milliseconds.
    start_ms: f64,
}

impl Clock {
    /// Starts a clock at the system's current time of day.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// Returns the current time in Unix milliseconds.
    pub(crate) fn now_ms(&self) -> f64 {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time in Unix milliseconds to an instant. A time before the start of the clock becomes the
    /// start.
    pub(crate) fn instant(&self, at_ms: f64) -> Instant {
        self.start + duration_from_ms(at_ms - self.start_ms)
    }
}

/// Converts milliseconds to a duration of at most a day. A negative number or NaN becomes zero.
pub(crate) fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 86_400.0).max(0.0))
}

#[cfg(test)]
mod tests;
