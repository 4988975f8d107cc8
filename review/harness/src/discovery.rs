//! Discovery: serves the list and watches of it.
use crate::host::{self, HostConnection};
use crate::http::{response, Message};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How calls are answered.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Each call gets the list; a watch waits until there is a newer one or its time is over.
    Sound,
    /// Crowded: a call of a gateway waits in turn for this long and is then turned away with 503. Calls with
    /// the header `X-Observer` get the list.
    Crowded(Duration),
}

struct State {
    revision: u64,
    list: String,
    mode: Mode,
}

/// A discovery service on a free port.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub addr: SocketAddr,
}

impl Discovery {
    /// Starts discovery with a complete list.
    pub fn start(revision: u64, list: String, record: &Record) -> Discovery {
        let state = State { revision, list, mode: Mode::Sound };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (for_calls, record_of_calls) = (state.clone(), record.clone());
        let addr = host::start(move |connection: &mut HostConnection, request: &Message| {
            answer(&for_calls, &record_of_calls, connection, request)
        });
        Discovery { state, record: record.clone(), addr }
    }

    /// Publishes a new complete list and sets how calls are answered from now on. Returns the time.
    pub fn publish(&self, revision: u64, list: String, mode: Mode) -> Instant {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("discovery's lock");
        *state = State { revision, list, mode };
        changed.notify_all();
        let now = Instant::now();
        self.record.line_at(now, format_args!("discovery: has revision {revision}"));
        now
    }
}

/// Answers one call. Each list is complete, which is allowed for a watch too.
fn answer(
    shared: &(Mutex<State>, Condvar),
    record: &Record,
    connection: &mut HostConnection,
    request: &Message,
) -> bool {
    let path = request.path().to_string();
    let query = |name: &str| -> Option<u64> {
        let query = path.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
    };
    let is_observer = request.header("x-observer").is_some();
    let (state, changed) = shared;
    let mut state = state.lock().expect("discovery's lock");
    if let (Mode::Sound, Some(after)) = (state.mode, query("after")) {
        let until = Instant::now() + Duration::from_millis(query("wait_ms").unwrap_or(0));
        while state.revision <= after && Instant::now() < until && state.mode == Mode::Sound {
            let left = until.saturating_duration_since(Instant::now());
            state = changed.wait_timeout(state, left).expect("discovery's lock").0;
        }
    }
    let who = if is_observer { "observer" } else { "gateway" };
    if let (Mode::Crowded(wait), false) = (state.mode, is_observer) {
        drop(state);
        std::thread::sleep(wait);
        record.line(format_args!("discovery: turns away the {who}'s call {path} with 503"));
        return connection.write(&response("503 Service Unavailable", "", ""));
    }
    let (revision, list) = (state.revision, state.list.clone());
    drop(state);
    if is_observer || query("after").is_none_or(|after| revision > after) {
        record.line(format_args!("discovery: answers the {who}'s call {path} with revision {revision}"));
    }
    connection.write(&response("200 OK", "Content-Type: application/json\r\n", &list))
}
