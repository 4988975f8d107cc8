//! A host writes some of its answers twice, the second copy some milliseconds after the first, when nothing
//! else waits on the connection. Each client must get the answer that was made for its request.
use crate::cases::{list, Deployment, Listed};
use crate::client::{Call, Client};
use crate::discovery::Discovery;
use crate::gateway::Gateway;
use crate::host::{self, HostConnection};
use crate::http::{response, Message};
use crate::{proxy, Setup, Verdict};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// The gateways, started one after the other, each with its own client.
const GATEWAYS: u64 = 3;
/// The requests that a client sends, one after the other.
const REQUESTS: u64 = 60;
/// The time that a host works on a request.
const WORK: Duration = Duration::from_millis(20);
/// The one-way delay between the gateway's room and those of the hosts.
const ROOM_DELAY: Duration = Duration::from_micros(1300);
/// One answer of this many is written twice.
const SECOND_ANSWER_EVERY: usize = 10;
/// How long after the first copy the second is written.
const LATENESS: Duration = Duration::from_millis(2);

/// The requests of a client that were served, and those of them that got a foreign answer.
#[derive(Default)]
struct Counts {
    served: u64,
    foreign: u64,
}

pub fn run(setup: &Setup) -> Result<Verdict, String> {
    let hosts: Vec<Listed> = [("s-1", "room-b"), ("s-2", "room-c")]
        .map(|(uid, room)| {
            let addr = proxy::start(start_host(setup, uid), ROOM_DELAY);
            Listed { uid, addr, room, state: "up" }
        })
        .to_vec();
    let discovery = Discovery::start(1, list(1, &hosts), &setup.record);
    let config = Deployment::default().config(discovery.addr, &list(1, &hosts));
    let mut counts = Counts::default();
    for gateway_number in 0..GATEWAYS {
        let mut gateway = Gateway::start(setup, &config)?;
        send_requests(setup, &gateway, gateway_number * REQUESTS, &mut counts)?;
        gateway.check_running()?;
    }
    let (sent, Counts { served, foreign }) = (GATEWAYS * REQUESTS, counts);
    setup.record.line(format_args!("{served} of {sent} served, {foreign} of them with a foreign answer"));
    if foreign > 0 {
        Ok(Verdict::Broken)
    } else if served < sent * 9 / 10 {
        Err(format!("only {served} of {sent} requests were served"))
    } else {
        Ok(Verdict::Held)
    }
}

/// Sends the requests of one client and checks the answers.
fn send_requests(setup: &Setup, gateway: &Gateway, first: u64, counts: &mut Counts) -> Result<(), String> {
    let connect = || Client::connect(gateway.addr).map_err(|error| format!("cannot connect: {error}"));
    let mut client = connect()?;
    for number in first..first + REQUESTS {
        let call = if number % 2 == 0 {
            call(number, "stock-check", "GET", 2.5, "")
        } else {
            call(number, "place-order", "POST", 8.0, "{\"loaves\":40}")
        };
        setup.record.line(format_args!("client: sends {} {}", call.class, call.id()));
        let answer = match client.call(&call) {
            Ok(Some(answer)) => answer,
            other => {
                setup.record.line(format_args!("client: no answer to {}: {:?}", call.id(), other.err()));
                client = connect()?;
                continue;
            }
        };
        let text = answer.text();
        setup.record.line(format_args!("client: {} answered {} {text}", call.id(), answer.status()));
        if answer.status() == 200 {
            counts.served += 1;
            if text != made_for(&call.id()) {
                counts.foreign += 1;
                setup.record.line(format_args!("BROKEN: {} got the answer to another request", call.id()));
            }
        }
    }
    Ok(())
}

fn call(number: u64, class: &'static str, method: &'static str, budget_s: f64, body: &'static str) -> Call<'static> {
    Call { number, class, method, budget_s, headers: String::new(), body }
}

/// Returns the body of the answer that is made for a request.
fn made_for(id: &str) -> String {
    format!("made for {id}")
}

/// Starts a host. Its answers say for which request they were made.
fn start_host(setup: &Setup, uid: &'static str) -> std::net::SocketAddr {
    let (record, trouble) = (setup.record.clone(), setup.trouble);
    let answers = AtomicUsize::new(0);
    host::start(move |connection: &mut HostConnection, request: &Message| {
        let id = request.header("x-call-id").unwrap_or("").to_string();
        sleep(WORK);
        let text = response("200 OK", "", &made_for(&id));
        let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
        record.line(format_args!("{uid}: ran {id}, answers"));
        if !connection.write(&text) {
            return false;
        }
        if trouble && number % SECOND_ANSWER_EVERY == 0 {
            sleep(LATENESS);
            if connection.has_waiting_bytes() {
                record.line(format_args!("{uid}: no second answer to {id}, a request waits"));
            } else {
                record.line(format_args!("{uid}: second answer to {id}, nothing waits"));
                return connection.write(&text);
            }
        }
        true
    })
}
