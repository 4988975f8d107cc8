//! Measures the resident memory of the process.
use std::fs;

/// The file in which the kernel tells the state of the process.
const STATUS_PATH: &str = "/proc/self/status";
/// The name of the line with the resident memory.
const RESIDENT_LINE: &str = "VmRSS:";
/// Bytes in a unit of that line.
const BYTES_PER_KB: usize = 1024;

/// Returns the resident memory of the process in bytes, or `None` if the kernel does not tell it.
pub(super) fn resident_bytes() -> Option<usize> {
    parse_status(&fs::read_to_string(STATUS_PATH).ok()?)
}

/// Returns the resident memory from the text of the status file, in bytes.
pub(super) fn parse_status(status: &str) -> Option<usize> {
    let line = status.lines().find_map(|line| line.strip_prefix(RESIDENT_LINE))?;
    let kilobytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * BYTES_PER_KB)
}
