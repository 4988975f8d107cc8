//! Discovery, or the agent that lists are pushed to: serves the endpoint list as the protocol page says.
use crate::http::{read_message, write_response};
use crate::util::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub state: &'static str,
    pub boot_ms: u64,
    pub changed_in: u64,
}

impl Entry {
    pub fn up(uid: &str, addr: SocketAddr) -> Entry {
        Entry {
            uid: uid.to_string(),
            addr,
            zone: "room-a".to_string(),
            cell: 0,
            state: "up",
            boot_ms: 0,
            changed_in: 1,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"small-2core\",\"pod_group\":{},\
             \"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.addr, self.zone, self.cell, self.state, self.boot_ms
        )
    }
}

/// Returns a list in discovery's form.
pub fn list_json(rev: u64, all: bool, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", targets.join(","))
}

struct State {
    rev: u64,
    entries: Vec<Entry>,
}

#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind discovery");
        let addr = listener.local_addr().expect("discovery's address");
        let state = Arc::new((Mutex::new(State { rev: 1, entries }), Condvar::new()));
        let discovery = Discovery { addr, state, record: record.clone() };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    /// Changes or adds an entry.
    pub fn change(&self, mut entry: Entry) {
        let mut state = self.state.0.lock().expect("discovery's lock");
        state.rev += 1;
        entry.changed_in = state.rev;
        self.record.line(&format!("discovery: rev {} {} {}", state.rev, entry.uid, entry.state));
        state.entries.retain(|e| e.uid != entry.uid);
        state.entries.push(entry);
        self.state.1.notify_all();
    }

    pub fn list(&self) -> String {
        let state = self.state.0.lock().expect("discovery's lock");
        list_json(state.rev, true, &listed(&state.entries))
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let target = request.target().to_string();
            let number = |name: &str| {
                target
                    .split(['?', '&'])
                    .find_map(|part| part.strip_prefix(name))
                    .and_then(|value| value.parse::<u64>().ok())
            };
            let body = match number("after=") {
                None => self.list(),
                Some(after) => self.watch(after, number("wait_ms=").unwrap_or(0).min(60_000)),
            };
            if write_response(&mut stream, "200 OK", "Content-Type: application/json\r\n", &body).is_err() {
                return;
            }
        }
    }

    fn watch(&self, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().expect("discovery's lock");
        while state.rev <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).expect("discovery's lock").0;
        }
        let changed: Vec<Entry> = state.entries.iter().filter(|e| e.changed_in > after).cloned().collect();
        list_json(state.rev, false, &changed)
    }
}

fn listed(entries: &[Entry]) -> Vec<Entry> {
    entries.iter().filter(|e| e.state != "removed").cloned().collect()
}
