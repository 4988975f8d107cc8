//! The end of the process: after SIGTERM requests in work get their responses, and none is lost to SIGKILL.
use crate::clock::duration_from_ms;
use crate::dispatcher::Dispatcher;
use crate::downstream::DownstreamServer;
use irishinge_admission::Settings;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout_at, Instant};

/// After SIGTERM new connections are accepted for this long: they go on coming for up to 0.4 s. A request that comes
/// later than 0.7 s after it, over one of them, may find SIGKILL before its response.
const ACCEPT_FOR: Duration = Duration::from_millis(600);
/// SIGKILL comes no sooner than this after the longest deadline.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// As how long the longest deadline counts at most.
const MAX_DEADLINE: Duration = Duration::from_millis(3000);
/// So long before SIGKILL every open request is answered.
const RESPOND_BEFORE_KILL: Duration = Duration::from_millis(300);
/// So long before SIGKILL the responses are written.
const FINISH_BEFORE_KILL: Duration = Duration::from_millis(150);

/// When the steps of the shutdown end, each counted from SIGTERM.
pub(crate) struct ShutdownTimes {
    /// New connections are accepted until then.
    pub stop_accepting: Duration,
    /// Requests that are still open are answered then.
    pub respond_to_all: Duration,
    /// The process ends then, whatever is not written.
    pub finish: Duration,
}

impl ShutdownTimes {
    /// The times that these classes' deadlines ask for.
    pub(crate) fn new(settings: &Settings) -> Self {
        let longest_ms = settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        let kill = duration_from_ms(longest_ms).min(MAX_DEADLINE) + KILL_AFTER_DEADLINE;
        ShutdownTimes {
            stop_accepting: ACCEPT_FOR,
            respond_to_all: kill - RESPOND_BEFORE_KILL,
            finish: kill - FINISH_BEFORE_KILL,
        }
    }
}

/// What the shutdown ends.
pub(crate) struct Shutdown {
    /// Its connections are drained.
    pub downstream: Rc<DownstreamServer>,
    /// Its open requests are answered.
    pub dispatcher: Rc<Dispatcher>,
    /// Closed once no connection is accepted any more.
    pub listener: Rc<TcpListener>,
    /// The task that accepts connections.
    pub accepting: JoinHandle<()>,
    /// When each step ends.
    pub times: ShutdownTimes,
}

impl Shutdown {
    /// Ends what was taken, as far as the times allow. To be called at once on SIGTERM.
    pub(crate) async fn run(self) {
        let start = Instant::now();
        self.downstream.drain();
        sleep(self.times.stop_accepting).await;
        self.accepting.abort();
        drop(self.listener);
        self.downstream.drain_all();
        let all_ended = timeout_at(start + self.times.respond_to_all, self.downstream.all_ended()).await;
        if all_ended.is_err() {
            self.dispatcher.answer_all();
            // What is not written by then is lost with the process.
            let _ = timeout_at(start + self.times.finish, self.downstream.all_ended()).await;
        }
    }
}

#[cfg(test)]
mod tests;
