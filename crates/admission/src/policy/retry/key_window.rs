//! How long an idempotency key keeps a request from running twice.

/// Part of an idempotency key's window within which further attempts are sent and written, as a fraction of
/// the window. The endpoints measure the window, and network delays take some of it.
const KEY_WINDOW_FRACTION: f64 = 0.9;

/// Ticks that are subtracted from that part of the window, because they may pass before an attempt reaches
/// the network and before the gateway notices how much time has passed.
const KEY_WINDOW_TICKS: f64 = 2.0;

/// Returns whether the endpoints still recognize an idempotency key, `since_first_possible_run_ms` after the
/// oldest attempt that may have run was sent. `window_ms` is the time for which they remember the key.
pub(crate) fn key_window_is_open(since_first_possible_run_ms: f64, window_ms: f64, tick_ms: f64) -> bool {
    since_first_possible_run_ms < KEY_WINDOW_FRACTION * window_ms - KEY_WINDOW_TICKS * tick_ms
}
