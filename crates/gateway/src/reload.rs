//! Reloads the configuration while the process runs.
use crate::config::Config;
use crate::dispatcher::Dispatcher;
use crate::error_chain::ErrorChain;
use crate::logging::target;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Reads the configuration again on each SIGHUP.
///
/// Only the addresses of discovery and of the quota counter can change while the process runs. If the file
/// cannot be used, the previous configuration stays in force.
pub(crate) async fn reload_on_hangup(
    mut hangup: Signal,
    discovery_addr: watch::Sender<SocketAddr>,
    dispatcher: Rc<Dispatcher>,
) {
    // Signals that arrive while a file is loaded are merged into one, which is enough: the file is read
    // again each time.
    while hangup.recv().await.is_some() {
        match Config::load() {
            Ok(config) => {
                tracing::info!(
                    target: target::LIFECYCLE,
                    discovery = %config.discovery,
                    "configuration reloaded"
                );
                dispatcher.set_quota_counter_addr(config.counter);
                discovery_addr
                    .send_if_modified(|addr| std::mem::replace(addr, config.discovery) != config.discovery);
            }
            Err(error) => tracing::error!(
                target: target::LIFECYCLE,
                reason = %ErrorChain(&error),
                "configuration not reloaded; the previous one stays in force"
            ),
        }
    }
}
