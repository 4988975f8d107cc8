//! irishinge: an API gateway on sockets. It accepts clients' requests, and sends them to the endpoints that discovery
//! lists as the decision library (`irishinge-admission`) says.
//!
//! The process starts, reads its configuration again on each SIGHUP, and ends on SIGTERM. `docs/LOGS.md` lists what it
//! logs.
mod clock;
mod config;
mod connection_budget;
mod descriptor_budget;
mod discovery;
mod dispatcher;
mod downstream;
mod error_chain;
mod http_connection;
mod logging;
mod peers;
mod quota_counter;
mod reload;
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
            // One plain line, whatever the log is.
            eprintln!("irishinge: {}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}

fn run_on_one_thread() -> Result<(), StartupError> {
    logging::init()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartupError::Runtime)?;
    // Dropped before the runtime that its tasks' sockets belong to.
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, run())
}

async fn run() -> Result<(), StartupError> {
    // First of all: unhandled, either signal would end the process at once.
    let hangup = signal(SignalKind::hangup()).map_err(StartupError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(StartupError::Signals)?;

    let gateway = startup::start(Config::load()?).await?;
    spawn_local(reload::reload_on_hangup(hangup, gateway.discovery_addr, gateway.dispatcher));

    terminate.recv().await;
    gateway.shutdown.run().await;
    Ok(())
}
