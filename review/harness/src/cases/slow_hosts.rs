//! Not a case of the review: the pages name no disruption in which all hosts are slow. All hosts answer slowly for some
//! seconds and are then as fast as before. The gateway should serve again.
use crate::cases::{list, Deployment, Listed};
use crate::client::{Call, Client};
use crate::discovery::Discovery;
use crate::gateway::Gateway;
use crate::host::{self, HostConnection};
use crate::http::{response, Message};
use crate::{Setup, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The time that a host works on a request, usually and while it is slow.
const WORK: Duration = Duration::from_millis(100);
const SLOW_WORK: Duration = Duration::from_millis(1300);
/// For how long the hosts are slow.
const SLOW_FOR: Duration = Duration::from_secs(12);
/// For how long the clients go on after that.
const WATCHED_FOR: Duration = Duration::from_secs(60);

pub fn run(setup: &Setup) -> Result<Verdict, String> {
    let slow = Arc::new(AtomicBool::new(false));
    let hosts: Vec<Listed> = ["s-1", "s-2", "s-3"]
        .map(|uid| Listed { uid, addr: start_host(slow.clone()), room: "room-a", state: "up" })
        .to_vec();
    let discovery = Discovery::start(1, list(1, &hosts), &setup.record);
    let config = Deployment::default().config(discovery.addr, &list(1, &hosts));
    let mut gateway = Gateway::start(setup, &config)?;

    let (stop, numbers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let answers: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..20)
        .map(|_| {
            let (stop, numbers, answers) = (stop.clone(), numbers.clone(), answers.clone());
            let addr = gateway.addr;
            thread::spawn(move || send_requests(addr, &stop, &numbers, &answers))
        })
        .collect();
    sleep(Duration::from_secs(4));
    slow.store(setup.trouble, Ordering::Relaxed);
    setup.record.line(format_args!("hosts: slow={}", setup.trouble));
    sleep(SLOW_FOR);
    slow.store(false, Ordering::Relaxed);
    setup.record.line(format_args!("hosts: slow=false"));
    let healthy_at = Instant::now();
    sleep(WATCHED_FOR);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    gateway.check_running()?;

    // What was sent before the end of the slow spell is answered within the next seconds.
    let answers = answers.lock().expect("the answers' lock");
    let after: Vec<u16> =
        answers.iter().filter(|(at, _)| *at > healthy_at + SLOW_WORK * 2).map(|(_, status)| *status).collect();
    let served = after.iter().filter(|status| **status == 200).count();
    setup.record.line(format_args!("after the slow spell: {} requests, {served} of them served", after.len()));
    Ok(if served == 0 { Verdict::Broken } else { Verdict::Held })
}

fn start_host(slow: Arc<AtomicBool>) -> SocketAddr {
    host::start(move |connection: &mut HostConnection, _request: &Message| {
        sleep(if slow.load(Ordering::Relaxed) { SLOW_WORK } else { WORK });
        connection.write(&response("200 OK", "", "stock"))
    })
}

/// Sends a request a second, each after the answer to the last.
fn send_requests(
    gateway: SocketAddr,
    stop: &AtomicBool,
    numbers: &AtomicU64,
    answers: &Mutex<Vec<(Instant, u16)>>,
) {
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
                answers.lock().expect("the answers' lock").push((Instant::now(), answer.status()));
            }
            _ => match Client::connect(gateway) {
                Ok(new) => client = new,
                Err(_) => return,
            },
        }
        sleep(Duration::from_millis(1000));
    }
}
