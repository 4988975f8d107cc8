//! Endpoints: sound servers that run each request they get whole, and write down when.
use crate::http::{read_message, write_response, Message};
use crate::util::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// A request that came whole to an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: f64,
    pub host: String,
    pub id: String,
    pub key: String,
    pub body: String,
}

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub addr: SocketAddr,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What an endpoint does with a request that has come whole; it writes the response itself.
pub type Behaviour = Arc<dyn Fn(&Message, &Arrival, &mut TcpStream) -> std::io::Result<()> + Send + Sync>;

/// Serves connections of a listener, one request at a time on each.
pub fn serve(
    name: &str,
    listener: TcpListener,
    arrivals: &Arrivals,
    record: &Record,
    behaviour: Behaviour,
) -> Host {
    let addr = listener.local_addr().expect("the endpoint's address");
    let host = Host { name: name.to_string(), addr };
    let (name, arrivals, record) = (name.to_string(), arrivals.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, arrivals, record, behaviour) =
                (name.clone(), arrivals.clone(), record.clone(), behaviour.clone());
            thread::spawn(move || serve_connection(&name, stream, &arrivals, &record, &behaviour));
        }
    });
    host
}

pub fn start(name: &str, arrivals: &Arrivals, record: &Record, behaviour: Behaviour) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind an endpoint");
    serve(name, listener, arrivals, record, behaviour)
}

pub fn serve_connection(
    name: &str,
    mut stream: TcpStream,
    arrivals: &Arrivals,
    record: &Record,
    behaviour: &Behaviour,
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        let header = |name: &str| request.header(name).unwrap_or("").to_string();
        let id = header("x-call-id");
        let at_ms = record.line(&format!("{name}: request {id} budget {}", header("x-budget")));
        let arrival = Arrival {
            at_ms,
            host: name.to_string(),
            id,
            key: header("idempotency-key"),
            body: request.text(),
        };
        arrivals.lock().expect("the arrivals' lock").push(arrival.clone());
        if behaviour(&request, &arrival, &mut stream).is_err() {
            return;
        }
    }
}

/// Answers 200 after `ms` milliseconds.
pub fn answer_after(ms: u64) -> Behaviour {
    Arc::new(move |_, arrival, stream| {
        crate::util::sleep_ms(ms);
        write_response(stream, "200 OK", "", &format!("done {}", arrival.id))
    })
}

/// Holds back an endpoint's connections: while it does, the kernel's queue of the listener is full, so that new
/// connections come up late, as the network's `connections to hosts come up late` says.
pub struct Gate {
    listener: TcpListener,
    addr: SocketAddr,
    open: Arc<(Mutex<bool>, std::sync::Condvar)>,
    fillers: Mutex<Vec<TcpStream>>,
}

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

impl Gate {
    /// Starts an endpoint behind a gate, which is open.
    pub fn start(
        name: &str,
        arrivals: &Arrivals,
        record: &Record,
        behaviour: Behaviour,
    ) -> (Host, Arc<Gate>) {
        use std::os::fd::AsRawFd;
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind an endpoint");
        // SAFETY: the descriptor is that of the listener, which is open.
        unsafe { listen(listener.as_raw_fd(), 0) };
        let addr = listener.local_addr().expect("the endpoint's address");
        let open = Arc::new((Mutex::new(true), std::sync::Condvar::new()));
        let gate = Arc::new(Gate { listener, addr, open, fillers: Mutex::default() });
        let (server, name2) = (gate.clone(), name.to_string());
        let (arrivals, record) = (arrivals.clone(), record.clone());
        thread::spawn(move || loop {
            let Ok((stream, _)) = server.listener.accept() else { return };
            let mut is_open = server.open.0.lock().expect("the gate's lock");
            while !*is_open {
                is_open = server.open.1.wait(is_open).expect("the gate's lock");
            }
            drop(is_open);
            let (name, arrivals, record, behaviour) =
                (name2.clone(), arrivals.clone(), record.clone(), behaviour.clone());
            thread::spawn(move || serve_connection(&name, stream, &arrivals, &record, &behaviour));
        });
        (Host { name: name.to_string(), addr }, gate)
    }

    /// Closes the gate: fills the kernel's queue with connections of the endpoint's own.
    pub fn close(&self) {
        *self.open.0.lock().expect("the gate's lock") = false;
        let mut fillers = self.fillers.lock().expect("the fillers' lock");
        // The first one is accepted and held, the second one fills the queue.
        while fillers.len() < 8 {
            match TcpStream::connect_timeout(&self.addr, std::time::Duration::from_millis(60)) {
                Ok(stream) => fillers.push(stream),
                Err(_) if fillers.len() >= 2 => return,
                Err(_) => {}
            }
            crate::util::sleep_ms(5);
        }
    }

    /// Opens the gate: connections that wait come up.
    pub fn open(&self) {
        self.fillers.lock().expect("the fillers' lock").clear();
        *self.open.0.lock().expect("the gate's lock") = true;
        self.open.1.notify_all();
    }
}
