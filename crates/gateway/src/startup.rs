//! Startup: builds the gateway's components from the configuration, lowest layer first, and starts their
//! tasks.
use crate::binding::bind_when_free;
use crate::byte_budget::ByteBudget;
use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::descriptor_budget::DescriptorBudget;
use crate::discovery::{watch_endpoint_list, EndpointListObserver, EndpointListUpdate, RefreshPolicy};
use crate::dispatcher::{Dispatcher, Senders};
use crate::downstream::{DownstreamServer, DownstreamSettings};
use crate::logging::target;
use crate::memory_budget::MemoryBudget;
use crate::peers::{BindError, PeerSocket};
use crate::quota_counter::QuotaCounterClient;
use crate::resources::{Metrics, ResourceReporter};
use crate::shutdown::{Shutdown, ShutdownTimes};
use crate::upstream::{UpstreamPool, IDLE_CHECK_INTERVAL};
use irishinge_admission::{Gateway, ListUpdateKind, Settings, SettingsError};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

/// The reason for which the process cannot start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartupError {
    /// A log subscriber is already installed.
    #[error("cannot install the log subscriber")]
    Logging(#[from] tracing::subscriber::SetGlobalDefaultError),
    /// The operating system denied the asynchronous runtime a resource.
    #[error("cannot start the asynchronous runtime")]
    Runtime(#[source] io::Error),
    /// The handler of SIGHUP or of SIGTERM could not be installed.
    #[error("cannot install the handlers of SIGHUP and SIGTERM")]
    Signals(#[source] io::Error),
    /// The configuration could not be loaded.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The admission library rejected the settings. Does not occur with settings from a configuration file,
    /// which are checked when the file is loaded.
    #[error("invalid settings")]
    Settings(#[from] SettingsError),
    /// The address on which peers' messages are received could not be bound.
    #[error(transparent)]
    Peers(#[from] BindError),
    /// The address on which clients connect could not be bound.
    #[error("cannot listen for clients on {addr}")]
    Listen {
        /// The address, `listen` in the configuration.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

/// The parts of a running gateway that reload and shutdown need.
pub(crate) struct RunningGateway {
    /// Sends discovery's address to the watch of the endpoint list.
    pub discovery_addr_sender: watch::Sender<SocketAddr>,
    /// The dispatcher, which can change the quota counter's address.
    pub dispatcher: Rc<Dispatcher>,
    /// The components that the shutdown ends.
    pub shutdown: Shutdown,
}

/// Starts the gateway. Its tasks are spawned on the current `LocalSet` and run, so that connections are
/// accepted, as soon as the caller awaits.
///
/// # Errors
///
/// Fails if the admission library rejects the settings or an address cannot be bound.
pub(crate) async fn start(config: Config) -> Result<RunningGateway, StartupError> {
    let memory_budget = MemoryBudget::new(config.memory_limit_mb);
    let settings = Settings { max_customers: Some(memory_budget.max_customers), ..config.settings };
    let deployment_settings = config.deployment_settings;
    let connections = DescriptorBudget::new(config.descriptor_limit).within(&memory_budget);
    let clock = Clock::start();
    let gateway = Gateway::new(settings.clone(), config.seed, clock.now_ms())?;
    let response_budget = Rc::new(ByteBudget::new(memory_budget.response_bytes));
    let upstream = UpstreamPool::new(&deployment_settings, connections.upstream, response_budget.clone());
    let peers = bind_peer_socket(config.peer_listen, config.peers, &settings).await?;
    let quota_counter = QuotaCounterClient::new(config.counter, deployment_settings.counter_timeout_ms);
    let metrics = Rc::<Metrics>::default();
    let senders = Senders { upstream, peers: peers.clone(), quota_counter };
    let dispatcher = Dispatcher::new(gateway, clock, config.names, senders, metrics.clone());
    let cached_revision = restore_cached_list(&dispatcher, config.cached_list);

    let listener = listen(config.listen, &peers).await?;
    let shutdown_times = ShutdownTimes::new(&settings);
    let refresh_policy = RefreshPolicy::new(&deployment_settings, settings.gateways);
    let (discovery_addr_sender, watched_addr) = watch::channel(config.discovery);
    let downstream_settings = DownstreamSettings {
        admission: settings,
        sends_retry_after: deployment_settings.retry_after_enabled,
        max_connections: connections.downstream,
        request_budget: Rc::new(ByteBudget::new(memory_budget.request_bytes)),
        response_budget,
    };
    let downstream = DownstreamServer::new(dispatcher.clone(), downstream_settings, metrics.clone());

    let watch =
        watch_endpoint_list(dispatcher.clone(), watched_addr, cached_revision, refresh_policy, config.seed);
    let reporter =
        ResourceReporter::new(metrics, downstream.clone(), dispatcher.clone(), config.memory_limit_mb);
    // These tasks run until the process ends, when `main` drops the `LocalSet` that owns them, before it
    // drops the runtime. The shutdown aborts only the task that accepts connections.
    spawn_local(watch);
    spawn_local(reporter.run());
    spawn_local(downstream.clone().close_unread_connections());
    spawn_dispatcher_tasks(&dispatcher, peers);
    let accept_task = spawn_local(downstream.clone().accept(listener.clone()));
    let shutdown =
        Shutdown { downstream, dispatcher: dispatcher.clone(), listener, accept_task, times: shutdown_times };
    Ok(RunningGateway { discovery_addr_sender, dispatcher, shutdown })
}

/// Binds the socket for messages of peers, if there is an address for it. `addrs` has the address of each
/// gateway.
async fn bind_peer_socket(
    listen: Option<SocketAddr>,
    addrs: Vec<SocketAddr>,
    settings: &Settings,
) -> Result<Rc<PeerSocket>, BindError> {
    let accepted_per_second = settings.peer_messages_per_second;
    let socket = PeerSocket::bind(listen, addrs, settings.this_gateway, accepted_per_second).await?;
    Ok(Rc::new(socket))
}

/// Spawns the tasks that the dispatcher needs.
fn spawn_dispatcher_tasks(dispatcher: &Rc<Dispatcher>, peers: Rc<PeerSocket>) {
    spawn_local(dispatcher.clone().run_timers());
    spawn_local(receive_from_peers(peers, dispatcher.clone()));
    spawn_local(close_stale_connections(dispatcher.clone()));
}

/// Applies the complete endpoint list that was cached before a restart. Returns the revision from which the
/// watch requests changes, or `None` if it is to request the complete list.
fn restore_cached_list(dispatcher: &Rc<Dispatcher>, cached: Option<EndpointListUpdate>) -> Option<u64> {
    let cached = cached?;
    // The changes to an empty list are the complete list, so requesting only changes would save discovery
    // no work.
    let revision = (!cached.is_empty()).then_some(cached.revision);
    dispatcher.list_received(ListUpdateKind::Cached, cached);
    revision
}

/// Binds the address on which clients connect, and logs the addresses that the gateway listens on.
async fn listen(addr: SocketAddr, peers: &PeerSocket) -> Result<Rc<TcpListener>, StartupError> {
    let error = |source| StartupError::Listen { addr, source };
    let listener = bind_when_free(addr, TcpListener::bind).await.map_err(error)?;
    let bound = listener.local_addr().map_err(error)?;
    // The integration tests read the two addresses from this line.
    match peers.local_addr() {
        Some(peer_addr) => tracing::info!(target: target::LIFECYCLE, "listening on {bound} {peer_addr}"),
        None => tracing::info!(target: target::LIFECYCLE, "listening on {bound}"),
    }
    Ok(Rc::new(listener))
}

/// Passes peers' messages to the dispatcher. Returns only if the gateway has no socket for peers.
async fn receive_from_peers(peers: Rc<PeerSocket>, dispatcher: Rc<Dispatcher>) {
    peers.receive(dispatcher).await;
}

/// Closes stale idle connections at regular intervals. Never returns.
async fn close_stale_connections(dispatcher: Rc<Dispatcher>) {
    let mut ticks = interval(IDLE_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        dispatcher.close_stale_connections();
    }
}
