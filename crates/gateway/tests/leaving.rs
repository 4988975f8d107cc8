//! Clients that leave while their request waits: each way to leave, whatever the request waits for. What it waits for
//! comes only once the gateway has closed the client's connection, so that nothing here hangs on the machine's speed.
mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::yield_now;
use std::time::{Duration, Instant};

/// A way to leave, and what the client writes behind its request before it does.
struct Way {
    name: &'static str,
    behind: fn() -> Vec<u8>,
    leave: fn(&TcpStream),
}

fn ways() -> [Way; 5] {
    let close: fn(&TcpStream) = |_| {};
    let reset = |s: &TcpStream| socket2::SockRef::from(s).set_linger(Some(Duration::ZERO)).expect("a socket");
    let half_close = |s: &TcpStream| s.shutdown(Shutdown::Write).expect("a socket");
    [
        Way { name: "close", behind: Vec::new, leave: close },
        Way { name: "reset", behind: Vec::new, leave: reset },
        Way { name: "half-close", behind: Vec::new, leave: half_close },
        Way { name: "behind a request", behind: || Ask::new("read").text().into(), leave: close },
        Way { name: "behind a flood", behind: || vec![b'x'; 8 << 20], leave: close },
    ]
}

/// A client that has asked, and will leave.
struct Leaver(TcpStream);

impl Leaver {
    fn ask(gateway: &Gateway, ask: &Ask) -> Leaver {
        let mut stream = TcpStream::connect(gateway.addr).expect("the gateway accepts");
        stream.write_all(ask.text().as_bytes()).expect("the gateway reads");
        Leaver(stream)
    }

    /// The gateway's end of the connection, as the process's descriptor names it.
    fn gateway_end(&self, gateway: &Gateway) -> String {
        let far = self.0.local_addr().expect("connected").port();
        // By both addresses, as the kernel writes them.
        let ends = format!(" 0100007F:{:04X} 0100007F:{far:04X} ", gateway.addr.port());
        let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
        let line = table.lines().find(|l| l.contains(&ends)).expect("the gateway's end");
        let inode = line.split_whitespace().nth(9).expect("an inode");
        assert_ne!(inode, "0", "the gateway has accepted it");
        format!("socket:[{inode}]")
    }

    /// Leaves once its request is in work, and waits until the gateway has closed its end.
    fn leave(mut self, gateway: &Gateway, way: &Way) {
        let gateway_end = self.gateway_end(gateway);
        self.0.set_nonblocking(true).expect("a socket");
        let unanswered = self.0.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(unanswered, "{}: its request waits", way.name);
        // A flood is written for as long as the gateway takes it at once.
        let _ = self.0.write(&(way.behind)());
        (way.leave)(&self.0);
        let half = way.name == "half-close";
        let held = half.then(|| self.0.try_clone().expect("a clone"));
        drop(self.0);
        let start = Instant::now();
        let is_open = || {
            let mut ends = std::fs::read_dir(format!("/proc/{}/fd", gateway.pid())).expect("descriptors");
            ends.any(|e| {
                std::fs::read_link(e.expect("an entry").path())
                    .is_ok_and(|l| l.as_os_str() == gateway_end.as_str())
            })
        };
        while is_open() {
            assert!(start.elapsed() < Duration::from_secs(10), "{}: the gateway does not see it", way.name);
            yield_now();
        }
        drop(held);
    }
}

/// A gateway whose quotas bind nobody, so that a request's fate hangs on its client alone.
fn started(hosts: &[SocketAddr], change: impl Fn(&mut Value)) -> (Gateway, Discovery) {
    let discovery = Discovery::start();
    let known: Vec<_> = hosts.iter().enumerate().map(|(n, h)| target(&format!("s-{n}"), *h, "up")).collect();
    let mut config = config(discovery.addr, &known);
    config["settings"]["tiersOfService"][0]["peakUnits"] = json!(1000.0);
    change(&mut config);
    (Gateway::start(&config), discovery)
}

/// Asks once more; returns the ids of all requests that have come to the host, that last one's left out.
fn others(gateway: &Gateway, host: &Host, ask: Ask) -> Vec<String> {
    assert_eq!(gateway.client().ask(&ask.text()).status(), 200);
    let id = |seen| match seen {
        Seen::Request(_, message) => message.header("x-call-id").map(str::to_string),
        _ => None,
    };
    let mut ids: Vec<_> = host.seen.try_iter().filter_map(id).collect();
    assert_eq!(ids.pop(), Some(ask.id), "the last to come");
    ids
}

#[test]
fn while_it_is_held_for_want_of_a_host() {
    for way in ways() {
        let host = Host::start(answer("200 OK", "", ""));
        let (gateway, discovery) = started(&[], |_| {});
        discovery.call();
        let waiting = Ask::new("read");
        let leaver = Leaver::ask(&gateway, &waiting);
        // It waits: the health check was read behind it.
        assert_eq!(gateway.client().ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").status(), 503);
        leaver.leave(&gateway, &way);
        discovery.push(list(4, true, &[target("s-0", host.addr, "up")]));
        discovery.call();
        assert_eq!(others(&gateway, &host, Ask::new("read")), [""; 0], "{}", way.name);
    }
}

#[test]
fn while_the_counter_is_asked() {
    for way in ways() {
        let (host, counter) = (Host::start(answer("200 OK", "", "")), Host::start(Reply::Silence));
        let (gateway, _discovery) = started(&[host.addr], |config| {
            config["counter"] = json!(counter.addr.to_string());
            config["settings"]["balancers"] = json!(2);
            config["settings"]["ceilings"]["peerMessages"] = json!(false);
            config["settings"]["familyInfo"] =
                json!({"mostUnits": 4, "peerInPerS": 0.0, "mayCount": true, "countLimitMs": 20000.0});
        });
        let ask = || Ask { metering: "units=1,spread=2,first=0", ..Ask::new("read") };
        let leaver = Leaver::ask(&gateway, &ask());
        let (number, _) = counter.request();
        leaver.leave(&gateway, &way);
        counter.set(answer("200 OK", "", "1"));
        counter.write(number, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
        let next = Ask { customer: "0000000000000007", ..ask() };
        assert_eq!(others(&gateway, &host, next), [""; 0], "{}", way.name);
    }
}

/// Its attempt may not be called off, and fails after the client has left: there is no further one.
#[test]
fn between_two_attempts() {
    for way in ways() {
        let host = Host::start(Reply::Silence);
        let (gateway, _discovery) =
            started(&[host.addr], |config| config["settings"]["ceilings"]["cancel"] = json!(false));
        let leaver = Leaver::ask(&gateway, &Ask::new("read"));
        let (number, _) = host.request();
        leaver.leave(&gateway, &way);
        host.set(answer("200 OK", "", ""));
        host.write(number, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(others(&gateway, &host, Ask::new("read")), [""; 0], "{}", way.name);
    }
}

/// A host whose connections come up late: its queue of them is full until it takes one out.
fn late_host() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    socket.listen(0).expect("a listener");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("bound");
    let mut filling = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
        filling.push(stream);
        assert!(filling.len() < 10, "the queue never fills");
    }
    (listener, filling)
}

/// The connection comes up after the client has left, and carries the next request first.
#[test]
fn while_its_connection_to_a_host_comes_up() {
    for way in ways() {
        let (listener, filling) = late_host();
        let addr = listener.local_addr().expect("bound");
        let (gateway, _discovery) = started(&[addr], |config| {
            config["settings"]["ceilings"]["cancel"] = json!(false);
            config["settings"]["ceilings"]["connectTimeoutMs"] = json!(25_000.0);
        });
        let leaver = Leaver::ask(&gateway, &Ask::new("once"));
        assert_eq!(gateway.client().ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
        leaver.leave(&gateway, &way);
        filling.iter().for_each(|_| drop(listener.accept().expect("a connection")));
        let (stream, _) = listener.accept().expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        let next = Ask::new("once");
        let mut asker = gateway.client();
        asker.write(&next.text());
        let first = read_message(&mut BufReader::new(stream)).expect("a request");
        assert_eq!(first.header("x-call-id"), Some(next.id.as_str()), "{}", way.name);
    }
}
