//! Clients write their requests slowly while the gateway is told to end. A request that the gateway has
//! forwarded must get its answer.
use crate::cases::{list, Class, Deployment, Listed};
use crate::client::{Call, Client};
use crate::discovery::Discovery;
use crate::gateway::Gateway;
use crate::host::{self, HostConnection};
use crate::http::{response, Message};
use crate::{Setup, Verdict};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The time that a host works on a request.
const WORK: Duration = Duration::from_millis(200);
/// The longest deadline of the settings.
const DEADLINE_MS: u32 = 1200;
/// When SIGKILL comes after SIGTERM: the longest deadline plus 0.7 s, the earliest time that is allowed.
const KILL_AFTER: Duration = Duration::from_millis(1900);
/// How long before SIGTERM the clients connect.
const CONNECT_BEFORE: Duration = Duration::from_millis(300);
/// The clients, and the time between the last bytes of two of them. The first comes one interval after SIGTERM, and
/// the last 0.1 s before SIGKILL.
const CLIENTS: u64 = 60;
const LAST_BYTE_INTERVAL: Duration = Duration::from_millis(30);
/// The time between two pieces of a request.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);

/// What became of a client's request.
struct Outcome {
    id: String,
    /// Whether the last byte was written.
    written: bool,
    answered: bool,
}

pub fn run(setup: &Setup) -> Result<Verdict, String> {
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let hosts: Vec<Listed> = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"]
        .map(|uid| Listed { uid, addr: start_host(setup, uid, ran.clone()), room: "room-a", state: "up" })
        .to_vec();
    let discovery = Discovery::start(1, list(1, &hosts), &setup.record);
    let deployment = Deployment {
        stock_check: Class { objective_ms: 400, deadline_ms: 900, repeat: "repeatable", window_ms: 5000 },
        place_order: Class { objective_ms: 600, deadline_ms: DEADLINE_MS, repeat: "once", window_ms: 5000 },
        ..Deployment::default()
    };
    let mut gateway = Gateway::start(setup, &deployment.config(discovery.addr, &list(1, &hosts)))?;
    sleep(Duration::from_millis(1500));

    let term_at = Instant::now() + CONNECT_BEFORE;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, addr) = (setup.record.clone(), gateway.addr);
            let last_at = term_at + LAST_BYTE_INTERVAL * (number as u32 + 1);
            thread::spawn(move || write_slowly(number, addr, last_at, &record))
        })
        .collect();
    sleep(term_at.saturating_duration_since(Instant::now()));
    if setup.trouble {
        setup.record.line(format_args!("gateway: SIGTERM"));
        gateway.terminate();
        match gateway.wait_until(term_at + KILL_AFTER) {
            Some(status) => setup.record.line(format_args!("gateway: ended by itself, {status}")),
            None => {
                setup.record.line(format_args!("gateway: SIGKILL"));
                drop(gateway);
            }
        }
    }
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.push(client.join().map_err(|_| "a client panicked")?);
    }

    let ran = ran.lock().expect("the hosts' lock");
    let lost = outcomes.iter().filter(|o| o.written && !o.answered && ran.contains(&o.id));
    let lost: Vec<&str> = lost.map(|outcome| outcome.id.as_str()).collect();
    let answered = outcomes.iter().filter(|outcome| outcome.answered).count();
    setup.record.line(format_args!("{answered} of {} requests answered", outcomes.len()));
    if !lost.is_empty() {
        setup.record.line(format_args!("BROKEN: forwarded, run by a host and never answered: {lost:?}"));
        Ok(Verdict::Broken)
    } else if answered < outcomes.len() / 3 {
        Err("too few requests were answered".to_string())
    } else {
        Ok(Verdict::Held)
    }
}

/// Starts a host that notes which requests it ran.
fn start_host(setup: &Setup, uid: &'static str, ran: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    let record = setup.record.clone();
    host::start(move |connection: &mut HostConnection, request: &Message| {
        let id = request.header("x-call-id").unwrap_or("").to_string();
        record.line_at(request.last_byte_at, format_args!("{uid}: runs {id}"));
        ran.lock().expect("the hosts' lock").push(id.clone());
        sleep(WORK);
        let written = connection.write(&response("200 OK", "", "ordered"));
        record.line(format_args!("{uid}: answers {id}"));
        written
    })
}

/// Writes a request in pieces, the last one at `last_at`, and reads the answer.
fn write_slowly(number: u64, gateway: SocketAddr, last_at: Instant, record: &crate::record::Record) -> Outcome {
    let call = Call {
        number,
        class: "place-order",
        method: "POST",
        budget_s: f64::from(DEADLINE_MS) / 1000.0,
        headers: String::new(),
        body: "{\"loaves\":40}",
    };
    let id = call.id();
    let nothing = |id| Outcome { id, written: false, answered: false };
    let Ok(mut client) = Client::connect(gateway) else { return nothing(id) };
    let text = call.text();
    let start = Instant::now();
    record.line_at(start, format_args!("client: connects and begins to write {id}"));
    let pieces = (last_at.saturating_duration_since(start).as_millis() / PIECE_INTERVAL.as_millis()).max(1);
    let pieces = pieces as usize;
    let mut written = 0;
    for piece in 0..pieces {
        let until = (text.len() - 1) * (piece + 1) / pieces;
        if client.write(&text[written..until]).is_err() {
            record.line(format_args!("client: the connection of {id} was closed before its last byte"));
            return nothing(id);
        }
        written = until;
        let left = pieces - 1 - piece;
        let pause = last_at.saturating_duration_since(Instant::now()) / (left as u32 + 1);
        sleep(pause);
    }
    if client.write(&text[written..]).is_err() {
        record.line(format_args!("client: the connection of {id} was closed before its last byte"));
        return nothing(id);
    }
    record.line(format_args!("client: wrote the last byte of {id}"));
    let answered = match client.read() {
        Ok(Some(answer)) => {
            record.line(format_args!("client: {id} answered {} {}", answer.status(), answer.text()));
            true
        }
        Ok(None) => {
            record.line(format_args!("client: the connection of {id} was closed without an answer"));
            false
        }
        Err(error) => {
            record.line(format_args!("client: the connection of {id} ended without an answer: {error}"));
            false
        }
    };
    Outcome { id, written: true, answered }
}
