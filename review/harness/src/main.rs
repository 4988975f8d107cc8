//! The stand-ins of the review's cases, and the cases themselves. `review/build.sh` builds this program, and
//! `review/N/run.sh` starts it with the name of a case.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
mod cases;
mod client;
mod discovery;
mod gateway;
mod host;
mod http;
mod proxy;
mod record;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::time::Duration;

/// The longest time that a case may take. A case that takes longer could not run.
const CASE_TIMEOUT: Duration = Duration::from_secs(100);

/// The result of a case that could run.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// What a case is given.
pub struct Setup {
    /// The root of the repository.
    pub root: PathBuf,
    /// An empty folder for temporary files.
    pub folder: PathBuf,
    /// Whether the disruption takes place (`TROUBLE` is not 0).
    pub trouble: bool,
    /// The record of what was sent, answered and run.
    pub record: Record,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record, folder] = &arguments[..] else {
        eprintln!("usage: harness CASE ROOT RECORD FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(record));
    record.line(format_args!("case {case}, TROUBLE={}", u8::from(trouble)));
    let setup = Setup { root: PathBuf::from(root), folder: PathBuf::from(folder), trouble, record: record.clone() };
    let case = match case.as_str() {
        "crowded-discovery" => cases::crowded_discovery::run,
        "expired-requests" => cases::expired_requests::run,
        "second-answer" => cases::second_answer::run,
        "slow-hosts" => cases::slow_hosts::run,
        "late-connection" => cases::late_connection::run,
        "late-request" => cases::late_request::run,
        other => {
            eprintln!("unknown case {other}");
            exit(2);
        }
    };
    // The case runs on a thread of its own, so that a case that hangs or panics ends with status 2. Gateways
    // are killed by their guards, or by run.sh if this process ends without running them.
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let result = case(&setup);
        drop(setup);
        let _ = sender.send(result);
    });
    let (status, text) = match receiver.recv_timeout(CASE_TIMEOUT) {
        Ok(Ok(Verdict::Held)) => (0, "the rule held".to_string()),
        Ok(Ok(Verdict::Broken)) => (1, "the rule was broken".to_string()),
        Ok(Err(reason)) => (2, format!("the case could not run: {reason}")),
        Err(_) => (2, "the case could not run: it panicked or took too long".to_string()),
    };
    record.line(format_args!("result: {text}"));
    println!("{text}");
    exit(status);
}
