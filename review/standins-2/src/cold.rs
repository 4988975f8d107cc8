//! The one room of a deployment is lost, and its endpoints come back cold, one after another. None of them may be
//! pushed over by what the gateways send it.
use crate::client::{new_id, Request};
use crate::discovery::{Discovery, Entry};
use crate::http::{read_message, write_response};
use crate::site;
use crate::util::{sleep_ms, trouble, unix_ms, Record};
use crate::Verdict;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// The number of endpoints.
const HOSTS: usize = 10;
/// The work of each request, the mean of the class, on one core of a warm endpoint.
const WORK_MS: f64 = 85.0;
/// The cores of an endpoint.
const CORES: u32 = 2;
/// The requests that an endpoint lets wait for a core.
const WAITING_ROOM: usize = 40;
/// The load, as a share of what the warm endpoints can do.
const LOAD: f64 = 0.6;
/// How long the room is lost.
const LOST_MS: u64 = 12_000;
/// How long after the loss discovery notices it.
const NOTICED_MS: u64 = 5_000;
/// When discovery lists the first endpoint after its start, and how long after that each next one.
const ADDED_MS: u64 = 600;
const ADDED_EVERY_MS: u64 = 200;
/// The figures of the rule, from the settings.
const COLD_SHARE: f64 = 0.19;
const WARM_UP_MS: f64 = 17_000.0;
const FALL_MULTIPLE: f64 = 2.0;
const TIP_AFTER_MS: f64 = 2000.0;

/// An endpoint, whose capacity rises evenly after its start.
struct Server {
    name: String,
    addr: SocketAddr,
    record: Record,
    state: Mutex<State>,
    core_freed: Condvar,
    is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

#[derive(Default)]
struct State {
    busy: u32,
    waiting: usize,
    started_ms: Option<f64>,
    arrivals: Vec<f64>,
    /// The arrivals within the time of the rule, and the most that the endpoint bears, when it fell.
    fell: Option<(usize, f64)>,
    /// The largest share of what the endpoint bears that arrived.
    most: f64,
}

impl State {
    /// The capacity at this time, as a share of that of a warm endpoint.
    fn capacity(&self, now_ms: f64) -> f64 {
        let Some(started_ms) = self.started_ms else { return 1.0 };
        (COLD_SHARE + (1.0 - COLD_SHARE) * (now_ms - started_ms) / WARM_UP_MS).min(1.0)
    }

    /// Counts an arrival, and returns whether the endpoint falls over with it.
    fn arrive(&mut self, now_ms: f64) -> bool {
        self.arrivals.push(now_ms);
        let capacity = self.capacity(now_ms);
        if capacity >= 1.0 || self.fell.is_some() {
            return false;
        }
        let recent = self.arrivals.iter().filter(|at| **at > now_ms - TIP_AFTER_MS).count();
        let per_second = capacity * f64::from(CORES) * 1000.0 / WORK_MS;
        let n = FALL_MULTIPLE * per_second * TIP_AFTER_MS / 1000.0;
        let bears = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        self.most = self.most.max(recent as f64 / bears);
        let falls = recent as f64 > bears;
        if falls {
            self.fell = Some((recent, bears));
        }
        falls
    }
}

impl Server {
    fn start(name: &str, record: &Record) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind an endpoint");
        let server = Arc::new(Server {
            name: name.to_string(),
            addr: listener.local_addr().expect("the endpoint's address"),
            record: record.clone(),
            state: Mutex::default(),
            core_freed: Condvar::new(),
            is_up: AtomicBool::new(true),
            connections: Mutex::default(),
        });
        let listening = server.clone();
        thread::spawn(move || listening.listen(listener));
        server
    }

    /// Accepts connections while the endpoint is up. While it is down, they are refused.
    fn listen(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            listener.set_nonblocking(true).expect("a listener that does not block");
            while self.is_up.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                stream.set_nonblocking(false).expect("a connection that blocks");
                let server = self.clone();
                let clone = stream.try_clone().expect("a second handle of the connection");
                self.connections.lock().expect("the connections' lock").push(clone);
                thread::spawn(move || server.serve(stream));
            }
            drop(listener);
            while !self.is_up.load(Ordering::Relaxed) {
                sleep_ms(1);
            }
            listener = loop {
                match TcpListener::bind(self.addr) {
                    Ok(listener) => break listener,
                    Err(_) => sleep_ms(5),
                }
            };
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let id = request.header("x-call-id").unwrap_or("").to_string();
            let now_ms = self.record.line(&format!("{}: request {id}", self.name));
            let mut state = self.state.lock().expect("the endpoint's lock");
            if state.arrive(now_ms) {
                let (recent, bears) = state.fell.expect("it has just fallen");
                let age_ms = now_ms - state.started_ms.unwrap_or(0.0);
                self.record.say(&format!(
                    "{} falls over {age_ms:.0} ms after its start: {recent} requests within {TIP_AFTER_MS} ms, it \
                     bears {bears:.1}",
                    self.name
                ));
                drop(state);
                return self.stop();
            }
            if state.waiting >= WAITING_ROOM {
                drop(state);
                if write_response(&mut stream, "503 Full", "X-Rejected: 1\r\n", "full").is_err() {
                    return;
                }
                continue;
            }
            state.waiting += 1;
            while state.busy >= CORES {
                state = self.core_freed.wait(state).expect("the endpoint's lock");
            }
            state.waiting -= 1;
            state.busy += 1;
            let work_ms = WORK_MS / state.capacity(now_ms);
            drop(state);
            thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
            self.state.lock().expect("the endpoint's lock").busy -= 1;
            self.core_freed.notify_one();
            if write_response(&mut stream, "200 OK", "", &format!("done {id}")).is_err() {
                return;
            }
        }
    }

    /// The process dies: its connections reset, and new ones are refused.
    fn stop(&self) {
        self.is_up.store(false, Ordering::Relaxed);
        for connection in self.connections.lock().expect("the connections' lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// The process starts again, cold.
    fn start_again(&self) {
        let mut state = self.state.lock().expect("the endpoint's lock");
        state.started_ms = Some(self.record.now_ms());
        state.arrivals.clear();
        self.record.line(&format!("{}: starts, cold", self.name));
        self.is_up.store(true, Ordering::Relaxed);
    }
}

pub fn play(record: &Record) -> Verdict {
    let settings = site::tide_tables();
    let servers: Vec<_> = (0..HOSTS).map(|n| Server::start(&format!("host-{n}"), record)).collect();
    let entries: Vec<Entry> = servers.iter().map(|s| Entry::up(&s.name, s.addr)).collect();
    let discovery = Discovery::start(entries.clone(), record);
    let Some(gateways) = site::start_fleet(&settings, &discovery, None, 512, record) else {
        return Verdict::CouldNotRun;
    };
    let addrs: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.config.listen).collect();
    let stops = Arc::new(AtomicBool::new(false));
    let clients = {
        let (stops, record) = (stops.clone(), record.clone());
        thread::spawn(move || clients(&addrs, &stops, &record))
    };
    sleep_ms(6000);
    if trouble() {
        record.line("the room is lost");
        servers.iter().for_each(|server| server.stop());
        sleep_ms(NOTICED_MS);
        for entry in &entries {
            discovery.change(Entry { state: "removed", ..entry.clone() });
        }
        sleep_ms(LOST_MS - NOTICED_MS);
        servers.iter().for_each(|server| server.start_again());
        let boot_ms = unix_ms();
        sleep_ms(ADDED_MS);
        for entry in &entries {
            discovery.change(Entry { boot_ms, ..entry.clone() });
            sleep_ms(ADDED_EVERY_MS);
        }
    } else {
        sleep_ms(LOST_MS);
    }
    sleep_ms(6000);
    stops.store(true, Ordering::Relaxed);
    let _ = clients.join();
    let mut fallen = 0;
    for server in &servers {
        let state = server.state.lock().expect("the endpoint's lock");
        if state.fell.is_some() {
            fallen += 1;
        }
        record.line(&format!("{}: at most {:.2} times what it bears", server.name, state.most));
    }
    record.say(&format!("cold endpoints that fell over: {fallen} of {HOSTS}"));
    if fallen > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Customers of the larger plan, each of which asks for less than half of its quota through three gateways.
fn clients(addrs: &[SocketAddr], stops: &AtomicBool, record: &Record) {
    let per_second = LOAD * HOSTS as f64 * f64::from(CORES) * 1000.0 / WORK_MS;
    let customers = (per_second / 5.0).ceil() as usize;
    let mut turn = 0;
    while !stops.load(Ordering::Relaxed) {
        let (customer, spread) = (turn % customers, 3);
        let first = customer % addrs.len();
        let to = addrs[(first + turn / customers % spread) % addrs.len()];
        let request = Request {
            id: new_id(),
            class: "lookup",
            plan: "ferry",
            customer: 0x3000_0000 + customer as u64,
            budget_s: 1.2,
            units: 1,
            spread,
            first,
            key: None,
            body: Some("lookup".to_string()),
        };
        let record = record.clone();
        thread::spawn(move || request.send(to, &record));
        turn += 1;
        thread::sleep(Duration::from_secs_f64(1.0 / per_second));
    }
}
