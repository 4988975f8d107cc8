//! irishinge: an api gateway on real sockets. Starts the parts, tells them of a new configuration on SIGHUP, and
//! ends them on SIGTERM.
mod clock;
mod config;
mod connection_budget;
mod discovery;
mod dispatcher;
mod downstream;
mod http_connection;
mod logging;
mod peers;
mod quota_counter;
mod upstream;

use crate::clock::{duration_from_ms, Clock};
use crate::config::Config;
use crate::discovery::{EndpointListObserver, RefreshPolicy};
use crate::dispatcher::Dispatcher;
use crate::downstream::{DownstreamServer, DownstreamSettings};
use crate::logging::target;
use crate::peers::Peers;
use crate::quota_counter::QuotaCounter;
use crate::upstream::{UpstreamPool, IDLE_CHECK_INTERVAL};
use irishinge_admission::{Gateway, ListKind, Settings};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, timeout_at, Instant, MissedTickBehavior};

/// Standard streams; what the runtime holds (epoll twice, its waker, three ends of the signals' pair); listener and
/// peers; discovery, the old address's and the new one's; and the configuration while it is read.
const STANDARD: usize = 3;
const RUNTIME: usize = 6;
const LISTENING: usize = 2;
const DISCOVERY: usize = 2;
const CONFIGURATION: usize = 1;
/// A connection that was accepted and is dropped, and one to spare.
const SHED: usize = 2;
/// Descriptors that neither clients' nor hosts' connections can take but those beyond the clients' bound.
const OTHER_DESCRIPTORS: usize = STANDARD
    + RUNTIME
    + LISTENING
    + DISCOVERY
    + CONFIGURATION
    + SHED
    + quota_counter::MAX_CONNECTIONS
    + downstream::MAX_REFUSING_CONNECTIONS;
/// Part of the rest that is for clients.
const CLIENTS_PART: f64 = 0.6;
/// After SIGTERM new connections are taken for this long: they go on coming for up to 0.4 s. A request that comes
/// later than 0.7 s after it, over one of them, may find SIGKILL before its answer.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// SIGKILL comes no sooner than this after the longest deadline, which counts as so long at most.
const KILL_AFTER: Duration = Duration::from_millis(700);
const DEADLINE_MOST: Duration = Duration::from_millis(3000);
/// So long before SIGKILL what is not answered is answered, and so long before it the answers are written.
const ANSWER_BEFORE: Duration = Duration::from_millis(300);
const WRITE_BEFORE: Duration = Duration::from_millis(150);

/// How long after SIGTERM the answers must be given and written, with these classes.
fn last_answers(settings: &Settings) -> (Duration, Duration) {
    let longest = settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let kill = duration_from_ms(longest).min(DEADLINE_MOST) + KILL_AFTER;
    (kill - ANSWER_BEFORE, kill - WRITE_BEFORE)
}

async fn run() -> Result<(), String> {
    // First of all: unhandled, either signal would end the process at once.
    let listen = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    let (hangup, mut terminate) = (listen(SignalKind::hangup())?, listen(SignalKind::terminate())?);
    let config = Config::load()?;
    let clock = Clock::start();
    let settings = config.settings;
    let gateway = Gateway::new(settings.clone(), config.seed, clock.now_ms()).map_err(|e| e.to_string())?;
    let room = config.sockets - OTHER_DESCRIPTORS;
    let clients_most = (room as f64 * CLIENTS_PART) as usize;
    let hosts = UpstreamPool::new(&config.socket_settings, room - clients_most);
    let peers =
        Peers::bind(config.peer_listen, config.peers, settings.me, settings.peer_messages_per_second).await;
    let peers = Rc::new(peers.map_err(|e| format!("cannot listen for peers: {e}"))?);
    let counter = QuotaCounter::new(config.counter, config.socket_settings.counter_timeout_ms);
    let core = Dispatcher::new(gateway, clock, config.names, hosts, peers.clone(), counter);
    // A list with nobody on it is not worth going on from.
    let known = config.known.as_ref().filter(|list| !list.is_empty()).map(|list| list.revision);
    if let Some(known) = config.known {
        core.list_received(ListKind::Remembered, known);
    }
    let listener = TcpListener::bind(config.listen).await;
    let listener = Rc::new(listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?);
    let pace = RefreshPolicy::new(&config.socket_settings, settings.gateways);
    let (answer_by, write_by) = last_answers(&settings);
    let downstream_settings = DownstreamSettings {
        admission: settings,
        sends_retry_after: config.socket_settings.retry_after_enabled,
        max_connections: clients_most,
    };
    let clients = DownstreamServer::new(core.clone(), downstream_settings);

    let bound = listener.local_addr().map_err(|e| format!("no address: {e}"))?;
    match peers.local_addr() {
        Some(peer_addr) => tracing::info!(target: target::LIFECYCLE, "listening on {bound} {peer_addr}"),
        None => tracing::info!(target: target::LIFECYCLE, "listening on {bound}"),
    }

    spawn_local(core.clone().run_timers());
    let (discovery, watched) = watch::channel(config.discovery);
    spawn_local(discovery::watch_endpoint_list(core.clone(), watched, known, pace, config.seed));
    spawn_local(reload(hangup, discovery, core.clone()));
    spawn_local({
        let core = core.clone();
        async move { peers.receive(core).await }
    });
    spawn_local(reap(core.clone()));
    let accepting = spawn_local(clients.clone().accept(listener.clone()));

    terminate.recv().await;
    let end = Instant::now();
    clients.drain();
    sleep(ACCEPT_ON).await;
    accepting.abort();
    drop(listener);
    clients.drain_all();
    if timeout_at(end + answer_by, clients.all_ended()).await.is_err() {
        core.answer_all();
        let _ = timeout_at(end + write_by, clients.all_ended()).await;
    }
    Ok(())
}

/// On each SIGHUP reads the configuration anew. Discovery's address and the counter's are all in it that can change
/// while the process runs; a file that cannot be read changes nothing.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, core: Rc<Dispatcher>) {
    while hangup.recv().await.is_some() {
        match Config::load() {
            Ok(config) => {
                tracing::info!(target: target::LIFECYCLE, discovery = %config.discovery, "configuration reloaded");
                core.set_quota_counter_addr(config.counter);
                discovery
                    .send_if_modified(|addr| std::mem::replace(addr, config.discovery) != config.discovery);
            }
            Err(message) => {
                tracing::error!(target: target::LIFECYCLE, reason = %message, "configuration not reloaded; the previous one stays in force")
            }
        }
    }
}

async fn reap(core: Rc<Dispatcher>) {
    let mut ticks = interval(IDLE_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.close_stale_connections();
    }
}

fn main() -> ExitCode {
    let logging = logging::init().map_err(|e| format!("no log: {e}"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = logging.and_then(|()| runtime.map_err(|e| format!("no runtime: {e}")));
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("irishinge: {message}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
