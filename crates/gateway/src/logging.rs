//! Log lines on standard error, at most [`MAX_LINES_PER_SECOND`] of them: trouble that comes with every request must
//! not fill the disk. A line over the limit is counted before anything of it is formatted, and the next line that is
//! written is preceded by that count. `docs/LOGS.md` lists every line.
//!
//! A line is `irishinge: LEVEL TARGET: MESSAGE FIELD=VALUE...`, without colours and without a time, which the process
//! supervisor adds.
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

/// What a line is about, as the operator knows it. Lines name one of these as their target.
pub(crate) mod target {
    /// Starting, reloading the configuration and ending.
    pub(crate) const LIFECYCLE: &str = "lifecycle";
    /// Clients' connections.
    pub(crate) const DOWNSTREAM: &str = "downstream";
    /// The endpoint list and the service that it comes from.
    pub(crate) const DISCOVERY: &str = "discovery";
    /// Messages between gateways.
    pub(crate) const PEERS: &str = "peers";
    /// Requests between the decision library and the sockets.
    pub(crate) const DISPATCHER: &str = "dispatcher";
}

/// Lines in a second; further ones are counted only.
const MAX_LINES_PER_SECOND: u32 = 10;
/// The period that the limit is for.
const PERIOD: Duration = Duration::from_secs(1);

/// Sends what the process logs from now on to standard error.
///
/// # Errors
///
/// When it was called before.
pub(crate) fn init() -> Result<(), SetGlobalDefaultError> {
    set_global_default(limited_subscriber(io::stderr))
}

/// A subscriber that writes lines within the limit.
fn limited_subscriber<W>(writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'writer> MakeWriter<'writer> + Send + Sync + 'static,
{
    let limit = Arc::new(Mutex::new(LineLimit::new(Instant::now())));
    let lines = tracing_subscriber::fmt::layer()
        .event_format(LineFormat { limit: limit.clone() })
        .with_writer(writer)
        // What cannot be written is lost: there is nowhere else to say so.
        .log_internal_errors(false);
    Registry::default().with(lines).with(LimitLayer { limit }).with(tracing::level_filters::LevelFilter::INFO)
}

/// How many lines this period has had, and how many were dropped since the last that was written.
struct LineLimit {
    period_start: Instant,
    written: u32,
    dropped: u64,
}

impl LineLimit {
    fn new(now: Instant) -> Self {
        LineLimit { period_start: now, written: 0, dropped: 0 }
    }

    /// Whether a line may be written now; counts it either way.
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

    /// The number of lines dropped since this was last asked.
    fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// Decides on each event before it is formatted.
struct LimitLayer {
    limit: Arc<Mutex<LineLimit>>,
}

impl<S: Subscriber> Layer<S> for LimitLayer {
    fn event_enabled(&self, _event: &Event<'_>, _context: Context<'_, S>) -> bool {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner).admit(Instant::now())
    }
}

/// Writes an event as one line, after the count of those dropped before it.
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
