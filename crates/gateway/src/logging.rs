//! Writes log lines to standard error, at most [`MAX_LINES_PER_SECOND`] in each [`PERIOD`], so that a fault
//! that recurs with every request cannot fill the disk. A line over the limit is dropped before it is
//! formatted. The next line that is written is preceded by a line with the number of dropped ones, which does
//! not count towards the limit. Lines on resources are not limited: there is one a second at most, and a
//! flood that drops other lines is when they are needed. `docs/LOGS.md` lists every line.
//!
//! A line has the form `irishinge: LEVEL TARGET: MESSAGE FIELD=VALUE...`. It contains no colour codes, and no
//! time, because the process supervisor adds the time.
use std::fmt;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::subscriber::{set_global_default, SetGlobalDefaultError};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::{FmtContext, MakeWriter};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::{LookupSpan, Registry};

/// The targets of log lines, which name the areas of the gateway as an operator knows them.
pub(crate) mod target {
    /// Startup, reload and shutdown.
    pub(crate) const LIFECYCLE: &str = "lifecycle";
    /// Connections from clients.
    pub(crate) const DOWNSTREAM: &str = "downstream";
    /// Connections to endpoints and to the quota counter.
    pub(crate) const UPSTREAM: &str = "upstream";
    /// The endpoint list and the service that publishes it.
    pub(crate) const DISCOVERY: &str = "discovery";
    /// Messages between gateways.
    pub(crate) const PEERS: &str = "peers";
    /// The use of memory and connections, and the counters.
    pub(crate) const RESOURCES: &str = "resources";
    /// The execution of the admission library's actions.
    pub(crate) const DISPATCHER: &str = "dispatcher";
}

/// The maximum number of lines that are written in one [`PERIOD`], not counting the line on dropped ones.
/// Further lines are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 10;
/// The period to which the limit on lines applies.
const PERIOD: Duration = Duration::from_secs(1);

/// Installs the process's log subscriber, which writes to standard error.
///
/// # Errors
///
/// Fails if a subscriber is already installed.
pub(crate) fn init() -> Result<(), SetGlobalDefaultError> {
    set_global_default(limited_subscriber(io::stderr))
}

/// Creates a subscriber that writes lines to `writer` up to the limit.
fn limited_subscriber<W>(writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'writer> MakeWriter<'writer> + Send + Sync + 'static,
{
    let limit = Arc::new(Mutex::new(LineLimit::new(Instant::now())));
    let lines = tracing_subscriber::fmt::layer()
        .event_format(LineFormat { limit: limit.clone() })
        .with_writer(writer)
        // If standard error cannot be written to, there is nowhere to report the error.
        .log_internal_errors(false);
    Registry::default().with(lines).with(LimitLayer { limit }).with(tracing::level_filters::LevelFilter::INFO)
}

/// Counts the lines that were written in the current period, and the lines that were dropped since the last
/// line that was written.
struct LineLimit {
    /// When the current period started.
    period_start: Instant,
    /// The number of lines written in the current period.
    written: u32,
    /// The number of lines dropped since [`take_dropped`](Self::take_dropped) was last called.
    dropped: u64,
}

impl LineLimit {
    /// Creates a count whose first period starts `now`.
    fn new(now: Instant) -> Self {
        LineLimit { period_start: now, written: 0, dropped: 0 }
    }

    /// Counts a line and returns whether it may be written.
    fn try_take(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.period_start) >= PERIOD {
            self.period_start = now;
            self.written = 0;
        }
        let admitted = self.written < MAX_LINES_PER_SECOND;
        if admitted {
            self.written += 1;
        } else {
            self.dropped += 1;
        }
        admitted
    }

    /// Returns the number of lines dropped since the previous call.
    fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// A layer that applies the limit to each event before it is formatted.
struct LimitLayer {
    /// The counts of lines, shared with [`LineFormat`].
    limit: Arc<Mutex<LineLimit>>,
}

impl<S: Subscriber> Layer<S> for LimitLayer {
    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        event.metadata().target() == target::RESOURCES
            || self.limit.lock().unwrap_or_else(PoisonError::into_inner).try_take(Instant::now())
    }
}

/// An event format of one line. It is preceded by a line with the number of dropped lines if there are any.
struct LineFormat {
    /// The counts of lines, shared with [`LimitLayer`].
    limit: Arc<Mutex<LineLimit>>,
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'span> LookupSpan<'span>,
    N: for<'writer> FormatFields<'writer> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let dropped = self.limit.lock().unwrap_or_else(PoisonError::into_inner).take_dropped();
        if dropped > 0 {
            writeln!(
                writer,
                "irishinge: {} logging: \
                 log lines dropped over the limit of {MAX_LINES_PER_SECOND} per second count={dropped}",
                Level::WARN
            )?;
        }
        let metadata = event.metadata();
        write!(writer, "irishinge: {} {}: ", metadata.level(), metadata.target())?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

#[cfg(test)]
mod tests;
