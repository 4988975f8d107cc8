//! An endpoint whose connections come up late.
use super::TEST_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How long a connection may take before the queue counts as full.
const FILLING_TIMEOUT: Duration = Duration::from_millis(300);

/// Its queue of connections is full until it takes one out.
pub(crate) struct FullBacklogListener {
    listener: TcpListener,
    /// The connections that fill the queue.
    filling: Vec<Socket>,
    /// The ports of all attempts to fill it. On a busy machine one that timed out may have come up after all.
    filling_ports: Vec<u16>,
}

impl FullBacklogListener {
    pub(crate) fn start() -> FullBacklogListener {
        let socket = loopback_socket();
        socket.listen(0).expect("a listener");
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().expect("bound").into();
        let (mut filling, mut filling_ports) = (Vec::new(), Vec::new());
        loop {
            let socket = loopback_socket();
            let local_addr = socket.local_addr().expect("bound");
            filling_ports.push(local_addr.as_socket().expect("an IP address").port());
            if socket.connect_timeout(&addr, FILLING_TIMEOUT).is_err() {
                break;
            }
            filling.push(socket);
            assert!(filling.len() < 10, "the queue never fills");
        }
        FullBacklogListener { listener, filling, filling_ports }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Empties the queue, so that the gateway's connection comes up when its handshake is next repeated,
    /// and returns that connection.
    pub(crate) fn accept(&self) -> TcpStream {
        self.filling.iter().for_each(|_| drop(self.listener.accept().expect("a connection")));
        loop {
            let (stream, peer) = self.listener.accept().expect("a connection");
            if !self.filling_ports.contains(&peer.port()) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
                return stream;
            }
        }
    }
}

/// A socket with a port of its own.
fn loopback_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    socket
}
