//! irishinge is an API gateway. It accepts clients' requests over HTTP/1.1 and sends them to the endpoints
//! that discovery publishes. The admission library (`irishinge-admission`) decides whether, when and to
//! which endpoint each request is sent.
//!
//! The process reloads its configuration on SIGHUP and shuts down on SIGTERM. `docs/LOGS.md` lists its log
//! lines.

// Items that other crates cannot see are documented too, except in tests.
#![cfg_attr(not(test), warn(clippy::missing_docs_in_private_items))]

mod binding;
mod byte_budget;
mod clock;
mod config;
mod connection_budget;
mod descriptor_budget;
mod discovery;
mod dispatcher;
mod downstream;
mod error_chain;
mod header_names;
mod http_connection;
mod idle_connections;
mod logging;
mod memory_budget;
mod observed_stream;
mod peers;
mod quota_counter;
mod reload;
mod resources;
mod shutdown;
mod startup;
mod upstream;

use crate::config::Config;
use crate::error_chain::ErrorChain;
use crate::startup::StartupError;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

fn main() -> ExitCode {
    match run_on_one_thread() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // One plain line and no log line, because the log subscriber may be what could not be installed.
            eprintln!("irishinge: {}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}

/// Runs the gateway on a runtime of one thread until it has shut down.
fn run_on_one_thread() -> Result<(), StartupError> {
    logging::init()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartupError::Runtime)?;
    // Declared after the runtime, so that the tasks are dropped before the runtime.
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, run())
}

/// Starts the gateway, and shuts it down on SIGTERM.
async fn run() -> Result<(), StartupError> {
    // The handlers are installed first, because a signal without a handler would end the process.
    let sighup = signal(SignalKind::hangup()).map_err(StartupError::Signals)?;
    let mut sigterm = signal(SignalKind::terminate()).map_err(StartupError::Signals)?;

    let gateway = tokio::select! {
        gateway = startup::start(Config::load()?) => gateway?,
        // The start may wait for an address. There is nothing to drain yet.
        _ = sigterm.recv() => return Ok(()),
    };
    spawn_local(reload::reload_on_sighup(sighup, gateway.discovery_addr_sender, gateway.dispatcher));

    sigterm.recv().await;
    gateway.shutdown.run().await;
    Ok(())
}
