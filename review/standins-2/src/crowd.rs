//! Idle clients fill the descriptors, while the messages of a usual client come in pieces. Each of its requests has
//! to get an answer, at the latest when it is sent once more on a new connection.
use crate::client::{new_id, Request};
use crate::counter;
use crate::discovery::{Discovery, Entry};
use crate::host::{self, Arrivals};
use crate::http::read_message;
use crate::site;
use crate::util::{sleep_ms, trouble, Record};
use crate::Verdict;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The descriptors of the gateway.
const SOCKETS: u32 = 256;
/// The idle clients.
const IDLE_CLIENTS: u64 = 160;
/// The orders that come in pieces, and the time between the two pieces of each.
const ORDERS: u64 = 30;
const PIECE_GAP_MS: u64 = 80;
/// The time between two usual clients that ask once, each on a new connection.
const USUAL_INTERVAL_MS: u64 = 100;

pub fn play(record: &Record) -> Verdict {
    let mut settings = site::nairobi_orders();
    settings.plans[2] = site::plan("hotel", 100.0, 200.0);
    let arrivals: Arrivals = Arrivals::default();
    let hosts = (0..4).map(|n| host::start(&format!("host-{n}"), &arrivals, record, host::answer_after(30)));
    let discovery = Discovery::start(hosts.map(|h| Entry::up(&h.name, h.addr)).collect(), record);
    let Some(gateways) = site::start_fleet(&settings, &discovery, Some(counter::start()), SOCKETS, record)
    else {
        return Verdict::CouldNotRun;
    };
    let to = gateways[0].config.listen;
    let stops = AtomicBool::new(false);
    let mut lost = BTreeSet::new();
    thread::scope(|scope| {
        if trouble() {
            for number in 0..IDLE_CLIENTS {
                let stops = &stops;
                scope.spawn(move || idle_client(1000 + number, to, stops, record));
            }
        }
        // The idle clients are idle for more than 2 s, so that the gateway may end their connections.
        sleep_ms(4500);
        let stops = &stops;
        scope.spawn(move || usual_clients(to, stops, record));
        for number in 0..ORDERS {
            let order = request("place-order", 3000 + number, Some("o".repeat(300)));
            let is_answered = (0..2).any(|_| sent_in_pieces(&order, to, record));
            if !is_answered {
                record.line(&format!("client: {:016x} got no answer, neither time", order.id));
                lost.insert(order.id);
            }
            sleep_ms(50);
        }
        stops.store(true, Ordering::Relaxed);
        record.line("the clients stop");
    });
    let arrivals = arrivals.lock().expect("the arrivals' lock");
    let run = arrivals.iter().filter(|a| lost.iter().any(|id| format!("{id:016x}") == a.id)).count();
    record
        .say(&format!("orders in pieces: {ORDERS}; without an answer: {}, of these run: {run}", lost.len()));
    if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn request(class: &'static str, customer: u64, body: Option<String>) -> Request {
    let budget_s = if body.is_some() { 8.0 } else { 2.5 };
    Request {
        id: new_id(),
        class,
        plan: "hotel",
        customer,
        budget_s,
        units: 1,
        spread: 2,
        first: 0,
        key: None,
        body,
    }
}

/// Asks once, keeps the connection until the gateway ends it, and comes again.
fn idle_client(customer: u64, to: SocketAddr, stops: &AtomicBool, record: &Record) {
    sleep_ms((customer * 7) % 1000);
    while !stops.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(to) else { return };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let text = request("stock-check", customer, None).text();
        let mut buffer = Vec::new();
        if stream.write_all(text.as_bytes()).is_err() || read_message(&mut stream, &mut buffer).is_none() {
            record.line(&format!("idle client {customer}: no answer"));
        }
        while !stops.load(Ordering::Relaxed) && !has_ended(&stream) {
            sleep_ms(20);
        }
        sleep_ms(500);
    }
}

/// Clients that ask once, each on a new connection of its own.
fn usual_clients(to: SocketAddr, stops: &AtomicBool, record: &Record) {
    let mut number = 0;
    while !stops.load(Ordering::Relaxed) {
        number += 1;
        let request = request("stock-check", 2000 + number % 50, None);
        let record = record.clone();
        thread::spawn(move || request.send(to, &record));
        sleep_ms(USUAL_INTERVAL_MS);
    }
}

/// Sends a request in two pieces on a new connection. Returns whether it is answered.
fn sent_in_pieces(request: &Request, to: SocketAddr, record: &Record) -> bool {
    let id = request.id;
    let text = request.text();
    let (first, second) = text.as_bytes().split_at(text.len() / 2);
    let Ok(mut stream) = TcpStream::connect(to) else { return false };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(request.budget_s + 0.55)));
    if stream.write_all(first).is_err() {
        return false;
    }
    record.line(&format!("client: {id:016x} first piece written"));
    sleep_ms(PIECE_GAP_MS);
    if has_ended(&stream) {
        // With the first piece unread, the connection would have been reset.
        let reset = stream.take_error().ok().flatten();
        let how = reset.map_or("not reset".to_string(), |error| error.to_string());
        record.line(&format!("client: {id:016x} the gateway has ended the connection ({how})"));
    }
    if let Err(error) = stream.write_all(second) {
        record.line(&format!("client: {id:016x} last piece not written: {error}"));
        return false;
    }
    record.line(&format!("client: {id:016x} last piece written"));
    let status = read_message(&mut stream, &mut Vec::new()).map(|answer| answer.status());
    record.line(&format!("client: {id:016x} answered {status:?}"));
    status.is_some()
}

/// Returns whether the other side has ended the connection, with all its bytes read.
fn has_ended(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
