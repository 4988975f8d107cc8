//! Some requests have very little time left, and the hosts drop these without a word. The gateway must not keep anything
//! of them after their answer, or else it goes over its memory limit and is killed.
use crate::cases::{list, Deployment, Listed, MEMORY_MB};
use crate::client::{Call, Client};
use crate::discovery::Discovery;
use crate::gateway::Gateway;
use crate::host::{self, HostConnection};
use crate::http::{response, Message};
use crate::{Setup, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The time that a host works on a request that changes nothing (GET), and on an order.
const STOCK_CHECK_WORK: Duration = Duration::from_millis(90);
const PLACE_ORDER_WORK: Duration = Duration::from_millis(150);
/// The budget of a request with very little time left, and of any other by its class.
const LITTLE_TIME_S: f64 = 0.25;
const STOCK_CHECK_TIME_S: f64 = 2.5;
const PLACE_ORDER_TIME_S: f64 = 8.0;
/// A host drops a request that tells less time than this.
const DROPPED_BELOW_S: f64 = 0.26;
/// The hosts.
const HOSTS: [&str; 20] = [
    "s-01", "s-02", "s-03", "s-04", "s-05", "s-06", "s-07", "s-08", "s-09", "s-10", "s-11", "s-12", "s-13", "s-14",
    "s-15", "s-16", "s-17", "s-18", "s-19", "s-20",
];
/// The clients. Each sends its requests at this interval, so that the gateway gets 120 a second.
const CLIENTS: u64 = 60;
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Of this many clients, one sends requests with long bodies, and with very little time left.
const LONG_REQUEST_EVERY: u64 = 8;
/// The length of a long body, below the 64 KiB that the protocol allows.
const LONG_BODY: usize = 60_000;
/// For how long the clients go on at most.
const DURATION: Duration = Duration::from_secs(85);

/// The answers that the clients got.
#[derive(Default)]
struct Answers {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    none: AtomicU64,
}

pub fn run(setup: &Setup) -> Result<Verdict, String> {
    let dropped = Arc::new(AtomicU64::new(0));
    let hosts: Vec<Listed> = HOSTS
        .iter()
        .map(|uid| Listed { uid, addr: start_host(dropped.clone()), room: "room-a", state: "up" })
        .collect();
    let discovery = Discovery::start(1, list(1, &hosts), &setup.record);
    let config = Deployment::default().config(discovery.addr, &list(1, &hosts));
    let mut gateway = Gateway::start(setup, &config)?;

    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Answers::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, answers, addr) = (stop.clone(), answers.clone(), gateway.addr);
            let trouble = setup.trouble;
            thread::spawn(move || send_requests(client, addr, trouble, &stop, &answers))
        })
        .collect();
    let (start, mut most_mb, mut killed) = (Instant::now(), 0.0, false);
    let mut note_at = start;
    while start.elapsed() < DURATION && !killed {
        gateway.check_running()?;
        let memory_mb = gateway.memory_mb()?;
        most_mb = f64::max(most_mb, memory_mb);
        if Instant::now() >= note_at {
            note_at += Duration::from_secs(5);
            let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
            setup.record.line(format_args!(
                "gateway: {memory_mb:.1} MB; answers: {} served, {} refused, {} failed, {} none; hosts dropped {}",
                count(&answers.served),
                count(&answers.refused),
                count(&answers.failed),
                count(&answers.none),
                count(&dropped),
            ));
        }
        if memory_mb > f64::from(MEMORY_MB) {
            killed = true;
            setup.record.line(format_args!(
                "BROKEN: the gateway holds {memory_mb:.1} MB, over its limit of {MEMORY_MB} MB: the platform kills it"
            ));
        }
        sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    drop(gateway);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    setup.record.line(format_args!("the gateway held at most {most_mb:.1} MB"));
    if killed {
        Ok(Verdict::Broken)
    } else if answers.served.load(Ordering::Relaxed) < 1000 {
        Err("too few requests were served".to_string())
    } else {
        Ok(Verdict::Held)
    }
}

/// Starts a host. It drops a request with very little time left, and then waits until the connection is closed.
fn start_host(dropped: Arc<AtomicU64>) -> SocketAddr {
    host::start(move |connection: &mut HostConnection, request: &Message| {
        let budget_s: f64 = request.header("x-budget").and_then(|text| text.parse().ok()).unwrap_or(0.0);
        if budget_s < DROPPED_BELOW_S {
            dropped.fetch_add(1, Ordering::Relaxed);
            return true;
        }
        sleep(if request.start_line.starts_with("GET") { STOCK_CHECK_WORK } else { PLACE_ORDER_WORK });
        connection.write(&response("200 OK", "", "ordered"))
    })
}

/// Sends requests at the interval, each after the answer to the last.
fn send_requests(client: u64, gateway: SocketAddr, trouble: bool, stop: &AtomicBool, answers: &Answers) {
    sleep(REQUEST_INTERVAL * client as u32 / CLIENTS as u32);
    let is_long = client % LONG_REQUEST_EVERY == 0;
    let (class, method, body) = if is_long {
        ("place-order", "POST", "b".repeat(LONG_BODY))
    } else if client % 2 == 0 {
        ("place-order", "POST", "{\"loaves\":40}".to_string())
    } else {
        ("stock-check", "GET", String::new())
    };
    let usual_time_s = if class == "stock-check" { STOCK_CHECK_TIME_S } else { PLACE_ORDER_TIME_S };
    let Ok(mut connection) = Client::connect(gateway) else { return };
    let mut number = client;
    while !stop.load(Ordering::Relaxed) {
        let next_at = Instant::now() + REQUEST_INTERVAL;
        let call = Call {
            number,
            class,
            method,
            budget_s: if is_long && trouble { LITTLE_TIME_S } else { usual_time_s },
            headers: String::new(),
            body: &body,
        };
        number += CLIENTS;
        let counter = match connection.call(&call) {
            Ok(Some(answer)) => match answer.status() {
                200 => &answers.served,
                429 | 503 => &answers.refused,
                _ => &answers.failed,
            },
            _ => match Client::connect(gateway) {
                Ok(new) => {
                    connection = new;
                    &answers.none
                }
                Err(_) => return,
            },
        };
        counter.fetch_add(1, Ordering::Relaxed);
        sleep(next_at.saturating_duration_since(Instant::now()));
    }
}
