//! Writes log lines to standard error, at most [`MAX_LINES_PER_SECOND`] of them, so that a fault that recurs
//! with every request cannot fill the disk. A line over the limit is dropped before it is formatted, and the
//! next line that is written is preceded by the number dropped. `docs/LOGS.md` lists every line.
//!
//! A line has the form `irishinge: LEVEL TARGET: MESSAGE FIELD=VALUE...`. It has no colours, and no time: the
//! process supervisor adds that.
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

/// The targets of log lines: the areas of the gateway as an operator knows them.
pub(crate) mod target {
    /// Startup, reload and shutdown.
    pub(crate) const LIFECYCLE: &str = "lifecycle";
    /// Clients' connections.
    pub(crate) const DOWNSTREAM: &str = "downstream";
    /// The endpoint list and the service that publishes it.
    pub(crate) const DISCOVERY: &str = "discovery";
    /// Messages between gateways.
    pub(crate) const PEERS: &str = "peers";
    /// The execution of the decision library's actions.
    pub(crate) const DISPATCHER: &str = "dispatcher";
}

/// Lines over this number in a period are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 10;
/// The period of the limit.
const PERIOD: Duration = Duration::from_secs(1);

/// Installs the process's log subscriber, which writes to standard error.
///
/// # Errors
///
/// Fails if a subscriber is already installed.
pub(crate) fn init() -> Result<(), SetGlobalDefaultError> {
    set_global_default(limited_subscriber(io::stderr))
}

/// Creates a subscriber that writes lines within the limit.
fn limited_subscriber<W>(writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'writer> MakeWriter<'writer> + Send + Sync + 'static,
{
    let limit = Arc::new(Mutex::new(LineLimit::new(Instant::now())));
    let lines = tracing_subscriber::fmt::layer()
        .event_format(LineFormat { limit: limit.clone() })
        .with_writer(writer)
        // If standard error cannot be written, there is nowhere to report that.
        .log_internal_errors(false);
    Registry::default().with(lines).with(LimitLayer { limit }).with(tracing::level_filters::LevelFilter::INFO)
}

/// Counts the lines written in the present period, and those dropped since the last one that was written.
struct LineLimit {
    period_start: Instant,
    written: u32,
    dropped: u64,
}

impl LineLimit {
    fn new(now: Instant) -> Self {
        LineLimit { period_start: now, written: 0, dropped: 0 }
    }

    /// Counts a line and returns whether it may be written.
    fn admit(&mut self, now: Instant) -> bool {
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

/// Applies the limit to each event before it is formatted.
struct LimitLayer {
    limit: Arc<Mutex<LineLimit>>,
}

impl<S: Subscriber> Layer<S> for LimitLayer {
    fn event_enabled(&self, _event: &Event<'_>, _context: Context<'_, S>) -> bool {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner).admit(Instant::now())
    }
}

/// Formats an event as one line, preceded by a line with the number of dropped ones if there are any.
struct LineFormat {
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
                "irishinge: {} logging: lines dropped over the limit count={dropped}",
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
