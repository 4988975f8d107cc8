//! Runs gateways inside the simulator: reads batches of events on standard input and writes one reply for
//! each on standard output, with the same admission library that the deployed gateway uses.
//!
//! The program only translates; the library decides. If a line of input cannot be processed, it ends with one
//! line on standard error.

// Items that other crates cannot see are documented too, except in tests.
#![cfg_attr(not(test), warn(clippy::missing_docs_in_private_items))]

mod hosted_gateways;
mod wire;

use hosted_gateways::{BatchError, HostedGateways};
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// The reason why the adapter ended before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read input: {0}")]
    Read(#[source] std::io::Error),
    /// A line of input cannot be processed.
    #[error("input line {line_number}: {source}")]
    Batch {
        /// The number of the line in the input, from 1.
        line_number: usize,
        /// The reason why the line cannot be processed.
        source: BatchError,
    },
    /// Standard output cannot be written.
    #[error("cannot write output: {0}")]
    Write(#[source] std::io::Error),
}

/// Writes one line to `output` for each line of `input`, until the input ends.
fn process_batches(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut gateways = HostedGateways::default();
    for (index, line) in input.lines().enumerate() {
        let line = line.map_err(AdapterError::Read)?;
        let reply = gateways
            .process_batch(&line)
            .map_err(|source| AdapterError::Batch { line_number: index + 1, source })?;
        writeln!(output, "{reply}").and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match process_batches(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("irishinge-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
