//! Reloads the configuration on SIGHUP.
use crate::config::Config;
use crate::dispatcher::Dispatcher;
use crate::error_chain::ErrorChain;
use crate::logging::target;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Reads the configuration file again on each SIGHUP, and applies the addresses of discovery and of the quota
/// counter. All other settings take effect only at the next start.
///
/// If the file cannot be read or is invalid, the previous configuration stays in force.
pub(crate) async fn reload_on_sighup(
    mut sighup: Signal,
    discovery_addr_sender: watch::Sender<SocketAddr>,
    dispatcher: Rc<Dispatcher>,
) {
    // Signals that arrive while the file is loaded are merged into one. That is enough, because the file is
    // then read once more.
    while sighup.recv().await.is_some() {
        match Config::load() {
            Ok(config) => {
                let counter = config.counter.map_or_else(|| "none".to_string(), |addr| addr.to_string());
                tracing::info!(
                    target: target::LIFECYCLE,
                    discovery = %config.discovery,
                    "configuration reloaded for discovery and quota counter only; quota counter: {counter}"
                );
                dispatcher.set_quota_counter_addr(config.counter);
                discovery_addr_sender
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
