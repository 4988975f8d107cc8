//! A request of a class with idempotency keys is tried a second time over a connection that comes up late.
//! The second attempt must not reach a host after the window for repeats.
use crate::cases::{list, Class, Deployment, Listed};
use crate::client::{Call, Client};
use crate::discovery::Discovery;
use crate::gateway::Gateway;
use crate::host::{self, HostConnection};
use crate::http::{response, Message};
use crate::record::Record;
use crate::{Setup, Verdict};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// `windowMs` of the class: for how long the hosts recognize a repeat.
const WINDOW_MS: u32 = 1500;
/// The slack that the protocol adds to each time limit.
const SLACK: Duration = Duration::from_millis(50);
/// `connectTimeoutMs`, over the 1.5 s by which connections come up late at most.
const CONNECT_TIMEOUT_MS: u32 = 1600;
/// The time that the first host works on the request before its error.
const WORK: Duration = Duration::from_millis(900);
/// For how long the second host takes no new connection. A connection that is tried meanwhile comes up when
/// the kernel sends its SYN again, 1 s after the first.
const FULL_FOR: Duration = Duration::from_millis(800);

/// The memory of keys that all hosts share (`dedupScope` is `all`), and the runs.
#[derive(Default)]
struct Hosts {
    /// When the first attempt with a key came.
    first_attempt_at: HashMap<String, Instant>,
    /// When each attempt came, and whether it ran.
    attempts: Vec<(Instant, bool)>,
}

pub fn run(setup: &Setup) -> Result<Verdict, String> {
    let hosts = Arc::new(Mutex::new(Hosts::default()));
    let (for_first, record) = (hosts.clone(), setup.record.clone());
    let first = host::start(move |connection: &mut HostConnection, request: &Message| {
        if take(&for_first, request, "s-1", &record) {
            sleep(WORK);
            record.line(format_args!("s-1: answers 500 after the run"));
            connection.write(&response("500 Internal Server Error", "", "error"))
        } else {
            connection.write(&response("200 OK", "", "done"))
        }
    });
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|error| error.to_string())?;
    let second = listener.local_addr().map_err(|error| error.to_string())?;
    // The first host is in the gateway's room and so gets the first attempt.
    let listed = [
        Listed { uid: "s-1", addr: first, room: "room-a", state: "up" },
        Listed { uid: "s-2", addr: second, room: "room-b", state: "up" },
    ];
    let discovery = Discovery::start(1, list(1, &listed), &setup.record);
    let place_order = Class { objective_ms: 2000, deadline_ms: 8000, repeat: "by_key", window_ms: WINDOW_MS };
    let deployment =
        Deployment { connect_timeout_ms: CONNECT_TIMEOUT_MS, place_order, ..Deployment::default() };
    let mut gateway = Gateway::start(setup, &deployment.config(discovery.addr, &list(1, &listed)))?;

    start_second_host(setup, listener, second, hosts.clone())?;
    let call = Call {
        number: 1,
        class: "place-order",
        method: "POST",
        budget_s: 8.0,
        headers: "Idempotency-Key: order-1\r\n".to_string(),
        body: "{\"loaves\":40}",
    };
    let mut client = Client::connect(gateway.addr).map_err(|error| format!("cannot connect: {error}"))?;
    setup.record.line(format_args!("client: sends place-order {} with the key order-1", call.id()));
    let answer = client.call(&call).map_err(|error| format!("no answer: {error}"))?;
    let answer = answer.ok_or("the gateway closed the connection without an answer")?;
    setup.record.line(format_args!("client: answered {} {}", answer.status(), answer.text()));
    // A hedged attempt may still be on its way.
    sleep(Duration::from_millis(2500));
    gateway.check_running()?;

    let hosts = hosts.lock().expect("the hosts' lock");
    let runs = hosts.attempts.iter().filter(|(_, ran)| *ran).count();
    let (Some((first_at, _)), Some((last_at, _))) = (hosts.attempts.first(), hosts.attempts.last()) else {
        return Err("no attempt was made".to_string());
    };
    let after = last_at.duration_since(*first_at);
    setup.record.line(format_args!(
        "{} attempts, the last {:.0} ms after the first; the order ran {runs} times",
        hosts.attempts.len(),
        after.as_secs_f64() * 1000.0
    ));
    if runs > 1 && after > Duration::from_millis(WINDOW_MS.into()) + SLACK {
        setup.record.line(format_args!("BROKEN: an attempt outside the window of {WINDOW_MS} ms ran again"));
        Ok(Verdict::Broken)
    } else {
        Ok(Verdict::Held)
    }
}

/// Takes a request at a host. Returns whether it runs: it is discarded if it repeats one that came within the
/// window, with the protocol's slack.
fn take(hosts: &Mutex<Hosts>, request: &Message, uid: &str, record: &Record) -> bool {
    let mut hosts = hosts.lock().expect("the hosts' lock");
    let key = request.header("idempotency-key").unwrap_or("").to_string();
    let now = request.last_byte_at;
    let first_at = *hosts.first_attempt_at.entry(key.clone()).or_insert(now);
    let after = now.duration_since(first_at);
    let is_first = hosts.attempts.is_empty();
    let runs = is_first || after > Duration::from_millis(WINDOW_MS.into()) + SLACK;
    hosts.attempts.push((now, runs));
    let what = if runs { "runs it" } else { "discards it as a repeat" };
    record.line_at(
        now,
        format_args!("{uid}: gets the key {key}, {:.0} ms after the first, {what}", after.as_secs_f64() * 1000.0),
    );
    runs
}

/// Starts the second host. With the disruption, its queue of new connections is full when the gateway tries
/// to connect, and is emptied soon after.
fn start_second_host(
    setup: &Setup,
    listener: TcpListener,
    addr: SocketAddr,
    hosts: Arc<Mutex<Hosts>>,
) -> Result<(), String> {
    let fillers = if setup.trouble { fill(addr)? } else { Vec::new() };
    let filler_ports: Vec<u16> =
        fillers.iter().filter_map(|filler| Some(filler.local_addr().ok()?.port())).collect();
    setup.record.line(format_args!("s-2: {} connections wait to be accepted", fillers.len()));
    let record = setup.record.clone();
    thread::spawn(move || {
        if !filler_ports.is_empty() {
            wait_for_error(&hosts);
            sleep(FULL_FOR);
        }
        drop(fillers);
        record.line(format_args!("s-2: accepts connections"));
        let record_of_requests = record.clone();
        let service = Arc::new(move |connection: &mut HostConnection, request: &Message| {
            take(&hosts, request, "s-2", &record_of_requests);
            connection.write(&response("200 OK", "", "done"))
        });
        for stream in listener.incoming().map_while(Result::ok) {
            let port = stream.peer_addr().map_or(0, |peer| peer.port());
            if !filler_ports.contains(&port) {
                record.line(format_args!("s-2: the gateway's connection is up"));
                host::serve(stream, service.clone());
            }
        }
    });
    Ok(())
}

/// Waits until the first host is about to answer with its error.
fn wait_for_error(hosts: &Mutex<Hosts>) {
    loop {
        let first_at = hosts.lock().expect("the hosts' lock").attempts.first().map(|(at, _)| *at);
        if first_at.is_some_and(|at| at.elapsed() >= WORK) {
            return;
        }
        sleep(Duration::from_millis(1));
    }
}

/// Opens connections until the listener's queue is full.
fn fill(addr: SocketAddr) -> Result<Vec<TcpStream>, String> {
    let mut fillers = Vec::new();
    while fillers.len() < 6000 {
        match TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
            Ok(stream) => fillers.push(stream),
            Err(_) => return Ok(fillers),
        }
    }
    Err("the queue of new connections does not fill up".to_string())
}
