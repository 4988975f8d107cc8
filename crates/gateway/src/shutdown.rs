//! Graceful shutdown: after SIGTERM, every request that the gateway has begun to read gets its response
//! before SIGKILL can arrive.
use crate::clock::duration_from_ms;
use crate::dispatcher::Dispatcher;
use crate::downstream::DownstreamServer;
use crate::logging::target;
use irishinge_admission::Settings;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout_at, Instant};

/// How long new connections are accepted after SIGTERM. It is longer than 0.4 s because clients keep
/// connecting for up to that time. It is shorter than [`KILL_DELAY_AFTER_DEADLINE`], 0.7 s, because a request
/// that arrives later than that and has the longest deadline may be cut off by SIGKILL.
const ACCEPT_DURATION: Duration = Duration::from_millis(600);
/// The minimum delay of SIGKILL: it arrives no sooner after SIGTERM than the longest deadline of any class
/// plus this time.
const KILL_DELAY_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// The longest deadline that SIGKILL waits for. Longer deadlines count as this long.
const MAX_DEADLINE: Duration = Duration::from_millis(3000);
/// How long before SIGKILL all requests that are still in progress, or have not completely arrived, get a
/// response.
const RESPOND_BEFORE_KILL: Duration = Duration::from_millis(300);
/// How long before SIGKILL the process ends. All responses must be written by then.
const FINISH_BEFORE_KILL: Duration = Duration::from_millis(150);

/// The times of the shutdown's steps, counted from SIGTERM.
pub(crate) struct ShutdownTimes {
    /// When new connections are no longer accepted.
    pub stop_accepting: Duration,
    /// When all requests that are still in progress, or have not completely arrived, get a response.
    pub respond_to_all: Duration,
    /// When the process ends, even if some responses are not completely written.
    pub finish: Duration,
}

impl ShutdownTimes {
    /// Returns the times for the deadlines of the request classes.
    pub(crate) fn new(settings: &Settings) -> Self {
        let longest_ms = settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        let kill = duration_from_ms(longest_ms).min(MAX_DEADLINE) + KILL_DELAY_AFTER_DEADLINE;
        ShutdownTimes {
            stop_accepting: ACCEPT_DURATION,
            respond_to_all: kill - RESPOND_BEFORE_KILL,
            finish: kill - FINISH_BEFORE_KILL,
        }
    }
}

/// The components of the gateway that the shutdown stops.
pub(crate) struct Shutdown {
    /// The HTTP server for clients. Its connections close once they have no request in progress.
    pub downstream: Rc<DownstreamServer>,
    /// The dispatcher. Near the end, it responds to the requests that are still in progress.
    pub dispatcher: Rc<Dispatcher>,
    /// The listener for clients. It is closed when new connections are no longer accepted.
    pub listener: Rc<TcpListener>,
    /// The task that accepts connections, which holds the listener too.
    pub accept_task: JoinHandle<()>,
    /// The times of the steps.
    pub times: ShutdownTimes,
}

impl Shutdown {
    /// Drains the gateway and returns when the process can end. To be called as soon as SIGTERM arrives.
    pub(crate) async fn run(self) {
        let Shutdown { downstream, dispatcher, listener, accept_task, times } = self;
        let start = Instant::now();
        tracing::info!(
            target: target::LIFECYCLE,
            connections = downstream.open_connections(),
            "SIGTERM received; draining client connections"
        );
        downstream.drain();
        sleep(times.stop_accepting).await;
        accept_task.abort();
        drop(listener);
        downstream.drain_all();
        let all_closed = timeout_at(start + times.respond_to_all, downstream.all_closed()).await;
        if all_closed.is_err() {
            respond_to_all(&downstream, &dispatcher);
            // The result is ignored: responses that are not written by then would be cut off by SIGKILL
            // anyway.
            let _ = timeout_at(start + times.finish, downstream.all_closed()).await;
        }
        tracing::info!(
            target: target::LIFECYCLE,
            connections = downstream.open_connections(),
            "shutdown complete"
        );
    }
}

/// Responds to all requests, also to those that have not completely arrived, and accepts no further one.
fn respond_to_all(downstream: &DownstreamServer, dispatcher: &Rc<Dispatcher>) {
    // In this order, and with nothing awaited in between: a request that was dispatched after the dispatcher
    // has responded to all would run without a response.
    let connections = downstream.end();
    let requests = dispatcher.respond_to_all();
    tracing::warn!(
        target: target::LIFECYCLE,
        connections,
        requests,
        "SIGKILL may follow soon; every request left gets its response now"
    );
}

#[cfg(test)]
mod tests;
