//! Reports what the process has done and which resources it uses: a log line whenever its memory enters
//! another [`MemoryLevel`], and a line with all counters every ten seconds while there is traffic.
mod memory_level;
mod metrics;
mod resident_memory;
#[cfg(test)]
mod tests;

use self::memory_level::{MemoryLevel, MemoryLevelTracker};
pub(crate) use self::metrics::Metrics;
use self::resident_memory::resident_bytes;
use crate::dispatcher::Dispatcher;
use crate::downstream::DownstreamServer;
use crate::logging::target;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// How often the memory is measured.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of measurements between two lines with all counters. A process that is killed soon after its
/// start leaves a line, too.
const MEASUREMENTS_PER_REPORT: u32 = 10;
/// Bytes in a megabyte, the unit of `limits.memory_mb`.
const BYTES_PER_MB: f64 = 1e6;

/// Reports the use of resources.
pub(crate) struct ResourceReporter {
    /// The counters.
    metrics: Rc<Metrics>,
    /// The server whose connections and requests are reported.
    downstream: Rc<DownstreamServer>,
    /// The dispatcher whose requests, timers and customers are reported.
    dispatcher: Rc<Dispatcher>,
    /// The memory that the process may use, in megabytes.
    memory_limit_mb: f64,
}

impl ResourceReporter {
    /// Creates a reporter of a process that may use `memory_limit_mb`.
    pub(crate) fn new(
        metrics: Rc<Metrics>,
        downstream: Rc<DownstreamServer>,
        dispatcher: Rc<Dispatcher>,
        memory_limit_mb: f64,
    ) -> Self {
        ResourceReporter { metrics, downstream, dispatcher, memory_limit_mb }
    }

    /// Reports the use of resources at regular intervals. Never returns.
    pub(crate) async fn run(self) {
        let mut ticks = interval(MEASURE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut level = MemoryLevelTracker::default();
        let mut measurements = 0;
        let mut reported_events = 0;
        loop {
            ticks.tick().await;
            // Without a measurement there is nothing to compare with the limit.
            let resident_mb = resident_bytes().map(|bytes| bytes as f64 / BYTES_PER_MB);
            if let Some(entered) = resident_mb.and_then(|mb| level.observe(mb / self.memory_limit_mb)) {
                self.report_level(entered, resident_mb);
            }
            measurements += 1;
            let events = self.metrics.events();
            if measurements >= MEASUREMENTS_PER_REPORT && events != reported_events {
                measurements = 0;
                reported_events = events;
                self.report_counters(resident_mb);
            }
        }
    }

    /// Logs that the memory has entered a level, with what takes memory.
    fn report_level(&self, level: MemoryLevel, resident_mb: Option<f64>) {
        let resident_mb = resident_mb.unwrap_or_default();
        let usage = self.dispatcher.usage();
        let connections = self.downstream.open_connections();
        let request_bytes = self.downstream.request_bytes();
        match level {
            MemoryLevel::High => tracing::warn!(
                target: target::RESOURCES,
                resident_mb,
                limit_mb = self.memory_limit_mb,
                connections,
                request_bytes,
                response_bytes = self.downstream.response_bytes(),
                upstream_connections = usage.upstream_connections,
                active_requests = usage.active_requests,
                timers = usage.timers,
                customers = usage.customers,
                "memory above three quarters of its limit"
            ),
            MemoryLevel::Normal => tracing::info!(
                target: target::RESOURCES,
                resident_mb,
                limit_mb = self.memory_limit_mb,
                "memory below three fifths of its limit again"
            ),
        }
    }

    /// Logs all counters.
    fn report_counters(&self, resident_mb: Option<f64>) {
        let metrics = &self.metrics;
        let usage = self.dispatcher.usage();
        tracing::info!(
            target: target::RESOURCES,
            resident_mb = resident_mb.unwrap_or_default(),
            connections = self.downstream.open_connections(),
            accepted = metrics.connections_accepted.get(),
            evicted = metrics.connections_evicted.get(),
            closed_at_limit = metrics.connections_closed_at_limit.get(),
            closed_unread = metrics.connections_closed_unread.get(),
            first_request_timeouts = metrics.first_request_timeouts.get(),
            served = metrics.responses_served.get(),
            rejected = metrics.responses_rejected.get(),
            failed = metrics.responses_failed.get(),
            invalid = metrics.requests_invalid.get(),
            rejected_for_memory = metrics.requests_rejected_for_memory.get(),
            disconnected = metrics.requests_disconnected.get(),
            attempts = metrics.attempts.get(),
            attempts_failed = metrics.attempts_failed.get(),
            active_requests = usage.active_requests,
            timers = usage.timers,
            customers = usage.customers,
            upstream_connections = usage.upstream_connections,
            "counters since the start"
        );
    }
}
