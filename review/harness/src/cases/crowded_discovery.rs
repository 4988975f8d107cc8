//! A host drains while discovery, which is polled, turns the gateway's calls away. The gateway must not send
//! to the host once the change counts as told and the grace is over.
use crate::cases::{list, Deployment, Listed};
use crate::client::{Call, Client};
use crate::discovery::{Discovery, Mode};
use crate::gateway::Gateway;
use crate::host::{self, HostConnection};
use crate::http::{response, Message};
use crate::{Setup, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The time that a host works on a request.
const WORK: Duration = Duration::from_millis(100);
/// How long a call waits in turn before discovery turns it away.
const TURNED_AWAY_AFTER: Duration = Duration::from_secs(2);
/// For how long the clients go on after the change of the list.
const WATCHED_FOR: Duration = Duration::from_secs(18);
/// The latest time at which the change counts as told.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `stopSendingWithinMs`, and the slack that the protocol adds to each time limit.
const GRACE: Duration = Duration::from_millis(2050);

pub fn run(setup: &Setup) -> Result<Verdict, String> {
    let sent_to_draining = Arc::new(Mutex::new(Vec::new()));
    let draining = start_host(setup, "s-1", sent_to_draining.clone());
    let other = start_host(setup, "s-2", Arc::default());
    let listed = |state| {
        [
            Listed { uid: "s-1", addr: draining, room: "room-a", state },
            Listed { uid: "s-2", addr: other, room: "room-a", state: "up" },
        ]
    };
    let discovery = Discovery::start(1, list(1, &listed("up")), &setup.record);
    let deployment = Deployment { discovery_mode: "on_request", ..Deployment::default() };
    let mut gateway = Gateway::start(setup, &deployment.config(discovery.addr, &list(1, &listed("up"))))?;

    let (stop, numbers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (stop, numbers, served, gateway) =
                (stop.clone(), numbers.clone(), served.clone(), gateway.addr);
            thread::spawn(move || send_requests(gateway, &stop, &numbers, &served))
        })
        .collect();
    sleep(Duration::from_secs(3));
    let mode = if setup.trouble { Mode::Crowded(TURNED_AWAY_AFTER) } else { Mode::Sound };
    let changed_at = discovery.publish(2, list(2, &listed("draining")), mode);
    let mut observed = 0;
    while changed_at.elapsed() < WATCHED_FOR {
        // Another caller, which discovery serves all the while: it has the change and can be reached.
        observed += usize::from(observe(discovery.addr));
        sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    gateway.check_running()?;

    let sent = sent_to_draining.lock().expect("the host's lock");
    let before = sent.iter().filter(|at| **at < changed_at).count();
    let limit = changed_at + TOLD_AFTER + GRACE;
    let late: Vec<&Instant> = sent.iter().filter(|at| **at > limit).collect();
    setup.record.line(format_args!(
        "{} requests served; s-1 got {before} before the change; discovery gave the observer {observed} lists",
        served.load(Ordering::Relaxed)
    ));
    if before == 0 || observed < 10 {
        return Err("s-1 got no request before the change, or discovery could not be reached".to_string());
    }
    match late.last() {
        Some(last) => {
            setup.record.line(format_args!(
                "BROKEN: s-1 got {} requests later than 8050 ms after the change, the last {:.0} ms after it",
                late.len(),
                last.duration_since(changed_at).as_secs_f64() * 1000.0
            ));
            Ok(Verdict::Broken)
        }
        None => Ok(Verdict::Held),
    }
}

/// Starts a host that notes when the first byte of each request came.
fn start_host(setup: &Setup, uid: &'static str, sent: Arc<Mutex<Vec<Instant>>>) -> SocketAddr {
    let record = setup.record.clone();
    host::start(move |connection: &mut HostConnection, request: &Message| {
        sent.lock().expect("the host's lock").push(request.first_byte_at);
        let id = request.header("x-call-id").unwrap_or("");
        record.line_at(request.first_byte_at, format_args!("{uid}: gets {id}"));
        sleep(WORK);
        connection.write(&response("200 OK", "", "stock"))
    })
}

/// Sends requests one after the other.
fn send_requests(gateway: SocketAddr, stop: &AtomicBool, numbers: &AtomicU64, served: &AtomicU64) {
    let Ok(mut client) = Client::connect(gateway) else { return };
    while !stop.load(Ordering::Relaxed) {
        let call = Call {
            number: numbers.fetch_add(1, Ordering::Relaxed),
            class: "stock-check",
            method: "GET",
            budget_s: 2.5,
            headers: String::new(),
            body: "",
        };
        match client.call(&call) {
            Ok(Some(answer)) => {
                served.fetch_add(u64::from(answer.status() == 200), Ordering::Relaxed);
            }
            _ => match Client::connect(gateway) {
                Ok(new) => client = new,
                Err(_) => return,
            },
        }
        sleep(Duration::from_millis(50));
    }
}

/// Asks discovery for the complete list, as another gateway does. Returns whether it gets the new one.
fn observe(discovery: SocketAddr) -> bool {
    let Ok(mut client) = Client::connect(discovery) else { return false };
    let request = "GET /v1/servers HTTP/1.1\r\nHost: discovery\r\nX-Observer: 1\r\n\r\n";
    let answer = client.write(request).and_then(|()| client.read());
    matches!(answer, Ok(Some(answer)) if answer.status() == 200 && answer.text().contains("draining"))
}
